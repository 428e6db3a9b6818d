#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <string>
#include <unordered_map>

namespace celeryroute {

/// Lifetimes of targets that have ended or are about to, by start time. Bounded; the oldest ones are forgotten.
class EndedLifetimes
{
public:
    /// @return whether this lifetime of @p target was not known
    bool add(const std::string &target, std::int64_t bornMs, TimePoint now);
    /// @brief Whether this lifetime of @p target is known, or precedes the known one.
    bool contains(const std::string &target, std::int64_t bornMs) const;

private:
    struct Lifetime {
        std::int64_t bornMs = 0;
        TimePoint since;
    };
    std::unordered_map<std::string, Lifetime> m_lifetimes; ///< By target; the latest one.
};

} // namespace celeryroute
