#pragma once

#include <celeryroute/time.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace celeryroute {

/// A call that lacks a part of its customer's allowance.
struct AllowanceCall {
    std::uint64_t call = 0;
    double cost = 0;
    Duration missing{}; ///< Time after which the allowance covers it, if no other call is ahead.
    Duration longest{}; ///< Longest time that it may be held.
    double perSecond = 0; ///< Rate at which the customer's allowance is filled here.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    TimePoint heldUntil{}; ///< End of the longest time. Set when the call begins to wait.

    /// @brief Whether this call is covered before @p other: the most urgent first, then the one that must be sent
    /// first.
    bool goesBefore(const AllowanceCall &other) const
    {
        return std::tie(priority, heldUntil) < std::tie(other.priority, other.heldUntil);
    }
    bool operator==(const AllowanceCall &) const = default;
};

/// @brief Calls that wait until their customers' allowances cover them: for each customer the most urgent first, then
/// the one that must be sent first.
///
/// Load answered: a burst, or an entry that has just started with empty buckets, refuses calls of customers that stay
/// within their limits. Callers that are refused come back seldom, and often too early. A call is held if it is
/// expected to be covered in time; the others are refused at once with the time at which it is their turn, behind those
/// that wait.
class AllowanceQueue
{
public:
    /// Calls that one customer may have waiting, so that a customer far above its limit takes no memory.
    static constexpr std::size_t MaxCallsPerCustomer = 64;

    /// @brief Whether calls of @p customer wait that go before @p call, so that it may not spend before them.
    bool isWaiting(const std::string &customer, AllowanceCall call, TimePoint now) const;
    /// @brief Time until @p call is expected to be covered, behind those of @p customer that wait and go before it.
    Duration expectedWait(const std::string &customer, AllowanceCall call, TimePoint now) const;
    /// @brief Lets @p call wait, unless that would take too long.
    /// @return whether it waits now
    bool add(const std::string &customer, AllowanceCall call, TimePoint now);
    void remove(const std::string &customer, std::uint64_t call);

    /// @brief The calls that are due: the first one of each customer whose time has come.
    std::vector<std::uint64_t> due(TimePoint now) const;
    /// @brief The first call of @p customer is not covered yet, and is due again after @p missing.
    void postpone(const std::string &customer, Duration missing, TimePoint now);
    /// @brief When the next call is due; empty if none waits.
    std::optional<TimePoint> nextDue() const;
    std::size_t size() const;

private:
    struct Customer {
        std::deque<AllowanceCall> calls; ///< In the order in which they are covered.
        TimePoint dueAt; ///< When the first call is expected to be covered.
    };

    std::unordered_map<std::string, Customer> m_customers;
};

} // namespace celeryroute
