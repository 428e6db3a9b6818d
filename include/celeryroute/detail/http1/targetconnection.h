#pragma once

#include <celeryroute/detail/http1/framingpace.h>
#include <celeryroute/detail/http1/messageparser.h>
#include <celeryroute/detail/http1/targetexchange.h>
#include <celeryroute/detail/net/endpoint.h>
#include <celeryroute/detail/net/tcpchannel.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace celeryroute {

/// A channel to a target that carries one exchange at a time.
class TargetConnection final : private ChannelUser
{
public:
    /// Called when nothing more can be sent over the connection; it may be destroyed after this turn.
    using Ended = std::function<void(TargetConnection &)>;
    /// Called when the connection can carry the next exchange.
    using Idle = std::function<void(TargetConnection &)>;

    /// What holds for all targets.
    struct Conventions {
        std::string requestId; ///< Name of the field that tells the exchange.
        std::string notRun{}; ///< Name of the field that says that a request was not run; may be empty.
        /// How long targets that do not state it keep an idle channel. They may close sooner than a second.
        Duration idleLimit = std::chrono::milliseconds(300);
        /// Sending time after which a head, a chunk line or a trailer of an answer must be complete.
        Duration framingTime = std::chrono::seconds(2);
    };

    TargetConnection(EventLoop &loop,
                     const Endpoint &endpoint,
                     int socket,
                     const Conventions &conventions,
                     Idle idle,
                     Ended ended);
    ~TargetConnection() override;

    const Endpoint &endpoint() const
    {
        return m_endpoint;
    }

    /// @brief Begins an exchange on a new or idle connection.
    void start(TargetRequest request, ExchangeUser &user);

    /// @brief Leaves an exchange at once; the target sees its channel close.
    void abandon();

    /// @brief Stops or resumes reading an answer that its caller takes too slowly.
    void setReading(bool reading);

    /// @brief Whether any byte of the present request has left.
    bool sentAny() const
    {
        return m_channel && m_channel->sentAny();
    }

    /// @brief Whether an idle connection may still be used at @p now.
    bool usable(TimePoint now) const;

    /// @brief Whether the connection has carried a request with this id that was not served. Its target may write the
    /// refusal once more, and in a second exchange with that id nothing would tell it from the answer.
    bool hasRefused(const std::string &requestId) const;

    /// @brief When an idle connection is no longer usable.
    TimePoint expiry() const
    {
        return m_expiry;
    }

private:
    void channelConnected() override;
    void channelReceived() override;
    void channelClosed(bool reset) override;

    bool answerProgress();
    /// @brief Whether the answer kept all limits so far; otherwise the exchange has failed.
    bool keepsLimits(std::size_t consumed);
    /// @brief Counts @p bytes that do not belong to the answer; false if they are too many and the exchange has failed.
    bool passOver(std::size_t bytes);
    bool takeHead();
    void completeAnswer();
    /// @brief Whether an answer that ends with its connection, which has just ended in order, is more than a part.
    bool isWholeAtEnd() const;
    void resetParser();
    void fail(ExchangeFailure failure);
    void end();
    bool isForeign(const MessageHead &head) const;
    void noteKeepAlive(const MessageHead &head);

    EventLoop &m_loop;
    Endpoint m_endpoint;
    const Conventions &m_conventions;
    Idle m_idle;
    Ended m_ended;
    std::optional<TcpChannel> m_channel;
    ExchangeUser *m_user = nullptr;
    TargetRequest m_request;
    std::unique_ptr<MessageParser> m_parser;
    FramingPace m_pace;
    std::size_t m_passedBytes = 0; ///< Of interim answers and answers to other requests, during the exchange.
    std::vector<std::uint64_t> m_refused; ///< Digests of the ids of requests that were not served.
    bool m_refuses = false; ///< The head of the answer says that the request was not served.
    bool m_headTaken = false;
    bool m_endsWithConnection = false; ///< The answer has neither a length nor chunks.
    bool m_foreign = false;
    bool m_reusable = true;
    bool m_dead = false;
    bool m_reported = false;
    std::uint32_t m_exchanges = 0;
    Duration m_idleLimit{};
    TimePoint m_expiry{};
    EventLoop::TimerId m_connectTimer = 0;
    std::shared_ptr<bool> m_alive;
};

} // namespace celeryroute
