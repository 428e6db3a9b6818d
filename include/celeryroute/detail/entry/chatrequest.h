#pragma once

#include <celeryroute/result.h>

#include <cstdint>
#include <string>

namespace celeryroute {

/// Fields of a chat-completions body that affect routing and budgets; the body is forwarded unchanged.
struct ChatRequest {
    std::string model; ///< `model` or `model/adapter`.
    bool stream = false;
    std::uint32_t promptTokens = 0; ///< Estimated; see estimateTokens().
    std::uint32_t maxTokens = 0; ///< Maximum number of tokens of the answer.
    bool operator==(const ChatRequest &) const = default;
};

/// Tokens reserved for an answer whose caller sets no limit.
constexpr std::uint32_t DefaultMaxTokens = 256;

/// @brief Number of budget tokens charged for @p text: a quarter of its bytes, rounded up.
std::uint32_t estimateTokens(const std::string &text);

/// @brief Reads a chat-completions body. Fails with RequestMalformed.
Result<ChatRequest> parseChatRequest(const std::string &body);

} // namespace celeryroute
