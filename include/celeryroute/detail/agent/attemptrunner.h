#pragma once

#include <celeryroute/detail/agent/agentevent.h>
#include <celeryroute/detail/agent/agentsettings.h>
#include <celeryroute/detail/agent/agentview.h>
#include <celeryroute/detail/agent/attempt.h>
#include <celeryroute/detail/agent/peergateway.h>
#include <celeryroute/detail/agent/recentclaims.h>
#include <celeryroute/detail/agent/residencyrunner.h>
#include <celeryroute/detail/agent/servicetimes.h>
#include <celeryroute/detail/agent/suspicionrelay.h>
#include <celeryroute/detail/agent/targetmonitor.h>
#include <celeryroute/detail/queue/admissionqueue.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace celeryroute {

/// Dependencies of an AttemptRunner. They must outlive it.
struct AttemptDependencies {
    const AgentSettings &settings;
    HttpMultiClient &client;
    PeerGateway &gateway;
    LoadController &residency;
    TargetMonitor &monitor;
    SuspicionRelay &suspicions;
    std::function<void(const AgentEvent &)> event;
};

/// @brief Handles attempts from submission to their end: queues them, calls the target and relays the answers.
class AttemptRunner
{
public:
    explicit AttemptRunner(AttemptDependencies dependencies);

    void updateView(const AgentView &view);
    void beginStopping();

    void submit(const PeerMessage &message, TimePoint now);
    void cancel(const proto::CancelRequest &request, TimePoint now);
    void resume(const std::string &connection, const proto::ResumeStream &request);
    void acknowledge(const proto::ChunkAck &ack);

    void itemReady(const std::string &item, TimePoint now);
    void itemFailed(const std::string &item, const Error &error, TimePoint now);
    void itemLoading(const std::string &item, TimePoint expectedReady, TimePoint now);
    void itemAbsent(const std::string &item);
    /// @brief Handles a target whose memory contents are no longer known: queued attempts wait for their model again.
    void targetLost(TimePoint now);
    void targetProbed(TargetCondition condition, TimePoint now);

    void step(TimePoint now);
    /// @brief Returns the number of attempts that have not ended.
    std::size_t live() const;
    void report(proto::TargetLoad &load) const;

private:
    using AttemptPointer = std::shared_ptr<Attempt>;

    /// Result with which an attempt ends.
    struct Outcome {
        Error error{ResultCode::Ok, {}};
        proto::RunReport run = proto::NOT_RUN;
        bool targetCrashed = false;
        Duration retryAfter{};
    };

    AttemptPointer find(const std::string &id) const;
    bool isEngine() const;
    void admit(const AttemptPointer &attempt, TimePoint now);
    bool admitModel(const AttemptPointer &attempt, TimePoint now);
    QueueEntry queueEntry(const Attempt &attempt) const;
    void refuseAll(const std::vector<RefusedEntry> &refused, TimePoint now);
    void dispatch(const AttemptPointer &attempt, TimePoint now);
    void startCall(const AttemptPointer &attempt, TimePoint now);
    void onHead(const AttemptPointer &attempt, int status, const HttpFields &headers);
    void onData(const AttemptPointer &attempt, const std::string &data);
    void onCallEnd(const AttemptPointer &attempt, const HttpCallEnd &end, TimePoint now);
    void targetDied(TimePoint now);
    bool isUnanswered(const Attempt &attempt, TimePoint now) const;
    void resumeOrFinish(const AttemptPointer &attempt, TargetCondition condition, TimePoint now);
    void suspend(const AttemptPointer &attempt);
    bool resumable(const Attempt &attempt) const;
    void checkDeadlines(TimePoint now);
    void cutCall(const AttemptPointer &attempt);
    void finish(const AttemptPointer &attempt, Outcome outcome, TimePoint now);
    void release(const AttemptPointer &attempt, std::uint64_t tokens, TimePoint now);
    void forgetOld(TimePoint now);
    void sendHead(const Attempt &attempt);
    void sendChunk(const Attempt &attempt, const SequencedChunk &chunk);
    void sendEnd(const Attempt &attempt);
    void emit(AgentEventKind kind, const Attempt &attempt, std::string detail = {});

    AttemptDependencies m_dependencies;
    AgentView m_view;
    std::shared_ptr<const PoolSpec>
        m_pool; ///< Last declared specification; kept after the removal of the pool to finish its attempts.
    std::unique_ptr<AdmissionQueue> m_queue;
    std::map<std::string, AttemptPointer> m_attempts;
    std::deque<AttemptPointer> m_ended;
    std::size_t m_live = 0;
    RecentClaims m_claims;
    ServiceTimes m_serviceTimes;
    unsigned m_silentProbes = 0; ///< Since the target last answered a probe.
    bool m_stopping = false;
};

} // namespace celeryroute
