#pragma once

#include "fakestore.h"
#include "runjudge.h"
#include "scriptedtarget.h"

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>

namespace celeryroute {

/// What share of its answers a FaultyTarget spoils.
struct TargetFaults {
    double refusals = 0.1; ///< Of the requests it could run.
    double repeats = 0.2; ///< Answers that are written once more.
    double losses = 0.02; ///< Runs whose answer is lost.
    double slowAnswers = 0.05;
};

/// @brief A target of a plain service or an engine that refuses, repeats and loses answers, crashes, and starts anew
/// under its own or another id, at its own or another address.
///
/// Only requests for this target's id run (`X-Expect-Instance`), and an engine runs only those for a model it holds.
class FaultyTarget
{
public:
    struct Surroundings {
        EventLoop &loop;
        FakeStore &store;
        RunJudge &judge;
        std::mt19937_64 &random;
        TargetFaults faults;
    };

    FaultyTarget(const Surroundings &surroundings, std::string name, std::string pool, const Endpoint &endpoint);

    /// @brief Starts under a new id, or under the one before, and registers.
    void start(bool newId);
    /// @brief Resets all connections and stops listening. The record stays until expire().
    void crash();
    /// @brief Removes the record of an earlier id.
    void expire(const std::string &id);
    /// @brief Answers nothing until @p until; what arrives meanwhile is served then.
    void freeze(TimePoint until);
    void useEndpoint(const Endpoint &endpoint);

    bool isUp() const
    {
        return m_server != nullptr;
    }
    const std::string &id() const
    {
        return m_id;
    }
    const Endpoint &endpoint() const
    {
        return m_endpoint;
    }

private:
    using Request = ScriptedTarget::Request;

    bool isEngine() const
    {
        return m_pool == "llm";
    }
    bool happens(double share);
    Duration within(Duration least, Duration most);
    void after(Duration delay, const std::function<void()> &action);
    void serve(const Request &request);
    void serveRequest(const Request &request);
    void order(const Request &request);
    void run(const Request &request);
    void runStream(const Request &request, int event);
    void refuse(const Request &request, int status);
    /// @brief Sends a whole answer, and perhaps a second time, at once, late, or where the next one is expected.
    void send(const Request &request, const std::string &answer);
    nlohmann::json report() const;

    Surroundings m_around;
    std::string m_name;
    std::string m_pool;
    Endpoint m_endpoint;
    std::unique_ptr<ScriptedTarget> m_server;
    std::string m_id;
    std::uint64_t m_starts = 0;
    std::int64_t m_bornMs = 0;
    std::set<std::string> m_models;
    std::uint64_t m_orders = 0;
    bool m_busy = false;
    TimePoint m_frozenUntil = TimePoint::min();
    std::map<std::size_t, std::string> m_copies; ///< Answers that are written again before the next one, by channel.
};

} // namespace celeryroute
