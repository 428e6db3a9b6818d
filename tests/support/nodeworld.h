#pragma once

#include <celeryroute/detail/node/agentnode.h>
#include <celeryroute/detail/node/entrynode.h>

#include "fakeengine.h"
#include "fakestore.h"
#include "gatewayworld.h"

#include <array>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace celeryroute {

/// The log of one process, as its reader gets it.
class NodeLog
{
public:
    explicit NodeLog(EventLoop &loop);
    ~NodeLog();
    NodeLog(const NodeLog &) = delete;
    NodeLog &operator=(const NodeLog &) = delete;

    int file() const
    {
        return m_pipe[1];
    }
    /// @brief Lines of @p event so far.
    std::vector<nlohmann::json> linesOf(const std::string &event) const;
    /// @brief All lines so far, as text.
    const std::string &text() const
    {
        return m_text;
    }
    /// @brief All lines so far.
    std::vector<nlohmann::json> lines() const;

private:
    void drain();

    std::array<int, 2> m_pipe{};
    std::string m_text;
};

/// One process of a role, on a loopback address of its own.
template <typename Node>
struct NodeProcess {
    NodeProcess(EventLoop &loop, const NodeSettings &settings, const PlatformTranslation &translation)
        : log(loop)
        , core(loop, settings, translation, log.file())
        , node(std::make_unique<Node>(core))
    {}

    NodeLog log;
    NodeCore core;
    std::unique_ptr<Node> node;
};

/// Entries and an agent in one event loop, beside the store, an engine and targets of a plain service.
///
/// The desired state is that of servingDesiredState() with a stream over the plain service at `/feed/`,
/// a model `m2` that does not fit beside `m1`, and a customer `poor` with key `key-p` and a small allowance.
class NodeWorld
{
public:
    using Entry = NodeProcess<EntryNode>;
    using Agent = NodeProcess<AgentNode>;

    NodeWorld();

    EventLoop loop;
    FakeStore store{loop};
    FakeEngine engine;
    ScriptedTarget app{loop};
    ScriptedTarget secondApp{loop};
    nlohmann::json state;
    PlatformTranslation translation;
    std::vector<std::unique_ptr<Entry>> entries;
    std::vector<std::unique_ptr<Agent>> agents;

    Entry &startEntry();
    Agent &startAgent();
    /// @brief Puts `state` in force under the next version.
    void publish();
    void registerApp(const std::string &id, const ScriptedTarget &target, bool draining = false);
    void registerEngine();

    /// @brief Turns until @p log has more lines of @p event than it had when this was called, or than @p before.
    bool writes(const NodeLog &log, const std::string &event, std::size_t before = 0);
    /// @brief All that comes back for a request with the id @p id.
    std::string
    call(const Endpoint &at, const std::string &path, const std::string &id, const std::string &fields = {});
    Endpoint callers(std::size_t entry) const;
    Endpoint readiness(std::size_t entry) const;
    /// @brief Where the messages of other processes to an entry go.
    Endpoint peers(std::size_t entry) const;
    /// @brief Asks as the balancer does until the answer has @p status.
    bool readinessBecomes(std::size_t entry, int status);
    /// @brief The metrics of an entry by name and labels.
    std::map<std::string, double> metrics(const Endpoint &at);
    /// @brief The port that the metrics of the agent are served at.
    Endpoint agentMetrics() const;

private:
    NodeSettings settings(const std::string &name, const std::string &ip) const;

    std::uint16_t m_peerPort;
    std::vector<Endpoint> m_callers;
    std::vector<Endpoint> m_readiness;
};

/// @brief Head of an answer whose body is a stream of events.
std::string streamHead();
/// @brief One chunk with one event; without a number when @p id is 0.
std::string streamEvent(int id);
/// @brief The end of such a stream.
std::string streamEnd();

} // namespace celeryroute
