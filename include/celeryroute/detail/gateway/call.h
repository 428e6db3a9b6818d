#pragma once

#include <celeryroute/detail/gateway/callfields.h>
#include <celeryroute/detail/gateway/eventsplitter.h>
#include <celeryroute/detail/gateway/routetable.h>
#include <celeryroute/detail/http1/callerconnection.h>
#include <celeryroute/detail/http1/targetconnection.h>
#include <celeryroute/detail/net/eventloop.h>
#include <celeryroute/detail/placement/enginecall.h>
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

/// One caller's request on its way to one final answer.
class Call final : private ExchangeUser
{
public:
    /// @param number unique among the calls of this entry
    Call(Gateway &gateway, std::uint64_t number, CallerConnection &caller, CallerRequest request);
    ~Call() override;

    /// @brief Admits the request and sends it, lets it wait, or answers it.
    void begin();
    /// @brief Decides anew for a call that waits; something it may concern has changed.
    void reconsider();
    /// @brief Gives up waiting.
    void giveUp(std::string_view reason);
    /// @brief Gives the final answer now, whatever the call waits for.
    void endNow(std::string_view reason);
    void callerLeft();
    void callerDrained();

    std::uint64_t number() const
    {
        return m_number;
    }
    /// @brief The connection that the request came on; it may be gone.
    CallerConnection *connection() const
    {
        return m_connection;
    }

private:
    enum class Phase {
        Waiting, ///< For an item, for room, or for a decision.
        Sent, ///< To a target; nothing of the answer went to the caller.
        Streaming, ///< Events go to the caller.
        Done,
    };

    /// What came of the exchange in progress so far.
    struct Answer {
        MessageHead head;
        std::string body; ///< Of a stream, what is no whole event yet.
        bool notRun = false; ///< The target says that it did not run the call.
        bool signedByTarget = false;
        bool events = false;
    };

    void exchangeHead(MessageHead head) override;
    void exchangeBody(std::string &body) override;
    void exchangeComplete() override;
    void exchangeFailed(ExchangeFailure failure) override;

    // Admission.
    bool findRoute(const std::shared_ptr<const RouteTable> &table);
    bool findCustomer();
    bool takeAllowance();
    void pickPool();
    double cost() const;
    bool heldBack();
    bool stateHolds();

    // Choice of target.
    void attempt();
    void attemptPlain();
    void attemptEngine();
    bool usesEngine() const;
    EngineCall engineCall() const;
    void decide(const SendTo &verdict);
    void decide(const WaitForLoad &verdict);
    void decide(const WaitForRoom &verdict);
    void decide(const Refuse &verdict);
    void wait(const std::string &item, const std::string &target, Duration expected);
    void send(const std::string &targetId);
    std::optional<TargetRequest> targetRequest(const KnownTarget &target);

    // Answers.
    /// @param reason why it is the final one, if it tells of a failure
    void passAnswer(std::string_view reason = {});
    void noteAnswered();
    void noteFailure(int status, std::string_view reason);
    void beginStream();
    void passEvents();
    void finishStream();
    void logResumed(const std::string &targetId);
    bool mayRunAgain() const;
    void endAttempt(CallEnd end);
    void tryAgain(std::string_view reason);
    void failFinally(std::string_view reason);
    void armStall();
    Duration patience() const;
    void stalled();
    void limitReached();
    void refuse(int status, std::string_view reason, Duration retryAfter);
    void answerOwn(int status, std::optional<Duration> retryAfter);
    void refundUnlessRun();
    void answerCaller(const AnswerHead &head, std::string_view body);
    void done();

    /// @brief The target that is in question: asked for a load, or sent to last.
    std::string targetInQuestion() const;
    std::uint64_t stateVersion() const;
    Duration remaining() const;
    /// @brief When the caller leaves unless an event reaches it before.
    TimePoint silenceLimit() const;
    /// @brief Whether events went to the caller.
    bool begun() const
    {
        return m_events.events() > 0;
    }

    Gateway &m_gateway;
    std::uint64_t m_number;
    CallerConnection *const m_connection;
    CallerConnection *m_caller;
    CallerRequest m_request;
    CallFields m_fields;
    Phase m_phase = Phase::Waiting;
    std::shared_ptr<const RouteTable> m_table;
    const ServingRoute *m_route = nullptr;
    const ServingCustomer *m_customer = nullptr;
    std::string m_customerName;
    std::string m_pool;
    TimePoint m_limit;
    double m_cost = 0;
    bool m_charged = false;
    std::uint64_t m_spendingStep = 0;
    bool m_asked = false;

    TargetConnection *m_exchange = nullptr;
    std::string m_target;
    std::int64_t m_targetBornMs = 0;
    std::uint64_t m_digest = 0; ///< Of caller, path and body: a request that comes again has the same.
    CallTicket m_ticket = 0;
    bool m_ticketOpen = false;
    Answer m_answer;
    std::optional<Answer> m_failure; ///< A target's own failure, passed on when nothing better comes.
    std::vector<std::string> m_excluded;
    std::string_view m_againFor; ///< Why the last send came to nothing.
    std::uint32_t m_sends = 0;
    std::uint32_t m_arrivals = 0; ///< Sends that may have reached a target.
    std::uint32_t m_runs = 0; ///< Sends that may have run.
    TimePoint m_sentAt;
    std::optional<TimePoint> m_firstByte; ///< Of the answer that goes to the caller.
    EventSplitter m_events;
    std::string m_version; ///< Weights that the stream so far came from.
    EventLoop::TimerId m_limitTimer = 0;
    EventLoop::TimerId m_stallTimer = 0;
    TimePoint m_lastProgress;
    TimePoint m_heardAt; ///< When the caller sent the call, or last got an event.
    bool m_held = false; ///< Reading from the target is stopped.
};

} // namespace celeryroute
