#pragma once

#include <celeryroute/detail/feed/desiredstatefeed.h>
#include <celeryroute/detail/feed/exponentialbackoff.h>
#include <celeryroute/detail/keeper/modelkeeper.h>
#include <celeryroute/detail/node/feeddriver.h>
#include <celeryroute/detail/node/metricsserver.h>
#include <celeryroute/detail/node/nodecore.h>
#include <celeryroute/detail/node/peerroster.h>
#include <celeryroute/detail/node/peersocket.h>
#include <celeryroute/detail/node/plaincaller.h>
#include <celeryroute/detail/placement/heardmessage.h>

#include <optional>
#include <string>

namespace celeryroute {

/// The process beside one target: its orders, its report, and the news of it for the entries.
class AgentNode
{
public:
    explicit AgentNode(NodeCore &core);
    ~AgentNode();
    AgentNode(const AgentNode &) = delete;
    AgentNode &operator=(const AgentNode &) = delete;

    Result<void> start();
    void beginStop();
    void reload(const NodeSettings &settings);

private:
    void takeDesired(const std::vector<DesiredStateEvent> &events);
    void useSpec();
    void acquireFence();
    void received(const wire::Envelope &envelope);

    void advance();
    void scheduleReport();
    void readReport();
    void reportRead(int status, const std::string &body, TimePoint began);
    void sendOrder(const TargetOrder &order);
    void orderAnswered(const TargetOrder &order, const MessageHead &head, TimePoint sentAt);
    void noteTargetAnswers(bool answers);
    void logDeclined();
    void publish(bool urgent);
    void broadcast();
    ServingGauges gauges() const;

    NodeCore &m_core;
    PlainCaller m_store;
    PlainCaller m_target;
    DesiredStateFeed m_desired;
    FeedDriver m_desiredDriver;
    ModelController m_keeper;
    PeerSocket m_peers;
    PeerRoster m_entries;
    ExponentialBackoff m_fenceDelay;
    MetricsServer m_metrics;
    std::string m_instance;
    bool m_successor = false; ///< Another instance had the target's address before.
    std::optional<HeardMessage> m_demandHeard; ///< Newest.
    std::optional<bool> m_targetAnswers; ///< Nothing before the first read of its report.
    TimePoint m_targetHeard; ///< Newest report; at first, the start.
    StoreWatch m_fenceWatch;
    std::vector<DeclinedItem> m_declined;
    bool m_reading = false;
    EventLoop::TimerId m_reportTimer = 0;
    TimePoint m_reportAt;
    TimePoint m_broadcastAt;
    std::uint64_t m_publishedVersion = 0;
    TargetStatus m_published;
};

} // namespace celeryroute
