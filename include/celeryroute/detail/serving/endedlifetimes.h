#pragma once

#include <celeryroute/detail/base/recententries.h>

#include <cstdint>
#include <string>

namespace celeryroute {

/// Lifetimes of targets that have ended or are about to, by start time. Bounded; the oldest ones are forgotten.
class EndedLifetimes
{
public:
    /// Six replacements of a fleet of 11,000 targets.
    static constexpr std::size_t MaxTargets = 65'536;

    /// @return whether this lifetime of @p target was not known
    bool add(const std::string &target, std::int64_t bornMs);
    /// @brief Whether this lifetime of @p target is known, or precedes the known one.
    bool contains(const std::string &target, std::int64_t bornMs) const;

private:
    RecentEntries<std::int64_t> m_lifetimes{MaxTargets}; ///< Start of the latest one by target.
};

} // namespace celeryroute
