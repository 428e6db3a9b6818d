#pragma once

#include <celeryroute/detail/budget/budgetlimits.h>
#include <celeryroute/detail/budget/budgetslice.h>
#include <celeryroute/detail/budget/demandrate.h>
#include <celeryroute/detail/budget/loanmessages.h>
#include <celeryroute/detail/budget/sharebucket.h>
#include <celeryroute/time.h>

#include <cstdint>

namespace celeryroute {

/// One customer's budget at one entry: the share it holds, what callers ask for, and when to
/// lend or to ask for a loan.
///
/// @p spendableUntil is how far the entry's share is known to be in force; nothing accrues beyond.
class CustomerBudget
{
public:
    CustomerBudget(BudgetLimits limits, TimePoint now);

    void setLimits(BudgetLimits limits, TimePoint spendableUntil);

    /// @brief Enters a new division: until activate() only what both the old holding and the new
    /// fraction allow may be spent; nothing of the old holding when @p keepHolding is false.
    void beginHandover(double fraction, bool keepHolding, TimePoint spendableUntil, TimePoint now);

    /// @brief Ends the handover at @p handoverEnd: the whole fraction of the new division is held.
    void activate(TimePoint handoverEnd, TimePoint spendableUntil);

    /// @brief Reserves @p tokens; returns the step for settle(), or 0 when they are not there.
    std::uint64_t reserve(double tokens, TimePoint spendableUntil, TimePoint now);

    /// @brief Ends a reservation of which @p unused tokens were not used.
    void settle(std::uint64_t step, double unused, TimePoint spendableUntil);

    /// @brief Estimated time until @p tokens could be reserved here.
    Duration retryAfter(double tokens) const;

    /// @brief Whether a loan should be asked for now; notes that it was asked for.
    bool shouldAsk(TimePoint now);

    /// @brief The request to send when shouldAsk() said so.
    LoanRequest loanRequest(TimePoint now) const;

    /// @brief Cuts off what the sender of @p request needs more than this entry; rateFraction is 0
    /// when nothing is lent.
    BudgetSlice lend(const LoanRequest &request, TimePoint spendableUntil, TimePoint now);

    /// @brief Cuts off @p fraction of all that is held.
    BudgetSlice cut(double fraction, TimePoint spendableUntil);

    void credit(const BudgetSlice &slice, TimePoint spendableUntil);

    /// @brief Whether callers ask for so little that no loan is needed.
    bool idle(TimePoint now) const;

    const ShareBucket &bucket() const
    {
        return m_bucket;
    }

private:
    double demandFraction(TimePoint now) const;
    void noteMissing(double tokens, TimePoint now);

    ShareBucket m_bucket;
    DemandRate m_demand;
    double m_nextFraction = 0.0;
    double m_missing = 0.0; ///< Tokens that the largest refused request since the last loan lacked.
    Duration m_askInterval;
    TimePoint m_nextAsk{};
};

} // namespace celeryroute
