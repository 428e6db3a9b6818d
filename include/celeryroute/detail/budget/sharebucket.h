#pragma once

#include <celeryroute/detail/budget/budgetlimits.h>
#include <celeryroute/detail/budget/budgetslice.h>
#include <celeryroute/detail/budget/headroomhistory.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <set>

namespace celeryroute {

/// Token bucket over the part of a customer's budget that one entry holds.
///
/// Starts empty and without a share. The sum of all buckets' capacities never exceeds the
/// customer's burst as long as the fractions held by all entries sum to at most 1.
class ShareBucket
{
public:
    ShareBucket(BudgetLimits limits, TimePoint now);

    /// @brief Adds what the held rate yields until @p until, up to the capacity.
    void refill(TimePoint until);

    /// @brief Goes on refilling from @p now; what the time before would have yielded is lost.
    void skipTo(TimePoint now);

    void setLimits(BudgetLimits limits);

    /// @brief Sets the held fractions; tokens beyond the new capacity are lost.
    void hold(double rateFraction, double burstFraction);

    /// @brief Removes @p tokens; returns the step for giveBack(), or 0 when they are not there.
    std::uint64_t take(double tokens);

    /// @brief Ends the reservation of @p step and returns its unused @p tokens.
    ///
    /// Returns only what the bucket had room for ever since, so that a late return never lets
    /// more through than an exact reservation would have. Negative @p tokens are a charge.
    void giveBack(std::uint64_t step, double tokens);

    /// @brief Cuts off @p fraction of all that is held.
    BudgetSlice cut(double fraction);

    void add(const BudgetSlice &slice);

    double tokens() const
    {
        return m_tokens;
    }
    double capacity() const
    {
        return m_burstFraction * m_limits.burstTokens;
    }
    double rate() const
    {
        return m_rateFraction * m_limits.tokensPerSecond;
    }
    double rateFraction() const
    {
        return m_rateFraction;
    }
    double burstFraction() const
    {
        return m_burstFraction;
    }
    const BudgetLimits &limits() const
    {
        return m_limits;
    }

private:
    void clampAndNote();

    BudgetLimits m_limits;
    double m_rateFraction = 0.0;
    double m_burstFraction = 0.0;
    double m_tokens = 0.0;
    TimePoint m_refilled;
    HeadroomHistory m_history;
    std::set<std::uint64_t> m_outstanding; ///< Steps of reservations that were not given back.
};

} // namespace celeryroute
