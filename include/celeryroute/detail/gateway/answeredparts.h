#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace celeryroute {

/// Remembers when requests with a prompt part were last answered in full, for the parts seen most recently.
class AnsweredParts
{
public:
    /// @brief Records an answer at @p answeredAt to a request with @p part, given by its digest.
    void note(std::uint64_t part, TimePoint answeredAt);
    /// @brief Time of the last answer, or nothing if none is remembered.
    std::optional<TimePoint> lastAnswer(std::uint64_t part) const;

private:
    using Times = std::unordered_map<std::uint64_t, TimePoint>;

    Times m_current;
    Times m_previous; ///< Parts that were noted before `m_current` was begun.
};

} // namespace celeryroute
