#pragma once

#include <celeryroute/detail/feed/desiredfeed.h>
#include <celeryroute/detail/feed/targetsfeed.h>
#include <celeryroute/detail/gateway/gateway.h>
#include <celeryroute/detail/node/demandsender.h>
#include <celeryroute/detail/node/entryadmission.h>
#include <celeryroute/detail/node/feeddriver.h>
#include <celeryroute/detail/node/metricsserver.h>
#include <celeryroute/detail/node/nodecore.h>
#include <celeryroute/detail/node/peerroster.h>
#include <celeryroute/detail/node/peersocket.h>
#include <celeryroute/detail/node/readinessserver.h>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace celeryroute {

/// The process on an entry host: callers' requests, the store's feeds, agents and other entries.
class EntryNode
{
public:
    explicit EntryNode(NodeCore &core);
    ~EntryNode();
    EntryNode(const EntryNode &) = delete;
    EntryNode &operator=(const EntryNode &) = delete;

    Result<void> start();
    /// @brief Begins an orderly stop; the loop is stopped when it is complete.
    void beginStop();
    void reload(const NodeSettings &settings);

private:
    struct KnownAgent {
        std::string target;
        Endpoint endpoint;
        std::string pool;
        bool successor = false; ///< Another target had the address before.
    };

    void takeDesired(const std::vector<DesiredEvent> &events);
    void takeTargets(const std::vector<TargetEvent> &events);
    ChangedModels take(const TargetChanged &event);
    ChangedModels take(const TargetGone &event);
    std::int64_t bornOf(const std::string &target) const;
    void noteRestart(const std::string &target, std::int64_t bornBefore);
    void updateAgents();
    void markSuccessors();
    void expireTargets();

    void received(const wire::Envelope &envelope);
    void receivedAgent(const wire::Envelope &envelope);
    void receivedGossip(const wire::Envelope &envelope);
    bool sendDemand(const std::string &target);
    void learnEntry(const std::string &address);
    void scheduleGossip();
    void sendGossip();
    void logAllowances();

    bool ready() const;
    void advanceStop();

    ServingGauges gauges() const;
    std::vector<AllowanceGauge> allowanceGauges() const;
    std::uint64_t shunnedTargets() const;

    NodeCore &m_core;
    Endpoint m_peerEndpoint;
    PlainCaller m_store;
    DesiredFeed m_desired;
    TargetsFeed m_targets;
    AllowancePool m_allowances;
    RetryAllowance m_retries;
    EntryAdmission m_admission;
    TargetBook m_book;
    Gateway m_gateway;
    DemandSender m_demand;
    PeerSocket m_peers;
    PeerRoster m_agentsHeard;
    FeedDriver m_desiredDriver;
    FeedDriver m_targetsDriver;
    ReadinessServer m_readiness;
    MetricsServer m_metrics;
    std::map<std::string, KnownAgent> m_agents; ///< By target id.
    std::set<std::string> m_entries; ///< IP numbers of the other entries.
    EventLoop::TimerId m_gossipTimer = 0;
    TimePoint m_gossipAt;
    double m_loggedFraction = 0;
    std::size_t m_loggedMembers = 0;
    EventLoop::TimerId m_expiryTimer = 0;
    std::optional<TimePoint> m_stopBegan;
};

} // namespace celeryroute
