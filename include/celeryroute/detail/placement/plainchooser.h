#pragma once

#include <celeryroute/detail/placement/targetbook.h>
#include <celeryroute/detail/placement/verdicts.h>

#include <cstdint>
#include <string>
#include <vector>

namespace celeryroute {

/// A call to a plain service.
struct PlainAsk {
    std::string pool;
    std::vector<std::string> excluded; ///< Targets that must not get the call.
    bool repeatable = false; ///< May run more than once, so it may probe an ejected target.
    bool operator==(const PlainAsk &) const = default;
};

/// Chooses targets for calls to plain services.
class PlainChooser
{
public:
    PlainChooser(TargetBook &book, std::uint64_t seed);

    /// @brief Decides what to do with a call now, from the current state of the targets.
    PlainVerdict choose(const PlainAsk &ask, TimePoint now);

private:
    struct Candidate;

    void gather(const TargetPool &pool, const PlainAsk &ask, std::uint64_t round);
    Candidate assess(const TargetPool &pool, KnownTarget &target, const PlainAsk &ask, TimePoint now);
    std::uint64_t random();

    TargetBook &m_book;
    std::uint64_t m_random;
    std::vector<KnownTarget *> m_sample;
};

} // namespace celeryroute
