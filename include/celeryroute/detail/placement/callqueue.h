#pragma once

#include <celeryroute/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace celeryroute {

/// A call that waits in an entry.
struct WaitingCall {
    std::uint64_t call = 0; ///< The entry's number of it.
    std::string pool;
    std::string item; ///< `MODEL` or `MODEL/ADAPTER`; empty for a plain service.
    std::string askedTarget; ///< Whose agent is asked for the item; empty when it waits for room.
    std::uint32_t priority = 0; ///< 0 is served first.
    TimePoint since;
    TimePoint deadline; ///< It is given up then.
    bool operator==(const WaitingCall &) const = default;
};

/// Calls of one entry that wait for an item at one target.
struct WantedItem {
    std::string item;
    std::uint32_t calls = 0;
    std::uint32_t priority = 0; ///< Of the most urgent.
    TimePoint since; ///< Of the oldest.
    bool operator==(const WantedItem &) const = default;
};

/// Calls that wait in an entry for an item or for room: by priority, then by deadline.
class CallQueue
{
public:
    /// @brief Adds a call, or replaces what is known of it; its place among equals is kept.
    void put(WaitingCall call);
    bool remove(std::uint64_t call);
    const WaitingCall *find(std::uint64_t call) const;

    /// @brief Calls for @p model of @p pool or its adapters, at most @p limit, in their order.
    std::vector<std::uint64_t> waitingFor(const std::string &pool, const std::string &model, std::size_t limit) const;
    /// @brief All calls, the most urgent first, at most @p limit.
    std::vector<std::uint64_t> inOrder(std::size_t limit) const;
    /// @brief Number of calls as urgent as @p priority or more that wait for room at holders of @p model.
    std::size_t waitingForRoom(const std::string &pool, const std::string &model, std::uint32_t priority) const;
    /// @brief Removes the calls whose time has come, in order of their deadlines.
    std::vector<WaitingCall> takeExpired(TimePoint now);
    /// @brief Deadline of the call that is given up first; the latest time when none waits.
    TimePoint nextDeadline() const;
    /// @brief What the agent of @p target is to be asked for.
    std::vector<WantedItem> wantsAt(const std::string &target) const;
    std::size_t size() const;

private:
    struct Rank {
        std::uint32_t priority = 0;
        TimePoint deadline;
        std::uint64_t number = 0;
        std::uint64_t call = 0;
        bool operator<(const Rank &other) const;
    };
    struct Held {
        WaitingCall call;
        std::uint64_t number = 0;
    };

    static std::string key(const std::string &pool, const std::string &item);
    static std::vector<std::uint64_t> first(const std::set<Rank> &ranks, std::size_t limit);
    void unlink(const Held &held);

    std::uint64_t m_numbers = 0;
    std::unordered_map<std::uint64_t, Held> m_calls;
    std::set<Rank> m_inOrder;
    std::unordered_map<std::string, std::set<Rank>> m_byModel;
    std::unordered_map<std::string, std::map<std::uint32_t, std::size_t>> m_forRoom; ///< Calls by priority.
    std::unordered_map<std::string, std::set<std::uint64_t>> m_byTarget;
    std::set<std::pair<TimePoint, std::uint64_t>> m_byDeadline;
};

} // namespace celeryroute
