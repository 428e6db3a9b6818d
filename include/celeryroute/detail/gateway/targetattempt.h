#pragma once

#include <celeryroute/detail/gateway/answerbuffers.h>
#include <celeryroute/detail/http1/targetchannels.h>
#include <celeryroute/detail/http1/targetexchange.h>
#include <celeryroute/detail/placement/targettable.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace celeryroute {

class TargetAttempt;

/// What was received so far of a target's answer.
struct TargetAnswer {
    MessageHead head;
    std::string body; ///< The whole body, or for a stream of events only the incomplete last event.
    std::size_t searchedBytes = 0; ///< Bytes of `body` that were searched for the end of an event.
    bool notRun = false; ///< The target reported that it did not run the call.
    bool signedByTarget = false;
    bool isEventStream = false; ///< The body is a stream of events.
    bool hasEvents = false; ///< At least one complete event of the stream was taken.

    /// @brief Bytes that the target sent after the last complete event of its stream.
    std::optional<std::size_t> partialEventBytes() const;
    /// @brief Whether a stream ended before its last event, though the connection shows no failure.
    bool brokeOffInOrder() const;
};

/// Receives the answers to the attempts of a call. A callback may abandon any of them.
class AttemptUser
{
public:
    AttemptUser() = default;
    virtual ~AttemptUser() = default;
    AttemptUser(const AttemptUser &) = delete;
    AttemptUser &operator=(const AttemptUser &) = delete;

    virtual void attemptHead(TargetAttempt &attempt, MessageHead head) = 0;
    /// @brief The target sent an answer that belongs to another request.
    virtual void attemptStrayHead(const TargetAttempt &attempt, const MessageHead &head) = 0;
    /// @brief More of the body was added to the answer of @p attempt.
    virtual void attemptBody(TargetAttempt &attempt) = 0;
    virtual void attemptComplete(TargetAttempt &attempt) = 0;
    virtual void attemptFailed(TargetAttempt &attempt, ExchangeFailure failure) = 0;
};

/// Whereto and when a call was sent.
struct AttemptDestination {
    std::string target;
    std::int64_t bornMs = 0; ///< Start of the target's lifetime.
    std::string softwareVersion; ///< Of the target.
    std::uint32_t number = 0; ///< Counts the attempts of a call from 1.
    TimePoint sentAt;
    bool operator==(const AttemptDestination &) const = default;
};

/// One send of a call to a target.
class TargetAttempt final : private ExchangeUser
{
public:
    /// @param ticket the entry of the call in the table of targets
    TargetAttempt(EventLoop &loop,
                  AnswerBuffers &buffers,
                  AttemptUser &user,
                  AttemptDestination destination,
                  CallTicket ticket);

    void start(TargetChannels &channels, const Endpoint &endpoint, TargetRequest request);
    /// @brief Leaves the exchange, if it is in progress; the target sees its connection close.
    void abandon();
    /// @brief The limit that the answer exceeds, if it does; one of answerlimits.
    std::optional<std::string_view> exceededLimit() const;
    /// @brief Drops what was received of the body.
    void discardBody();
    void setReading(bool reading);
    void noteProgress(TimePoint now);
    /// @brief The ticket, if it was not taken before.
    std::optional<CallTicket> takeTicket();

    const AttemptDestination &destination() const
    {
        return m_destination;
    }
    const std::optional<CallTicket> &ticket() const
    {
        return m_ticket;
    }
    bool isInProgress() const
    {
        return m_connection != nullptr;
    }
    /// @brief Whether the exchange is in progress and the target may have run the call.
    bool mayRun() const
    {
        return m_connection != nullptr && m_connection->sentAny() && !m_answer.notRun;
    }
    /// @brief Time of the last bytes of the answer's body, or else of the send.
    TimePoint lastProgress() const
    {
        return m_lastProgress;
    }
    TargetAnswer &answer()
    {
        return m_answer;
    }

private:
    void exchangeHead(MessageHead head) override;
    void exchangeStrayHead(const MessageHead &head) override;
    void exchangeBody(std::string &body) override;
    void exchangeComplete() override;
    void exchangeFailed(ExchangeFailure failure) override;

    EventLoop &m_loop;
    AttemptUser &m_user;
    AttemptDestination m_destination;
    std::optional<CallTicket> m_ticket;
    TargetConnection *m_connection = nullptr;
    AnswerBuffers &m_buffers;
    const AnswerBounds m_boundsAtStart;
    AnswerBuffers::Holding m_held;
    TargetAnswer m_answer;
    TimePoint m_lastProgress;
};

} // namespace celeryroute
