#pragma once

#include <celeryroute/detail/http1/messageparser.h>
#include <celeryroute/detail/net/memoryaccount.h>
#include <celeryroute/detail/net/tcpchannel.h>
#include <celeryroute/detail/serving/servingstate.h>
#include <celeryroute/detail/telemetry/metriclabels.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace celeryroute {

class CallerConnection;

/// A request that was read whole.
struct CallerRequest {
    MessageHead head;
    std::string body;
    TimePoint received; ///< When its last byte was read.
};

/// Start line and fields of an answer, without those that concern one connection.
struct AnswerHead {
    int status = 200;
    std::string reason; ///< Empty for the usual one.
    std::vector<HeaderField> fields;
    bool close = false; ///< Ends the connection after the answer.
};

/// An answer whose body is known.
struct WholeAnswer {
    AnswerHead head;
    std::string body;
};

/// A connection that was refused or closed before its time.
struct Eviction {
    EvictionReason reason = EvictionReason::Memory;
    std::size_t bytes = 0; ///< Held by the connection.
    std::size_t total = 0; ///< Held by all connections.
    Duration idle{}; ///< Since it last made progress.
};

/// Receives the requests of callers' connections.
class CallerHandler
{
public:
    CallerHandler() = default;
    virtual ~CallerHandler() = default;
    CallerHandler(const CallerHandler &) = delete;
    CallerHandler &operator=(const CallerHandler &) = delete;

    /// @brief A request arrived; it is answered through @p connection, now or later.
    virtual void callerRequest(CallerConnection &connection, CallerRequest request) = 0;
    /// @brief The head of a request whose body is not complete arrived. Returns whether the head is enough to refuse
    /// it.
    virtual bool refusesHead(CallerConnection &, const MessageHead &)
    {
        return false;
    }
    /// @brief Answers a request without body that refusesHead() was true for.
    virtual void refuseRequest(CallerConnection &connection, CallerRequest request)
    {
        callerRequest(connection, std::move(request));
    }
    /// @brief @p connection is refused or closed before its time.
    virtual void connectionEvicted(CallerConnection &, const Eviction &) {}
    /// @brief The caller left before its answer was complete; @p connection takes nothing more.
    virtual void callerLeft(CallerConnection &connection) = 0;
    /// @brief The caller has read what was held back by its slowness.
    virtual void callerDrained(CallerConnection &connection) = 0;
    /// @brief A request was refused before it was complete.
    virtual void requestRejected(int status) = 0;
    /// @brief What such a caller is told.
    virtual WholeAnswer rejection(int status) const;
    /// @brief The caller has taken nothing of its answer for the idle timeout; its last @p unsent bytes are dropped.
    virtual void answerDropped(CallerConnection &connection, std::size_t unsent);
    /// @brief Nothing more happens on @p connection; it is to be destroyed after this turn.
    virtual void connectionEnded(CallerConnection &connection) = 0;
    virtual const CallerLimits &callerLimits() const = 0;
    /// @brief Whether connections are closed after their next answer.
    virtual bool stopping() const = 0;
};

/// A caller's connection: reads one request at a time and writes its answer.
class CallerConnection final : private ChannelUser, private MemoryHolder
{
public:
    /// @param number tells the connections of one server apart
    CallerConnection(EventLoop &loop, int socket, CallerHandler &handler, MemoryAccount &account, std::uint64_t number);
    ~CallerConnection() override;

    std::uint64_t number() const
    {
        return m_number;
    }

    /// @brief Answers whole.
    void answer(const AnswerHead &head, std::string_view body);
    /// @brief Begins an answer whose length is not known; then append() and finish().
    void begin(const AnswerHead &head);
    void append(std::string_view bytes);
    /// @brief Hands what was appended to the network.
    void flush();
    void finish();
    /// @brief Ends the connection so that the answer shows as incomplete.
    void cut();

    /// @brief Whether the caller reads too slowly to be sent more.
    bool congested() const;
    /// @brief Bytes of answers that the network has not taken yet.
    std::size_t unsent() const
    {
        return m_channel.unsent();
    }
    bool idle() const
    {
        return m_phase == Phase::Idle;
    }
    /// @brief Whether no request is in progress or has arrived, and no answer is on its way; may make a system call.
    bool mayBeEvicted() const;
    /// @brief When the caller last sent or took a substantial part.
    TimePoint progressAt() const
    {
        return m_holding.progressAt();
    }
    /// @brief Counts what it holds for @p customer instead of its address.
    void useCustomer(const std::string &customer);
    /// @brief Closes the connection to make room for others.
    void evict(EvictionReason reason);
    /// @brief Closes the connection, if it has been idle for @p least and no request has arrived.
    void closeIdle(Duration least = Duration::zero());

private:
    enum class Phase {
        Idle, ///< Between requests.
        Reading,
        Answering,
        Lingering, ///< All was said; reads and drops until the caller closes.
        Ended,
    };

    void channelReceived() override;
    void channelClosed(bool reset) override;
    void channelDrained() override;
    void releaseMemory(MemoryPressure pressure) override;

    void readRequest();
    void readBody(ParseState before, std::size_t consumed);
    void refuseFromHead();
    void noteHeld();
    /// @brief Releases what connections hold beyond the limits; only where no callback of a connection is running.
    void relieveMemory();
    void takeRequest();
    void sendContinue();
    void reject(int status);
    void writeHead(const AnswerHead &head, const std::optional<std::size_t> &length);
    void answerWritten();
    void linger();
    void beginIdleTime();
    /// @brief Whether the connection has a reason to stay open after its deadline.
    bool mayStayOpen();
    void end();
    void setDeadline(Duration fromNow);
    void startTimer();
    void clearDeadline();
    void deadlineReached();

    EventLoop &m_loop;
    CallerHandler &m_handler;
    TcpChannel m_channel;
    const std::uint64_t m_number;
    Phase m_phase = Phase::Idle;
    std::unique_ptr<MessageParser> m_parser;
    bool m_keepAlive = true;
    bool m_chunked = false;
    bool m_withoutBody = false;
    bool m_continued = false;
    bool m_oldVersion = false;
    TimePoint m_idleSince{};
    std::optional<TimePoint> m_deadline;
    std::size_t m_unconfirmedAtDeadline = 0; ///< Bytes of the answer that had not arrived when the deadline was set.
    TimePoint m_timerAt{};
    EventLoop::TimerId m_timer = 0;
    MemoryAccount &m_account;
    MemoryAccount::Holding m_holding;
    std::size_t m_requestBytes = 0; ///< Of the request that is being answered.
    std::size_t m_readSinceProgress = 0;
    std::shared_ptr<bool> m_alive;
};

} // namespace celeryroute
