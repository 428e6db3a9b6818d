#pragma once

#include <celeryroute/detail/keeper/entrydemand.h>
#include <celeryroute/detail/keeper/itemname.h>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace celeryroute {

/// What all entries together want of one item.
struct JointWant {
    ItemName item;
    std::uint32_t calls = 0;
    std::uint32_t priority = 0;
    Duration age{};
    bool operator==(const JointWant &) const = default;
};

/// Demand of all entries at one target, and how much each item was used.
class DemandBook
{
public:
    /// @brief Takes the newest value of @p entry.
    void note(const std::string &entry, EntryDemand demand, TimePoint now);

    /// @brief Wants of entries that were heard lately, one per item.
    std::vector<JointWant> wants(TimePoint now) const;

    /// @brief Calls in flight by item; calls of an adapter count for its model too.
    const std::unordered_map<std::string, std::uint32_t> &inFlight() const
    {
        return m_inFlight;
    }

    /// @brief Whether any entry that was heard lately has calls in flight or waiting.
    bool active(TimePoint now) const;

    /// @brief Mean calls in flight of @p item over the last while.
    double useOf(const std::string &item, TimePoint now) const;

    /// @brief When @p item was last seen in use; the distant past if it never was.
    TimePoint lastUsed(const std::string &item) const;

    /// @brief Drops what entries said that fell silent, and items long out of use. To be called before
    /// the book is read.
    void expire(TimePoint now);

private:
    struct Entry {
        EntryDemand demand; ///< Without what has expired.
        TimePoint heard;
    };
    struct Use {
        double callSeconds = 0; ///< Fading.
        TimePoint updated;
        TimePoint last;
    };

    void addUse(const std::string &item, double callSeconds, TimePoint now);
    void count(const EntryDemand &demand, bool add);
    void count(const std::string &item, std::uint32_t calls, bool add);
    void expireCalls(TimePoint now);
    void forgetOld(TimePoint now);

    std::unordered_map<std::string, Entry> m_entries;
    std::unordered_map<std::string, Use> m_uses;
    std::unordered_map<std::string, std::uint32_t> m_inFlight; ///< Sums over the entries.
    std::unordered_set<std::string> m_wanting; ///< Entries with wants.
    TimePoint m_nextSweep;
    TimePoint m_nextForget;
};

} // namespace celeryroute
