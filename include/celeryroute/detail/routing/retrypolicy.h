#pragma once

#include <celeryroute/detail/routing/retrybudget.h>
#include <celeryroute/resultcode.h>
#include <celeryroute/time.h>
#include <celeryroute/urgency.h>

#include <cstdint>

namespace celeryroute {

/// An attempt that failed.
struct FailedAttempt {
    ResultCode code = ResultCode::TargetFailed;
    RunState run = RunState::Unknown;
    bool idempotent = false;
    bool answerBegun = false; ///< The caller has received a part of the answer.
    std::uint32_t attempts = 1; ///< Made so far.
    Duration remaining{}; ///< Until the deadline.
    Duration expectedService{};
    bool operator==(const FailedAttempt &) const = default;
};

/// An attempt that has not answered yet.
struct SlowAttempt {
    Urgency urgency = Urgency::Standard;
    bool routeHedges = false;
    bool idempotent = false;
    bool answerBegun = false;
    bool hedged = false; ///< A second attempt runs already.
    Duration elapsed{};
    Duration usualFirstAnswer{}; ///< 95th percentile of the time to the first part of an answer.
    Duration remaining{};
    Duration expectedService{};
    bool operator==(const SlowAttempt &) const = default;
};

enum class RetryVerdict {
    Retry, ///< At another target; one retry was taken from the budget.
    Final, ///< A retry would be wrong or useless.
    BudgetExhausted,
};

/// Decides on retries and hedges within one budget.
class RetryPolicy
{
public:
    explicit RetryPolicy(RetryBudget budget = RetryBudget());

    void noteFirstAttempt();

    RetryVerdict afterFailure(const FailedAttempt &attempt);

    /// @brief Whether to start a second attempt beside the slow one; takes it from the budget.
    bool shouldHedge(const SlowAttempt &attempt);

private:
    RetryBudget m_budget;
};

} // namespace celeryroute
