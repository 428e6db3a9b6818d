#pragma once

#include <celeryroute/detail/allowance/allowancequeue.h>
#include <celeryroute/detail/gateway/admissioncontrol.h>
#include <celeryroute/detail/gateway/call.h>
#include <celeryroute/detail/gateway/crashsuspects.h>
#include <celeryroute/detail/gateway/routetable.h>
#include <celeryroute/detail/gateway/streamorigins.h>
#include <celeryroute/detail/http1/callerserver.h>
#include <celeryroute/detail/http1/targetchannels.h>
#include <celeryroute/detail/placement/callqueue.h>
#include <celeryroute/detail/placement/enginechooser.h>
#include <celeryroute/detail/placement/plainchooser.h>
#include <celeryroute/detail/placement/targettable.h>
#include <celeryroute/detail/serving/headernames.h>
#include <celeryroute/detail/serving/servingbounds.h>
#include <celeryroute/detail/telemetry/decisionlog.h>
#include <celeryroute/detail/telemetry/servingmetrics.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace celeryroute {

/// Accepts callers' requests and owns one Call for each until its final answer.
class Gateway final : private CallerHandler
{
public:
    /// Dependencies of the gateway. All of them must outlive it.
    struct Dependencies {
        EventLoop &loop;
        const HeaderNames &names;
        TargetTable &targetTable;
        AdmissionControl &admission;
        DecisionLog &log;
        ServingMetrics &metrics;
    };

    /// @brief Called when this entry's load or demand at @p target changed and its agent should be told.
    /// @param urgent whether the report should be sent at once
    using DemandChanged = std::function<void(const std::string &target, bool urgent)>;

    Gateway(const Dependencies &dependencies, std::uint64_t seed, DemandChanged demandChanged);
    ~Gateway() override;

    Result<void> listen(const Endpoint &endpoint);

    /// @brief Sets the source of the number of the next message to other processes, for the log.
    void useMessageNumbers(std::function<std::uint64_t()> next);
    std::optional<std::uint64_t> nextMessage() const;

    /// @brief Applies a new desired state.
    void setState(const ServingStatePtr &state);
    /// @brief Reconsiders calls that wait for one of @p models.
    void targetsChanged(const ChangedModels &models);

    /// @brief Starts to shut down: each connection is closed after its next answer.
    /// @param callsEnd when calls that are still in progress will be ended
    void beginStop(TimePoint callsEnd = TimePoint::max());
    /// @brief Stops listening and closes idle connections. Calls in progress continue; of new ones on connections that
    /// are in use, those that may last until calls are ended are refused.
    void stopAccepting();
    /// @brief Whether a new call with this deadline is refused because the shutdown might cut it.
    bool mayBeCutByStop(TimePoint deadline) const
    {
        return !m_accepting && deadline > m_callsEnd;
    }
    /// @brief Gives waiting calls their final answer, so that their callers can retry at another entry in time.
    void endWaitingCalls();
    /// @brief Gives every call its final answer now.
    void endAllCalls();
    /// @brief Number of calls without a final answer.
    std::size_t callsInProgress() const
    {
        return m_calls.size();
    }
    /// @brief Calls in progress that wait to be sent or retried.
    std::size_t callsWaiting() const
    {
        return m_queue.size();
    }
    std::size_t targetConnections() const
    {
        return m_channels.size();
    }
    std::size_t callersConnected() const
    {
        return m_server.connections();
    }

    EventLoop &loop()
    {
        return m_dependencies.loop;
    }
    const HeaderNames &names() const
    {
        return m_dependencies.names;
    }
    TargetTable &targetTable()
    {
        return m_dependencies.targetTable;
    }
    AdmissionControl &admission()
    {
        return m_dependencies.admission;
    }
    DecisionLog &log()
    {
        return m_dependencies.log;
    }
    ServingMetrics &metrics()
    {
        return m_dependencies.metrics;
    }
    TargetChannels &channels()
    {
        return m_channels;
    }
    PlainChooser &plainChooser()
    {
        return m_plainChooser;
    }
    EngineChooser &engineChooser()
    {
        return m_engineChooser;
    }
    CallQueue &queue()
    {
        return m_queue;
    }
    const CallQueue &queue() const
    {
        return m_queue;
    }
    /// @brief Bounds what callers' connections hold, and the descriptors of callers and targets together.
    /// @param memoryBytes 0 for no limit
    /// @param descriptors SIZE_MAX for no limit
    void limitCallers(std::size_t memoryBytes, std::size_t descriptors);
    const MemoryAccount &memoryAccount() const
    {
        return m_server.account();
    }
    /// @brief What the desired state in force says about a request.
    /// @param wasAuthorized whether its key was accepted before
    Admittance admittance(const MessageHead &head, const std::optional<std::string> &key, bool wasAuthorized) const;
    const AnswerBuffers &answerBuffers() const
    {
        return m_answerBuffers;
    }
    AnswerBuffers &answerBuffers()
    {
        return m_answerBuffers;
    }
    CrashSuspects &suspects()
    {
        return m_suspects;
    }
    StreamOrigins &streamOrigins()
    {
        return m_streamOrigins;
    }
    /// Software versions that may have served in a pool within a time and that the registry no longer shows; nullopt if
    /// that is not known.
    using EarlierVersions =
        std::function<std::optional<std::vector<std::string>>(const std::string &pool, Duration lifetime)>;
    /// @brief Sets where earlier versions are known from. Without it there are none.
    void useEarlierVersions(EarlierVersions earlierVersions)
    {
        m_earlierVersions = std::move(earlierVersions);
    }
    std::optional<std::vector<std::string>> earlierVersions(const std::string &pool, Duration lifetime) const
    {
        return m_earlierVersions ? m_earlierVersions(pool, lifetime) : std::vector<std::string>();
    }
    /// @brief Routing table of the current desired state; null before the first state was applied.
    const std::shared_ptr<const RouteTable> &table() const
    {
        return m_table;
    }

    /// @brief Queues @p call, or updates what it waits for.
    void enqueue(const WaitingCall &call);
    /// @brief Reports that the load or the demand at @p target changed.
    void noteDemand(const std::string &target, bool urgent);
    /// @brief Sets the share of a route's latency goal for which a call may wait for its customer's allowance.
    void useAllowanceWait(double share);
    /// @brief Sets the longest allowed pause with which routes rank calls; takes effect with the next state.
    void useRankedGap(Duration gap);
    double allowanceWait() const
    {
        return m_allowanceWait;
    }
    /// @brief Calls that wait until their customers' allowances cover them.
    AllowanceQueue &allowanceQueue()
    {
        return m_allowanceQueue;
    }
    /// @brief Charges the waiting calls that are due, now and when the next one is.
    void processAllowanceQueue();
    /// @brief Requests an additional replica of an item ahead of demand; no call waits for it.
    void requestSpareReplica(const LoadRequest &want);
    /// @brief Requests holders elsewhere for the models in use that only targets of evacuated domains hold.
    /// @return Number of models requested.
    std::size_t replaceEvacuated();
    /// @brief Sets the longest pause that a target may ask for.
    void useMaxTargetPause(Duration longest);
    /// @brief Records that @p target refused a call and asked for a pause of @p asked seconds.
    void notePause(const std::string &target, const std::string &asked);
    /// @brief Records the values of the header fields in which a target named its limit, in its answer to a call that
    /// was sent to @p destination. Without any the target has no limit.
    void noteLimit(const AttemptDestination &destination, const std::vector<std::string_view> &named);
    /// @brief Sets the function that is called when a target's limit has changed, or a call waits for a permit to be
    /// sent to a target with a limit.
    void useLimitExchange(std::function<void()> advance)
    {
        m_advanceLimits = std::move(advance);
    }
    /// @brief Reconsiders calls that wait for permits for @p targets, the most urgent first.
    void permitsArrived(const std::vector<std::string> &targets);
    /// @brief Marks requests that got no answer from @p target, which has died, as suspects.
    void targetDied(const std::string &target);
    /// @brief The first of the prompt parts @p parts that crashes targets, if there is one.
    std::optional<std::uint64_t> crashingPart(const std::vector<std::uint64_t> &parts);
    /// @brief Records a send that may have run and got no answer.
    void noteUnanswered(const UnansweredSend &send);
    /// @brief Items that the agent of @p target should load: those that calls wait for, and a spare replica.
    std::vector<DemandedItem> demandAt(const std::string &target) const;
    /// @brief Records that the answer to @p request has not left @p connection yet.
    void noteUnsentAnswer(CallerConnection &connection, const std::string &request);
    /// @brief Removes @p call after this turn of the event loop.
    void finished(Call &call);

private:
    void logSuspected(const CrashSuspects::Suspicion &suspicion, const std::string &target);
    void callerRequest(CallerConnection &connection, CallerRequest request) override;
    bool refusesHead(CallerConnection &connection, const MessageHead &head) override;
    void refuseRequest(CallerConnection &connection, CallerRequest request) override;
    void connectionEvicted(CallerConnection &connection, const Eviction &eviction) override;
    WholeAnswer rejection(int status) const override;
    void callerLeft(CallerConnection &connection) override;
    void callerDrained(CallerConnection &connection) override;
    void requestRejected(int status) override;
    void answerDropped(CallerConnection &connection, std::size_t unsent) override;
    void connectionEnded(CallerConnection &connection) override;
    const CallerLimits &callerLimits() const override;
    bool stopping() const override
    {
        return m_stopping;
    }

    struct SpareReplica {
        std::string item;
        TimePoint since;
    };

    Call &addCall(CallerConnection &connection, CallerRequest request);
    void scheduleResume();
    void standingChanged(const HealthChange &change);
    void leavingChanged(const LeavingChange &change);
    void logCold(const ColdChange &change);
    void scheduleQueueProcessing();
    void processQueue();
    void reconsider(std::uint64_t call);

    Dependencies m_dependencies;
    DemandChanged m_demandChanged;
    std::function<std::uint64_t()> m_nextMessage;
    std::function<void()> m_advanceLimits;
    CallerServer m_server;
    TargetChannels m_channels;
    PlainChooser m_plainChooser;
    EngineChooser m_engineChooser;
    CallQueue m_queue;
    CrashSuspects m_suspects;
    AnswerBuffers m_answerBuffers;
    StreamOrigins m_streamOrigins;
    EarlierVersions m_earlierVersions;
    std::shared_ptr<const RouteTable> m_table;
    CallerLimits m_limits;
    std::uint64_t m_nextCall = 1;
    std::map<std::uint64_t, std::unique_ptr<Call>> m_calls;
    std::map<CallerConnection *, Call *> m_callsByCaller;
    std::map<CallerConnection *, std::string> m_unsentAnswers; ///< Ids of the requests whose answers have not left yet.
    std::map<std::string, std::vector<SpareReplica>> m_replacements; ///< Models of evacuated targets, by new target.
    std::map<std::string, SpareReplica> m_spareReplicas; ///< Last requested spare replica by target.
    AllowanceQueue m_allowanceQueue;
    double m_allowanceWait = 0;
    Duration m_rankedGap{};
    EventLoop::TimerId m_allowanceTimer = 0;
    Duration m_maxTargetPause = ServingBounds().maxTargetPause;
    EventLoop::TimerId m_resumeTimer = 0;
    EventLoop::TimerId m_queueTimer = 0;
    bool m_stopping = false;
    bool m_accepting = true;
    TimePoint m_callsEnd = TimePoint::max();
};

} // namespace celeryroute
