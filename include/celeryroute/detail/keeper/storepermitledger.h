#pragma once

#include <celeryroute/detail/keeper/storepermitid.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief The part of the weight store's rate that one entry grants to agents, as permits for one load each.
///
/// The loads that may begin in a window are divided over all entries, whichever targets want them. A permit counts
/// until a window after the load has begun, or until the agent says that it cannot begin any more. Times must come
/// from a clock that advances while the process is suspended.
class StorePermitLedger
{
public:
    /// Time from the request of a permit until the agent's last chance to use it.
    static constexpr Duration Validity = std::chrono::milliseconds(300);
    /// Time within which a target may still carry out an order.
    static constexpr Duration OrderLifetime = std::chrono::seconds(15);
    /// Time within which all entries know of a new one.
    static constexpr Duration DiscoveryTime = std::chrono::seconds(3);

    /// @param address of this entry
    /// @param firstStart whether no earlier process has granted permits, and no entry counts without this one
    StorePermitLedger(std::string address, TimePoint started, bool firstStart);

    /// @brief Sets the number of loads that may begin in @p window, over all targets.
    void setLimit(std::uint32_t loads, Duration window);

    /// @brief Sets the other entries that are present. One that is no longer named counts until its permits are void.
    void noteEntries(const std::vector<std::string> &others, TimePoint now);

    /// @brief Grants a permit if this entry's part is not used up.
    /// @return nothing if it is granted, otherwise the time after which to ask again, a window at most
    std::optional<Duration> tryGrant(const StorePermitId &id, TimePoint now);

    /// @brief Notes that the load has begun.
    void noteBegun(const StorePermitId &id, TimePoint now);

    /// @brief Notes that the load has not begun and cannot begin any more.
    void noteUnused(const StorePermitId &id);

    /// @brief Number of permits that this entry may have granted at a time.
    std::uint32_t share(TimePoint now) const;

    /// @brief Number of permits that count at @p now.
    std::uint32_t occupied(TimePoint now) const;

private:
    struct Permit {
        TimePoint until; ///< Time until which it counts.
        bool begun = false;
    };

    Duration holding() const;
    void expire(TimePoint now);

    std::string m_address;
    TimePoint m_started;
    bool m_firstStart;
    std::uint32_t m_limit = 0;
    Duration m_window{};
    std::map<std::string, TimePoint> m_entries; ///< Other entries, and when each was named last.
    std::map<StorePermitId, Permit> m_permits;
};

} // namespace celeryroute
