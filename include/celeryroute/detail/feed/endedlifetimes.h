#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <string>
#include <unordered_map>

namespace celeryroute {

/// The last lifetime of each target that ended or is about to end. Bounded; the oldest ones are forgotten.
class EndedLifetimes
{
public:
    /// @return whether this lifetime of @p target was not known
    bool add(const std::string &target, std::int64_t bornMs, TimePoint now);
    bool contains(const std::string &target, std::int64_t bornMs) const;

private:
    struct Lifetime {
        std::int64_t bornMs = 0;
        TimePoint since;
    };
    std::unordered_map<std::string, Lifetime> m_lifetimes; ///< By target; the last one.
};

} // namespace celeryroute
