#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace celeryroute {

/// @brief Puts the chunks of one attempt's answer in order; late and repeated ones are dropped.
class AnswerRelay
{
public:
    /// @brief Takes chunk @p sequence and returns the text that may now go to the caller, in order.
    std::string take(std::uint64_t sequence, std::string data);
    /// @brief Notes that the answer has @p chunks chunks in all.
    void finish(std::uint64_t chunks);
    /// @brief Whether every chunk of a finished answer was returned by take().
    bool complete() const;
    /// @brief Whether a chunk is missing before one that has arrived, or at the end.
    bool gap() const;
    std::uint64_t nextSequence() const;

private:
    std::uint64_t m_next = 0;
    std::map<std::uint64_t, std::string> m_early;
    std::optional<std::uint64_t> m_chunks;
};

} // namespace celeryroute
