#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <string>
#include <unordered_map>

namespace celeryroute {

/// Lifetimes of targets that said in an answer that they are leaving, also while the registry does not show them.
class LeavingTargets
{
public:
    /// @return whether this lifetime of @p target was not known to leave
    bool add(const std::string &target, std::int64_t bornMs, TimePoint now);
    /// @brief Takes over the start of the lifetime of @p target that left, if it was not known.
    void learnBorn(const std::string &target, std::int64_t bornMs);
    /// @brief Whether this lifetime of @p target leaves, or precedes one that does.
    bool contains(const std::string &target, std::int64_t bornMs) const;

private:
    struct Lifetime {
        std::int64_t bornMs = 0;
        TimePoint since;
    };
    std::unordered_map<std::string, Lifetime> m_lifetimes; ///< By target; the latest one that left.
};

} // namespace celeryroute
