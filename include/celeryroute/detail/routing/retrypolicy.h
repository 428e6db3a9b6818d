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
    bool answerStarted = false; ///< Whether the caller has received a part of the answer.
    std::uint32_t attempts = 1; ///< Attempts made so far.
    Duration remaining{}; ///< Time until the deadline.
    Duration expectedService{};
    bool operator==(const FailedAttempt &) const = default;
};

/// An attempt that has not answered yet.
struct SlowAttempt {
    Urgency urgency = Urgency::Standard;
    bool routeAllowsHedging = false;
    bool idempotent = false;
    bool answerStarted = false;
    bool hedged = false; ///< Whether a second attempt is already running.
    Duration elapsed{};
    Duration firstAnswerP95{}; ///< 95th percentile of the time to the first part of an answer.
    Duration remaining{};
    Duration expectedService{};
    bool operator==(const SlowAttempt &) const = default;
};

/// What to do after a failed attempt.
enum class RetryDecision {
    Retry, ///< Retry at another target; one retry was taken from the budget.
    Final, ///< Return the failure: a retry would be unsafe or useless.
    BudgetExhausted, ///< A retry would be safe, but the budget is used up.
};

/// Decides on retries and hedges, which share one budget.
class RetryPolicy
{
public:
    explicit RetryPolicy(RetryBudget budget = RetryBudget());

    void recordFirstAttempt();

    RetryDecision afterFailure(const FailedAttempt &attempt);

    /// @brief Whether to start a second attempt in parallel to the slow one. If so, takes one retry from the
    /// budget.
    bool shouldHedge(const SlowAttempt &attempt);

private:
    RetryBudget m_budget;
};

} // namespace celeryroute
