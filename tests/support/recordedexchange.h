#pragma once

#include <celeryroute/detail/http1/targetexchange.h>

#include <optional>
#include <string>

namespace celeryroute {

/// Records what an exchange with a target brought.
class RecordedExchange final : public ExchangeUser
{
public:
    int status = 0;
    std::string body;
    bool complete = false;
    std::optional<ExchangeFailure> failure;

    bool isOver() const
    {
        return complete || failure;
    }
    /// @brief Whether it brought anything of an answer.
    bool hasAnswer() const
    {
        return complete || status != 0 || !body.empty();
    }

private:
    void exchangeHead(MessageHead head) override;
    void exchangeBody(std::string &bytes) override;
    void exchangeComplete() override;
    void exchangeFailed(ExchangeFailure reason) override;
};

/// @brief A request that a target answers with @p id in its field `X-Request-Id`.
TargetRequest requestWithId(const std::string &id, const std::string &body = {});

} // namespace celeryroute
