#pragma once

#include <celeryroute/detail/feed/desiredstatefeed.h>
#include <celeryroute/detail/feed/exponentialbackoff.h>
#include <celeryroute/detail/keeper/declinehistory.h>
#include <celeryroute/detail/keeper/modelcontroller.h>
#include <celeryroute/detail/node/asynchttpclient.h>
#include <celeryroute/detail/node/eramonitor.h>
#include <celeryroute/detail/node/feeddriver.h>
#include <celeryroute/detail/node/metricsserver.h>
#include <celeryroute/detail/node/nodecore.h>
#include <celeryroute/detail/node/peerroster.h>
#include <celeryroute/detail/node/peersocket.h>
#include <celeryroute/detail/node/statepublication.h>
#include <celeryroute/detail/placement/heardmessage.h>

#include <optional>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief Agent process of one target: sends load and unload orders to the target, reads its load report and
/// publishes its state to the entries.
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
    void applyDesired(const std::vector<DesiredStateEvent> &events);
    void useSpec();
    void acquireFencingToken();
    void handleMessage(const wire::Envelope &envelope);

    void advance();
    void scheduleReport();
    void readReport();
    void handleReport(const MessageHead &head, const std::string &body, TimePoint began);
    void sendOrder(const TargetOrder &order);
    void handleOrderAnswer(const TargetOrder &order, const MessageHead &head, TimePoint sentAt);
    void noteTargetAnswers(bool answers);
    void logDeclined();
    void publish();
    void schedulePublish();
    void sendState(const std::vector<std::string> &entries);
    void sendLoad();
    std::uint64_t stateNumber() const;
    ServingGauges gauges() const;
    StoreLoadGauge storeLoadGauge(TimePoint now) const;

    NodeCore &m_core;
    AsyncHttpClient m_store;
    AsyncHttpClient m_target;
    EraMonitor m_era;
    DesiredStateFeed m_desired;
    FeedDriver m_desiredDriver;
    ModelController m_controller;
    PeerSocket m_peers;
    PeerRoster m_entries;
    ExponentialBackoff m_fenceBackoff;
    MetricsServer m_metrics;
    std::string m_instance;
    bool m_successor = false; ///< Whether another instance used the target's address before.
    std::optional<HeardMessage> m_lastDemand; ///< Newest demand message from an entry.
    std::optional<bool> m_targetAnswers; ///< Empty before the first read of the target's report.
    TimePoint m_targetHeardAt; ///< Time of the newest report; initially the start time.
    StoreMonitor m_fenceMonitor;
    DeclineHistory m_declined;
    bool m_isReadingReport = false;
    EventLoop::TimerId m_reportTimer = 0;
    TimePoint m_reportAt;
    StatePublication m_publication;
    EventLoop::TimerId m_publishTimer = 0;
    TimePoint m_publishAt;
};

} // namespace celeryroute
