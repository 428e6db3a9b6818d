#pragma once

#include <celeryroute/detail/http1/messagehead.h>
#include <celeryroute/time.h>

#include <memory>
#include <string>

namespace celeryroute {

/// A request as it is written to a target.
struct TargetRequest {
    std::string head; ///< With the empty line at its end.
    std::string body;
    std::shared_ptr<const std::string> sharedBody{}; ///< Follows body; held by its call for further attempts.
    std::string id; ///< Echoed by the target.
    bool withoutAnswerBody = false; ///< HEAD
    bool single = false; ///< On a new channel that is not kept.
    Duration connectTimeout = std::chrono::milliseconds(400);
};

/// Why an exchange ended without a whole answer.
enum class ExchangeFailure {
    NotConnected, ///< No byte has left.
    NotSent, ///< The channel broke before any byte of the request left.
    NoAnswer, ///< The channel ended after bytes had left and before the answer began.
    Torn, ///< The answer ended early.
    Malformed, ///< What came is not an answer to this request.
    Overlong, ///< A head, chunk line or trailer, or what came before the answer, exceeded a limit.
    Dripping, ///< A head, chunk line or trailer came little by little for too long.
};

/// Receives the answer of a target. A callback may end the exchange.
class ExchangeUser
{
public:
    ExchangeUser() = default;
    virtual ~ExchangeUser() = default;
    ExchangeUser(const ExchangeUser &) = delete;
    ExchangeUser &operator=(const ExchangeUser &) = delete;

    virtual void exchangeHead(MessageHead head) = 0;
    /// @brief The head of an answer that belongs to another request; its body is dropped.
    virtual void exchangeStrayHead(const MessageHead &) {}
    /// @brief @p body holds new bytes; what is left in it is offered again with the next ones.
    virtual void exchangeBody(std::string &body) = 0;
    virtual void exchangeComplete() = 0;
    virtual void exchangeFailed(ExchangeFailure failure) = 0;
};

} // namespace celeryroute
