#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace celeryroute {

/// @brief Orders the chunks of one attempt's answer and drops duplicates.
class AnswerRelay
{
public:
    /// @brief Accepts chunk @p sequence and returns the data that can now be sent to the caller, in order.
    std::string take(std::uint64_t sequence, std::string data);
    /// @brief Records that the answer has @p chunks chunks in total.
    void finish(std::uint64_t chunks);
    /// @brief Whether every chunk of a finished answer was returned by take().
    bool complete() const;
    /// @brief Whether a chunk is missing before one that was received, or at the end of a finished answer.
    bool gap() const;
    std::uint64_t nextSequence() const;

private:
    std::uint64_t m_next = 0;
    std::map<std::uint64_t, std::string> m_early;
    std::optional<std::uint64_t> m_chunks;
};

} // namespace celeryroute
