#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace celeryroute {

/// @brief Follows one answer: splits a stream at event ends and counts its events and tokens.
class AnswerMeter
{
public:
    /// @brief Starts an answer of this content type; an event stream is relayed by whole events.
    void begin(const std::string &contentType);
    /// @brief The bytes that may be relayed now.
    std::string take(const std::string &data);
    /// @brief What is left at the end of a whole answer.
    std::string takeRest();
    /// @brief Drops a part of an event, before the stream goes on over another connection.
    void dropPartial();

    bool eventStream() const;
    std::uint64_t events() const; ///< Whole events taken.
    bool done() const; ///< The stream's last event was seen.
    /// @brief Tokens that the answer reports; otherwise @p promptTokens and one for each event, or
    /// @p reserved when the answer is not a stream.
    std::uint64_t tokensUsed(std::uint64_t promptTokens, std::uint64_t reserved) const;

private:
    void inspect(const std::string &event);

    bool m_eventStream = false;
    bool m_done = false;
    std::uint64_t m_events = 0;
    std::uint64_t m_reportedTokens = 0;
    std::string m_partial;
    std::string m_body; ///< Of an answer that is not a stream, for its usage field.
};

} // namespace celeryroute
