#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace celeryroute {

/// @brief Measures one answer: splits an event stream into whole events and counts events and tokens.
class AnswerMeter
{
public:
    /// @brief Starts an answer of this content type. An event stream is relayed in whole events.
    void begin(const std::string &contentType);
    /// @brief Adds @p data and returns the bytes that may be relayed now.
    std::string take(const std::string &data);
    /// @brief Reads the token counts of an answer that is complete.
    void finish();
    /// @brief Whether part of an event has arrived. A stream that ends so has been broken off.
    bool isInsideEvent() const;
    /// @brief Bytes of that part.
    std::size_t partialBytes() const;
    /// @brief Discards an incomplete event before the stream continues over another connection.
    void dropPartial();

    bool isEventStream() const;
    std::uint64_t events() const; ///< Number of whole events received.
    bool done() const; ///< Whether the stream's last event was received.
    /// @brief Returns the tokens that the answer reports. Without a report, returns @p promptTokens plus one for
    /// each event of a stream, or @p reserved for an answer that is not a stream.
    std::uint64_t tokensUsed(std::uint64_t promptTokens, std::uint64_t reserved) const;

private:
    void inspect(const std::string &event);

    bool m_eventStream = false;
    bool m_done = false;
    std::uint64_t m_events = 0;
    std::uint64_t m_reportedTokens = 0;
    std::string m_partial;
    std::string m_body; ///< Body of an answer that is not a stream, kept to read its usage field.
};

} // namespace celeryroute
