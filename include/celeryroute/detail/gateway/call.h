#pragma once

#include <celeryroute/detail/allowance/allowancequeue.h>
#include <celeryroute/detail/gateway/admittance.h>
#include <celeryroute/detail/gateway/callfields.h>
#include <celeryroute/detail/gateway/eventsplitter.h>
#include <celeryroute/detail/gateway/resumption.h>
#include <celeryroute/detail/gateway/targetattempt.h>
#include <celeryroute/detail/http1/callerconnection.h>
#include <celeryroute/detail/net/eventloop.h>
#include <celeryroute/detail/placement/enginecall.h>
#include <celeryroute/detail/placement/plainchooser.h>
#include <celeryroute/detail/placement/targettable.h>
#include <celeryroute/detail/placement/verdicts.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace celeryroute {

class Gateway;

/// Handles one request of a caller, from admission to its single final answer.
class Call final : private AttemptUser
{
public:
    /// @param number unique among the calls of this entry
    Call(Gateway &gateway, std::uint64_t number, CallerConnection &caller, CallerRequest request);
    ~Call() override;

    /// @brief Admits the request, then sends it to a target, queues it or refuses it.
    void begin();
    /// @brief Refuses the request, of which only the head has arrived.
    void refuseFromHead();
    /// @brief If the call waits for a target, chooses one again; for use after a change of targets or of the desired
    /// state.
    void reconsider();
    /// @brief Charges a call that waits for its customer's allowance, if this covers it now.
    void retryCharge();
    /// @brief Gives the final answer if the call is waiting.
    void endIfWaiting(std::string_view reason);
    /// @brief Gives the final answer now, in any phase.
    void endNow(std::string_view reason);
    /// @brief Handles that the caller disconnected.
    void callerLeft();
    /// @brief Resumes reading from the target, because the caller's send buffer has room again.
    void callerDrained();

    std::uint64_t number() const
    {
        return m_number;
    }
    /// @brief The connection that the request came from. May be dangling; only for comparison.
    CallerConnection *connection() const
    {
        return m_connection;
    }

private:
    enum class Phase {
        Waiting, ///< Waits for a model or adapter to load, for capacity, or for the choice of a target.
        Sent, ///< Sent to a target; the caller has received nothing yet.
        Streaming, ///< Events were forwarded to the caller.
        Done,
    };

    /// Tells callers when to come back, if nothing better is known.
    static constexpr Duration DefaultRetryAfter = std::chrono::milliseconds(200);

    void attemptHead(TargetAttempt &attempt, MessageHead head) override;
    void attemptStrayHead(const TargetAttempt &attempt, const MessageHead &head) override;
    void attemptBody(TargetAttempt &attempt) override;
    void attemptComplete(TargetAttempt &attempt) override;
    void attemptFailed(TargetAttempt &attempt, ExchangeFailure failure) override;

    // Admission.
    /// @brief What the desired state in force says about the request now.
    Admittance admittance() const;
    /// @brief Charges the customer's allowance, or lets the call wait until it covers the call, or refuses the call.
    /// @return whether the call is charged
    bool chargeAllowance();
    /// @brief Continues with a call that is charged.
    void admit();
    Duration longestAllowanceWait() const;
    void logAllowanceWait(const AllowanceCall &waiting);
    void leaveAllowanceQueue();
    void selectPool();
    /// @brief Whether the caller takes up a stream of which it has received events.
    bool takesUpStream() const;
    /// @brief If the caller takes up a stream, decides which software version may continue it.
    /// @return false if none may, and the request was refused
    bool pinSoftwareVersion();
    bool pin(const ContinueStream &resumption);
    bool pin(const NoVersionServes &resumption);
    bool pin(const BeginAnew &resumption);
    void noteStreamOrigin();
    /// @brief The only software version whose targets may get the call, if others serve too.
    std::optional<std::string> requiredSoftwareVersion() const;
    bool hasPinnedVersionLeft() const;
    double cost() const;
    bool refuseIfQuarantined();
    bool resolveRouteAndCustomer();

    // Choice of target.
    void chooseTarget();
    void choosePlainTarget();
    void chooseEngineTarget();
    bool usesEngine() const;
    std::uint32_t priority() const;
    std::optional<Duration> returnAfterPauses() const;
    /// @brief Targets that are not chosen while there is another one.
    std::vector<std::string> avoidedTargets() const;
    /// @param excluded targets that are not chosen
    EngineCall engineCall(std::vector<std::string> excluded) const;
    PlainServiceCall plainCall(std::vector<std::string> excluded) const;
    void applyChoice(const SendTo &verdict);
    void applyChoice(const WaitForLoad &verdict);
    void applyChoice(const WaitForRoom &verdict);
    void applyChoice(const Refuse &verdict);
    void waitForRoom(const WaitForRoom &verdict);
    /// @param target whose agent should load @p item, or empty
    /// @param permitTarget for which a permit is needed, or empty
    void enqueue(const std::string &item,
                 const std::string &target,
                 Duration expected,
                 const std::string &permitTarget = {});
    void send(const std::string &targetId);
    TargetAttempt &startAttempt(const KnownTarget &target, const Endpoint &endpoint);
    TargetRequest targetRequest(const KnownTarget &target);

    // Answers.
    /// @brief Forwards a target's answer to the caller.
    /// @param reason why no retry followed, if the answer is a failure
    void forwardAnswer(TargetAnswer answer, std::string_view reason = {});
    /// @brief Whether the head of @p answer is that of a stream of events or of a success.
    bool mayBeForwarded(const TargetAnswer &answer) const;
    void recordSuccess(const TargetAnswer &answer);
    void noteFailure(int status, std::string_view reason);
    void beginStream(TargetAttempt &attempt);
    /// @brief Forwards the whole events that have arrived.
    /// @return false if something else came, and the attempt has ended
    bool forwardEvents(TargetAttempt &attempt);
    /// @param first whether the caller has got no event yet
    void appendEvents(TargetAttempt &attempt, const std::string &events, bool first);
    void endGarbledStream(TargetAttempt &attempt);
    /// @brief Takes over whether the target leaves or asks for a pause.
    void noteAvailability(const TargetAttempt &attempt, const MessageHead &head);
    /// @brief Takes over the limit that the target names.
    /// @param showsEnd whether an answer without a limit shows that the target has none any more
    void noteLimit(const TargetAttempt &attempt, const MessageHead &head, bool showsEnd);
    void noteWeightsVersion(const TargetAnswer &answer);
    void finishStream(TargetAttempt &attempt);
    void logResumed(const std::string &fromTarget);
    bool mayRetry() const;
    /// @brief Leaves @p attempt, if it is in progress, and records how it ended.
    void endAttempt(TargetAttempt &attempt, CallEnd end);
    void endAttempts();
    void exclude(const TargetAttempt &attempt);
    /// @brief Records that the answer of @p attempt exceeded @p limit.
    void noteCutOff(TargetAttempt &attempt, std::string_view limit);
    /// @param mayFollow whether another attempt may be made
    void attemptEnded(const TargetAttempt &attempt, std::string_view reason, bool mayFollow);
    void retry(std::string_view reason);
    void failCall(std::string_view reason);

    // Hedging: while its target is silent, a call may be sent to another one, and to a third one if that is silent
    // too. The first to continue keeps it.
    void startStallTimer();
    Duration stallTimeout() const;
    /// @brief Time of the last bytes that a target in progress has sent, or else of the last send.
    TimePoint lastProgress() const;
    bool mayHedge() const;
    void handleStall();
    /// @brief Sends the call to another target too, or waits until one can take it.
    void hedge();
    void applyHedge(const SendTo &verdict);
    void applyHedge(const WaitForLoad &verdict);
    void applyHedge(const WaitForRoom &verdict);
    void applyHedge(const Refuse &verdict);
    /// @brief Gives up a hedge that is silent too, in favour of another target.
    void leaveSilentHedge();
    void keepTarget(std::string_view reason);
    /// @brief Gives up the hedge, because the silent target continued.
    void endHedging();
    /// @brief Leaves the silent target, because the hedge has begun to answer.
    void switchToHedge();
    /// @brief The hedge becomes the call's only attempt.
    void promoteHedge(std::string_view reason);
    void hedgeFailed(std::string_view reason);
    void deadlineReached();
    void refuse(int status, std::string_view reason, Duration retryAfter);
    void answerDirectly(int status, std::optional<Duration> retryAfter, std::string_view reason = {});
    void refundUnlessRun();
    void answerCaller(const AnswerHead &head, std::string_view body);
    void finish();

    /// @brief Target named in the log: the one that was asked to load a model, or else the last one that got the call.
    std::string targetForLog() const;
    /// @brief The last target that got the call; empty before the first send.
    std::string lastTarget() const;
    bool isAttemptInProgress() const
    {
        return m_current != nullptr && m_current->isInProgress();
    }
    std::uint64_t stateVersion() const;
    Duration remaining() const;
    /// @brief Deadline of the call, or the end of the caller's idle timeout if that is earlier.
    TimePoint callerDeadline() const;
    /// @brief Whether the caller has received events of the answer.
    bool hasStreamed() const
    {
        return m_splitter.eventCount() > 0;
    }

    Gateway &m_gateway;
    std::uint64_t m_number;
    CallerConnection *const m_connection;
    CallerConnection *m_caller;
    CallerRequest m_request; ///< Without its body.
    std::shared_ptr<const std::string> m_body; ///< Shared with the connections to targets.
    CallFields m_fields;
    Phase m_phase = Phase::Waiting;
    std::shared_ptr<const RouteTable> m_table;
    const ServingRoute *m_route = nullptr;
    const ServingCustomer *m_customer = nullptr;
    std::string m_customerName;
    std::string m_pool;
    TimePoint m_deadline;
    double m_cost = 0; ///< Charged to the customer, in tokens or calls.
    bool m_charged = false;
    bool m_waitsForAllowance = false;
    bool m_isComplete = true; ///< Whether the body was read; a call that is refused from its head has none.
    std::uint64_t m_chargeStep = 0;
    bool m_chooserAsked = false;

    std::vector<std::unique_ptr<TargetAttempt>> m_attempts; ///< In the order in which they were sent.
    TargetAttempt *m_current = nullptr; ///< The attempt whose answer the caller gets, or the last one that ended.
    TargetAttempt *m_hedge = nullptr; ///< In progress while the target of the current attempt is silent.
    TimePoint m_hedgeDecided{}; ///< Last decision whether to hedge.
    std::uint64_t m_requestDigest = 0; ///< Hash of customer, path and body; equal when a caller repeats the request.
    std::vector<std::uint64_t> m_sharedParts; ///< Digests of the prompt parts that other requests may share.
    std::optional<std::uint64_t> m_crashingPart; ///< The part for which the request is refused.
    std::optional<TargetAnswer> m_errorAnswer; ///< A target's error answer, forwarded when no retry succeeds.
    std::vector<std::string> m_excluded; ///< Targets that are not chosen again.
    std::string m_limitedTarget; ///< The target for whose limit the call is refused.
    std::vector<std::string> m_leftSilent; ///< Targets that are chosen again only if there is no other.
    std::string_view m_retryReason; ///< Why the last send failed.
    std::uint32_t m_possibleArrivals = 0; ///< Sends that may have reached a target.
    std::uint32_t m_possibleRuns = 0; ///< Ended attempts that may have been executed by their targets.
    std::optional<TimePoint> m_firstEventAt; ///< Time at which the first event was forwarded to the caller.
    EventSplitter m_splitter;
    std::optional<std::string> m_softwareVersion; ///< Version that began the stream; unset before the first event.
    std::optional<std::string> m_pinnedVersion; ///< Version that began the stream that the caller takes up.
    std::string m_weightsVersion; ///< Version of the weights that produced the stream so far.
    EventLoop::TimerId m_deadlineTimer = 0;
    EventLoop::TimerId m_stallTimer = 0;
    TimePoint m_callerIdleSince; ///< Time of the last event that was forwarded to the caller, or else of the request.
    bool m_readingPaused = false; ///< Reading from the target is paused, because the caller reads too slowly.
};

} // namespace celeryroute
