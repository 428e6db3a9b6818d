#pragma once

#include <celeryroute/detail/budget/budgetlimits.h>
#include <celeryroute/detail/budget/budgetslice.h>
#include <celeryroute/detail/budget/demandrate.h>
#include <celeryroute/detail/budget/loanmessages.h>
#include <celeryroute/detail/budget/sharebucket.h>
#include <celeryroute/time.h>

#include <cstdint>

namespace celeryroute {

/// Budget of one customer at one entry. Tracks the held share and the demand, and decides when to lend and
/// when to request a loan.
///
/// @p spendableUntil is the time up to which the entry's division is known to be valid. No tokens accrue
/// after it.
class CustomerBudget
{
public:
    CustomerBudget(BudgetLimits limits, TimePoint now);

    void setLimits(BudgetLimits limits, TimePoint spendableUntil);

    /// @brief Starts the handover to a new division with @p fraction. Until activate(), the entry holds the
    /// smaller of its old and its new fractions, or nothing if @p keepHolding is false.
    void beginHandover(double fraction, bool keepHolding, TimePoint spendableUntil, TimePoint now);

    /// @brief Ends the handover at @p handoverEnd. From then on the entry holds its whole new fraction.
    void activate(TimePoint handoverEnd, TimePoint spendableUntil);

    /// @brief Reserves @p tokens. Returns the step for settle(), or 0 if there are not enough tokens.
    std::uint64_t reserve(double tokens, TimePoint spendableUntil, TimePoint now);

    /// @brief Ends the reservation of @p step and returns its @p unused tokens.
    void settle(std::uint64_t step, double unused, TimePoint spendableUntil);

    /// @brief Estimated time until @p tokens can be reserved at this entry.
    Duration retryAfter(double tokens) const;

    /// @brief Whether to request a loan now. If so, starts the interval until the next request.
    bool shouldRequestLoan(TimePoint now);

    /// @brief Returns the request to send after shouldRequestLoan() returned true.
    LoanRequest loanRequest(TimePoint now) const;

    /// @brief Removes and returns the part of the budget to lend to the sender of @p request. The
    /// rateFraction is 0 if nothing is lent.
    BudgetSlice lend(const LoanRequest &request, TimePoint spendableUntil, TimePoint now);

    /// @brief Removes and returns @p fraction of the held share and its tokens.
    BudgetSlice splitOff(double fraction, TimePoint spendableUntil);

    /// @brief Adds a loan to the held share.
    void credit(const BudgetSlice &slice, TimePoint spendableUntil);

    /// @brief Whether the demand is so low that no loan is needed.
    bool isIdle(TimePoint now) const;

    const ShareBucket &bucket() const
    {
        return m_bucket;
    }

private:
    double demandFraction(TimePoint now) const;
    void recordDeficit(double tokens, TimePoint now);

    ShareBucket m_bucket;
    DemandRate m_demand;
    double m_nextFraction = 0.0; ///< Fraction held after the handover.
    double m_deficit = 0.0; ///< Largest token deficit of a refused request since the last loan.
    Duration m_loanRequestInterval;
    TimePoint m_nextLoanRequest{};
};

} // namespace celeryroute
