#pragma once

#include <celeryroute/detail/budget/budgetlimits.h>
#include <celeryroute/detail/budget/budgetslice.h>
#include <celeryroute/detail/budget/headroomhistory.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <set>

namespace celeryroute {

/// Token bucket for the part of a customer's budget that one entry holds.
///
/// It starts empty and without a share. The capacities of all entries' buckets together do not exceed the
/// customer's burst as long as the fractions of all entries sum to at most 1.
class ShareBucket
{
public:
    ShareBucket(BudgetLimits limits, TimePoint now);

    /// @brief Adds the tokens accrued until @p until at the held rate, up to the capacity.
    void refill(TimePoint until);

    /// @brief Continues refilling from @p now. Tokens for the time before are lost.
    void skipTo(TimePoint now);

    void setLimits(BudgetLimits limits);

    /// @brief Sets the held fractions. Tokens beyond the new capacity are lost.
    void setFractions(double rateFraction, double burstFraction);

    /// @brief Removes @p tokens. Returns the step for refund(), or 0 if there are not enough tokens.
    std::uint64_t take(double tokens);

    /// @brief Ends the reservation of @p step and puts its unused @p tokens back.
    ///
    /// Puts back at most the minimum free capacity since the reservation, so that a late call never admits
    /// more than an exact reservation would have. Negative @p tokens are an additional charge.
    void refund(std::uint64_t step, double tokens);

    /// @brief Removes and returns @p fraction of the held share and its tokens.
    BudgetSlice splitOff(double fraction);

    /// @brief Adds @p slice to the held share.
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
    /// @brief Limits the tokens to the capacity and records the free capacity.
    void clampAndRecord();

    BudgetLimits m_limits;
    double m_rateFraction = 0.0;
    double m_burstFraction = 0.0;
    double m_tokens = 0.0;
    TimePoint m_refilled;
    HeadroomHistory m_history;
    std::set<std::uint64_t> m_outstanding; ///< Steps of reservations that have not ended.
};

} // namespace celeryroute
