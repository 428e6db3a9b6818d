#pragma once

#include <celeryroute/detail/targetlimit/permitdemand.h>
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

/// A call that waits in an entry for an item to be loaded or for room at a target.
struct WaitingCall {
    std::uint64_t call = 0; ///< Number of the call, unique in the entry.
    std::string pool;
    std::string item; ///< `MODEL` or `MODEL/ADAPTER`; empty for a plain service.
    std::string loadTarget; ///< Target whose agent should load the item; empty while the call waits for room.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    TimePoint since;
    TimePoint deadline; ///< Time at which the entry stops waiting.
    std::string permitTarget = {}; ///< Target for which the call waits for a permit; empty if it needs none.
    bool operator==(const WaitingCall &) const = default;
};

/// Calls of one entry that wait for an item at one target.
struct DemandedItem {
    std::string item;
    std::uint32_t calls = 0;
    std::uint32_t priority = 0; ///< Priority of the most urgent of these calls.
    TimePoint since; ///< Arrival of the oldest of these calls.
    bool operator==(const DemandedItem &) const = default;
};

/// Calls that wait in an entry for an item or for room, ordered by priority, then deadline, then arrival.
class CallQueue
{
public:
    /// @brief Adds a call or updates it; an updated call keeps its arrival number, which breaks ties.
    void put(WaitingCall call);
    bool remove(std::uint64_t call);
    const WaitingCall *find(std::uint64_t call) const;

    /// @brief At most @p limit calls for @p model of @p pool or for its adapters, in queue order.
    std::vector<std::uint64_t> waitingFor(const std::string &pool, const std::string &model, std::size_t limit) const;
    /// @brief At most @p limit calls, the most urgent first.
    std::vector<std::uint64_t> inOrder(std::size_t limit) const;
    /// @brief Number of calls that wait for room at targets with @p model and are at least as urgent as @p priority.
    std::size_t waitingForRoom(const std::string &pool, const std::string &model, std::uint32_t priority) const;
    /// @brief At most @p limit calls that wait for a permit for @p target, in queue order.
    std::vector<std::uint64_t> waitingForPermit(const std::string &target, std::size_t limit) const;
    /// @brief The permits that calls wait for, with one element for each target.
    std::vector<PermitDemand> permitDemands() const;
    /// @brief Removes and returns the calls whose deadline has passed, the earliest deadline first.
    std::vector<WaitingCall> takeExpired(TimePoint now);
    /// @brief The earliest deadline; `TimePoint::max()` when no call waits.
    TimePoint nextDeadline() const;
    /// @brief Items that calls wait for at @p target, with one element for each item, sorted by item.
    std::vector<DemandedItem> demandAt(const std::string &target) const;
    std::size_t size() const;

private:
    struct OrderKey {
        std::uint32_t priority = 0;
        TimePoint deadline;
        std::uint64_t number = 0;
        std::uint64_t call = 0;
        bool operator<(const OrderKey &other) const;
    };
    struct QueuedCall {
        WaitingCall call;
        std::uint64_t number = 0;
    };

    static std::string modelKey(const std::string &pool, const std::string &item);
    static std::vector<std::uint64_t> firstCalls(const std::set<OrderKey> &keys, std::size_t limit);
    void unlink(const QueuedCall &queued);

    std::uint64_t m_lastNumber = 0;
    std::unordered_map<std::uint64_t, QueuedCall> m_calls;
    std::set<OrderKey> m_inOrder;
    std::unordered_map<std::string, std::set<OrderKey>> m_byModel;
    /// Number of calls that wait for room, by model and priority.
    std::unordered_map<std::string, std::map<std::uint32_t, std::size_t>> m_waitingForRoom;
    std::unordered_map<std::string, std::set<std::uint64_t>> m_byTarget;
    std::map<std::string, std::set<OrderKey>> m_byPermitTarget;
    std::set<std::pair<TimePoint, std::uint64_t>> m_byDeadline;
};

} // namespace celeryroute
