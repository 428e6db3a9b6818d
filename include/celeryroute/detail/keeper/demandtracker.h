#pragma once

#include <celeryroute/detail/keeper/entrydemand.h>
#include <celeryroute/detail/keeper/itemname.h>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace celeryroute {

/// @brief Calls of all entries that wait for one item.
struct ItemBacklog {
    ItemName item;
    std::uint32_t calls = 0;
    std::uint32_t priority = 0;
    Duration age{};
    bool operator==(const ItemBacklog &) const = default;
};

/// @brief Demand of all entries at one target, and the recent use of each item.
class DemandTracker
{
public:
    /// @brief Replaces the demand of @p entry.
    void noteDemand(const std::string &entry, EntryDemand demand, TimePoint now);

    /// @brief Waiting calls of the entries that reported recently, summed for each item.
    std::vector<ItemBacklog> waitingItems(TimePoint now) const;

    /// @brief Entries that reported recently that calls wait there.
    std::vector<std::string> waitingEntries(TimePoint now) const;

    /// @brief Calls in flight by item. A call of an adapter also counts for its model.
    const std::unordered_map<std::string, std::uint32_t> &inFlight() const
    {
        return m_inFlight;
    }

    /// @brief Whether any entry that reported recently has calls in flight or waiting.
    bool hasCalls(TimePoint now) const;

    /// @brief Exponentially weighted mean of the calls in flight of @p item.
    double meanUse(const std::string &item, TimePoint now) const;

    /// @brief When @p item was last seen in use, or the epoch of the clock if it never was.
    TimePoint lastUsed(const std::string &item) const;

    /// @brief Drops the demand of entries that no longer report, and items that have not been used for long. Call
    /// this before reading the demand.
    void expire(TimePoint now);

private:
    struct Entry {
        EntryDemand demand; ///< Newest report, without the parts that have expired.
        TimePoint reportedAt;
    };
    struct Use {
        double callSeconds = 0; ///< Decays exponentially.
        TimePoint updated;
        TimePoint lastUsed;
    };

    bool isWaiting(const std::string &entry, TimePoint now) const;
    void addUse(const std::string &item, double callSeconds, TimePoint now);
    void count(const EntryDemand &demand, bool add);
    void count(const std::string &item, std::uint32_t calls, bool add);
    void expireCalls(TimePoint now);
    void removeStale(TimePoint now);

    std::unordered_map<std::string, Entry> m_entries;
    std::unordered_map<std::string, Use> m_uses;
    std::unordered_map<std::string, std::uint32_t> m_inFlight; ///< Sums over the entries.
    std::unordered_set<std::string> m_waitingEntries; ///< Entries with waiting calls.
    TimePoint m_nextSweep;
    TimePoint m_nextRemoval;
};

} // namespace celeryroute
