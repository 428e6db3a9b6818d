#pragma once

#include <celeryroute/result.h>

#include <cstdint>
#include <string>
#include <vector>

namespace celeryroute {

/// A chat request as the engine understands it.
struct GenerationRequest {
    std::string model; ///< `model` or `model/adapter`.
    std::string prompt; ///< The contents of all messages, a line each.
    unsigned maxTokens = 0;
    bool stream = false;
    bool operator==(const GenerationRequest &) const = default;
};

/// @brief Reads the body of a chat-completions call; fails with RequestMalformed.
Result<GenerationRequest> parseGenerationRequest(const std::string &body);

/// @brief The words of the answer, which follow from model and prompt alone; the first is their digest.
std::vector<std::string> generateTokens(const GenerationRequest &request);

/// @brief The text of the answer to @p prompt, for tests that check whose answer came.
std::string expectedAnswer(const std::string &model, const std::string &prompt, unsigned maxTokens);

/// @brief A rough count of the tokens in @p prompt.
std::uint64_t promptTokens(const std::string &prompt);

/// @brief The body of a whole answer.
std::string wholeAnswer(const GenerationRequest &request, const std::string &requestId);

/// @brief The events of a streamed answer, each with its terminating blank line.
std::vector<std::string> streamEvents(const GenerationRequest &request, const std::string &requestId);

} // namespace celeryroute
