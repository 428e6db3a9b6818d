#pragma once

#include <celeryroute/detail/placement/targettable.h>
#include <celeryroute/detail/placement/verdicts.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace celeryroute {

/// A call to a plain service.
struct PlainServiceCall {
    std::string pool;
    std::vector<std::string> excluded; ///< Targets that must not get the call.
    bool repeatable = false; ///< May run more than once, so it may probe an ejected target.
    /// The call continues at targets with this version of their software only.
    std::optional<std::string> softwareVersion = {};
    Duration remaining = Duration::max(); ///< Time until the caller gives up.
    bool operator==(const PlainServiceCall &) const = default;
};

/// Chooses targets for calls to plain services.
class PlainChooser
{
public:
    PlainChooser(TargetTable &table, std::uint64_t seed);

    /// @brief Decides what to do with a call now, from the current state of the targets.
    PlainVerdict choose(const PlainServiceCall &call, TimePoint now);

private:
    struct Candidate;

    void sampleTargets(const TargetPool &pool, const PlainServiceCall &call, std::uint64_t round);
    Candidate assess(const TargetPool &pool, KnownTarget &target, const PlainServiceCall &call, TimePoint now);
    /// @brief What to do with a call that only a target with a limit can take.
    static PlainVerdict decideOnPermit(const Candidate &limited, const PlainServiceCall &call);
    std::uint64_t random();

    TargetTable &m_table;
    std::uint64_t m_random;
    std::vector<KnownTarget *> m_sample;
};

} // namespace celeryroute
