#pragma once

#include "scriptedtarget.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace celeryroute {

/// A model engine for tests that executes orders after a short delay.
class FakeEngine
{
public:
    EventLoop &loop;
    ScriptedTarget server;
    nlohmann::json report;
    std::vector<nlohmann::json> orders;
    std::vector<std::string> orderedInstances;
    std::vector<ScriptedTarget::Request> held; ///< Requests for paths that end with `/hold`; they are not answered.
    std::size_t misdirected = 0; ///< Number of calls for models that are not resident.
    Duration orderTime = std::chrono::milliseconds(30); ///< Time to execute an order.
    std::function<void(const ScriptedTarget::Request &)> onArrival; ///< Called with each request, if set.
    bool leaving = false; ///< All answers say that the engine is leaving.
    bool silent = false; ///< Requests for reports are not answered.

    FakeEngine(EventLoop &eventLoop, std::uint32_t ip);

    /// @brief Registry record of the engine.
    std::string record() const;

private:
    void serve(const ScriptedTarget::Request &request);
};

/// @brief Registry record of a ready target of the plain service `app`.
nlohmann::json plainRecord(const std::string &address, int slots = 8, const std::string &softwareVersion = "1");

/// @brief A desired state with routes of several kinds to a plain service and to engines.
nlohmann::json servingDesiredState(int version);

} // namespace celeryroute
