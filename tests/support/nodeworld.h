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

/// @brief Captures the log of one process through a pipe.
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
    /// @brief Returns the log lines of @p event so far.
    std::vector<nlohmann::json> linesOf(const std::string &event) const;
    /// @brief Text of all log lines so far.
    const std::string &text() const
    {
        return m_text;
    }
    /// @brief Returns all log lines so far.
    std::vector<nlohmann::json> lines() const;

private:
    void drain();

    std::array<int, 2> m_pipe{};
    std::string m_text;
};

/// @brief A node of one role with its own log and core, in the process of the test.
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

/// @brief Entries and an agent in one event loop, with a store, an engine and targets of a plain service.
///
/// The desired state is that of servingDesiredState() with a stream over the plain service at `/feed/`,
/// a model `m2` that does not fit into memory together with `m1`, and a customer `poor` with key `key-p` and a
/// small budget.
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
    /// @brief Publishes `state` with the next version.
    void publish();
    void registerApp(const std::string &id, const ScriptedTarget &target, bool draining = false);
    void registerEngine();

    /// @brief Runs the loop until @p log has more lines of @p event than at the time of the call, or than @p before.
    bool runUntilLogged(const NodeLog &log, const std::string &event, std::size_t before = 0);
    /// @brief Sends a request with the id @p id and returns the whole response.
    std::string
    call(const Endpoint &at, const std::string &path, const std::string &id, const std::string &fields = {});
    Endpoint callerEndpoint(std::size_t entry) const;
    Endpoint readinessEndpoint(std::size_t entry) const;
    /// @brief Endpoint for messages of other processes to an entry.
    Endpoint peerEndpoint(std::size_t entry) const;
    /// @brief Polls readiness as the load balancer does until the answer has @p status.
    bool runUntilReadiness(std::size_t entry, int status);
    /// @brief Returns the metrics of a process, keyed by name with labels.
    std::map<std::string, double> metrics(const Endpoint &at);
    /// @brief Endpoint of the agent's metrics.
    Endpoint agentMetricsEndpoint() const;

private:
    NodeSettings settings(const std::string &name, const std::string &ip) const;

    std::uint16_t m_peerPort;
    std::vector<Endpoint> m_callers;
    std::vector<Endpoint> m_readiness;
};

/// @brief Returns the head of an answer whose body is an event stream.
std::string streamHead();
/// @brief Returns one chunk with one event, which has no event id if @p id is 0.
std::string streamEvent(int id);
/// @brief Returns the last chunk of such a stream.
std::string streamEnd();

} // namespace celeryroute
