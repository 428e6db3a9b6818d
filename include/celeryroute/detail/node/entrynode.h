#pragma once

#include <celeryroute/detail/feed/desiredstatefeed.h>
#include <celeryroute/detail/feed/erarecord.h>
#include <celeryroute/detail/feed/targetsfeed.h>
#include <celeryroute/detail/gateway/crashexchange.h>
#include <celeryroute/detail/gateway/gateway.h>
#include <celeryroute/detail/gateway/versionrecord.h>
#include <celeryroute/detail/node/agentdirectory.h>
#include <celeryroute/detail/node/demandsender.h>
#include <celeryroute/detail/node/entryadmission.h>
#include <celeryroute/detail/node/eramonitor.h>
#include <celeryroute/detail/node/feeddriver.h>
#include <celeryroute/detail/node/keyfreshnessmonitor.h>
#include <celeryroute/detail/node/metricsserver.h>
#include <celeryroute/detail/node/nodecore.h>
#include <celeryroute/detail/node/peerroster.h>
#include <celeryroute/detail/node/peersocket.h>
#include <celeryroute/detail/node/readinessserver.h>
#include <celeryroute/detail/targetlimit/limitexchange.h>

#include <optional>
#include <set>
#include <string>

namespace celeryroute {

/// @brief Entry process: serves callers' requests, follows the store's feeds, and exchanges messages with agents
/// and other entries.
class EntryNode
{
public:
    explicit EntryNode(NodeCore &core);
    ~EntryNode();
    EntryNode(const EntryNode &) = delete;
    EntryNode &operator=(const EntryNode &) = delete;

    Result<void> start();
    /// @brief Begins a graceful shutdown; stops the event loop when the shutdown is complete.
    void beginStop();
    void reload(const NodeSettings &settings);

private:
    void applyDesired(const std::vector<DesiredStateEvent> &events);
    void apply(const StateChanged &event);
    void apply(const StateUnreadable &event);
    void apply(const EvacuationBegan &event);
    void apply(const EvacuationEnded &event);
    void apply(const EvacuationMalformed &event);
    /// @brief Applies the evacuations in force to the targets and to the calls that wait.
    void useEvacuations();
    std::size_t targetsIn(const std::string &domain) const;
    void applyTargets(const std::vector<TargetEvent> &events);
    ChangedModels apply(const TargetChanged &event);
    ChangedModels apply(const TargetRemoved &event);
    ChangedModels apply(const TargetSucceeded &event);
    void addAgent(const TargetRecord &record);
    std::int64_t birthTime(const std::string &target) const;
    void reportRestart(const std::string &target, std::int64_t bornBefore);
    void scheduleExpiry();

    void handleMessage(const wire::Envelope &envelope);
    void handleAgentState(const wire::Envelope &envelope);
    void handleAgentLoad(const wire::Envelope &envelope);
    void handleGossip(const wire::Envelope &envelope);
    bool sendDemand(const std::string &target);
    void addEntry(const std::string &address);
    void scheduleGossip();
    void sendGossip();
    void receiveCrashes(const wire::Envelope &envelope);
    void sendReport(const std::string &address, const EntryReport &report);
    void sendCrashes();
    void handleStreams(const wire::Envelope &envelope);
    void scheduleStreams();
    /// @brief Tells the other entries which software versions began streams.
    void sendStreams();
    /// @brief Tells the record of versions whether the registry is known without gaps.
    void noteRegistryRead();
    /// @brief Takes over the era of the store, and whether it is settled.
    void beginEra();
    void noteSettledEra(TimePoint now);
    void useStreamPools(const ServingState &state);
    /// @brief Whether this entry is one of the few that write the record with this key in the store.
    bool isWriter(const std::string &key) const;
    void log(const VersionsRead &event);
    void log(const VersionRecorded &event);
    /// @brief See Gateway::EarlierVersions.
    std::optional<std::vector<std::string>> earlierVersions(const std::string &pool, Duration lifetime) const;
    void handleLimits(const wire::Envelope &envelope);
    /// @brief Logs that a limit has ended now because @p target has started anew.
    void logLimitOfEarlierLifetime(const std::string &target);
    void advanceLimitsSoon();
    /// @brief Exchanges permits for targets with limits, and what is known of these, with the other entries.
    void advanceLimits();
    void sendLimits(const LimitExchange::Outgoing &outgoing);
    void logAllowances();
    void checkPeers();

    bool isReady() const;
    /// @brief Returns the readiness for the load balancer; logs an event when it has changed.
    bool reportReadiness();
    void advanceStop();

    ServingGauges gauges() const;
    std::vector<AllowanceGauge> allowanceGauges() const;
    std::uint64_t shunnedTargets() const;

    NodeCore &m_core;
    Endpoint m_peerEndpoint;
    AsyncHttpClient m_store;
    EraMonitor m_era;
    DesiredStateFeed m_desired;
    TargetsFeed m_targets;
    KeyFreshnessMonitor m_keys;
    CustomerRateLimiter m_allowances;
    RetryLimiter m_retries;
    EntryAdmission m_admission;
    TargetTable m_targetTable;
    Gateway m_gateway;
    LimitExchange m_limits;
    CrashExchange m_crashes;
    DemandSender m_demand;
    PeerSocket m_peers;
    PeerRoster m_agentPeers;
    PeerRoster m_entryPeers;
    AgentDirectory m_agents;
    FeedDriver m_desiredDriver;
    FeedDriver m_targetsDriver;
    EraRecord m_eraRecord;
    FeedDriver m_eraDriver;
    VersionRecord m_versionRecord;
    FeedDriver m_versionDriver;
    ReadinessServer m_readiness;
    MetricsServer m_metrics;
    std::set<std::string> m_entries; ///< IP addresses of the other entries.
    EventLoop::TimerId m_streamsTimer = 0;
    TimePoint m_streamsAt;
    EventLoop::TimerId m_limitsTimer = 0;
    bool m_limitsPending = false; ///< advanceLimits() is called at the end of this turn.
    EventLoop::TimerId m_gossipTimer = 0;
    TimePoint m_gossipAt;
    std::optional<HeardMessage> m_lastGossip; ///< Newest gossip message.
    TimePoint m_peersCheckedAt;
    double m_loggedFraction = 0;
    std::size_t m_loggedMembers = 0;
    EventLoop::TimerId m_expiryTimer = 0;
    bool m_wasReady = false;
    std::optional<TimePoint> m_stopBegan;
};

} // namespace celeryroute
