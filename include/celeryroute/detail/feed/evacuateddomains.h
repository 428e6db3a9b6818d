#pragma once

#include <celeryroute/detail/feed/evacuationrecord.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace celeryroute {

/// Operators want that nothing more is sent to the targets of a failure domain.
struct EvacuationBegan {
    std::string domain;
    std::uint64_t offset = 0;
    bool operator==(const EvacuationBegan &) const = default;
};

/// Targets of the failure domain may be used again.
struct EvacuationEnded {
    std::string domain;
    std::uint64_t offset = 0;
    bool operator==(const EvacuationEnded &) const = default;
};

/// A record about an evacuation is invalid. What is in force stays in force.
struct EvacuationMalformed {
    std::string key;
    std::uint64_t offset = 0;
    bool operator==(const EvacuationMalformed &) const = default;
};

using EvacuationEvent = std::variant<EvacuationBegan, EvacuationEnded, EvacuationMalformed>;

/// Failure domains that operators have evacuated, as the newest records say.
class EvacuatedDomains
{
public:
    /// @brief Takes over the record at @p offset.
    /// @param mayBeLost whether a missing record may have been lost by the store, which then is written again soon
    std::optional<EvacuationEvent> apply(const EvacuationRecord &record, std::uint64_t offset, bool mayBeLost);

    /// @brief Ends the evacuations whose records the store had lost and that were not written again.
    std::vector<EvacuationEvent> endLost();

    const std::set<std::string> &domains() const
    {
        return m_domains;
    }

private:
    std::set<std::string> m_domains;
    std::map<std::string, std::uint64_t> m_lost; ///< Offsets of the missing records, by failure domain.
};

} // namespace celeryroute
