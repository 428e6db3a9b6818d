#include <celeryroute/detail/routing/retrypolicy.h>

#include <algorithm>
#include <array>

namespace celeryroute {

namespace {

constexpr std::uint32_t MaxAttempts = 3;

/// Failures that are specific to one target, so that another target may succeed.
constexpr std::array RetryableCodes = {
    ResultCode::QueueFull,
    ResultCode::NoTarget,
    ResultCode::TargetFailed,
    ResultCode::TargetTimeout,
    ResultCode::Stopping,
    ResultCode::LoadFailed,
    ResultCode::MemoryExhausted,
    ResultCode::NotAuthorized,
    ResultCode::DeadlineUnreachable,
    ResultCode::PeerUnreachable,
    ResultCode::PeerSilent,
    ResultCode::TransportFailed,
};

bool retryable(ResultCode code)
{
    return std::find(RetryableCodes.begin(), RetryableCodes.end(), code) != RetryableCodes.end();
}

} // namespace

RetryPolicy::RetryPolicy(RetryBudget budget)
    : m_budget(budget)
{}

void RetryPolicy::recordFirstAttempt()
{
    m_budget.recordFirstAttempt();
}

// A partly delivered answer is resumed and never restarted, so that the caller does not receive parts of
// two different answers.
RetryDecision RetryPolicy::afterFailure(const FailedAttempt &attempt)
{
    const bool safe = attempt.run == RunState::NotRun || attempt.idempotent;
    const bool inTime = attempt.remaining > attempt.expectedService;
    if (!safe || !inTime || attempt.answerStarted || attempt.attempts >= MaxAttempts || !retryable(attempt.code)) {
        return RetryDecision::Final;
    }
    return m_budget.take() ? RetryDecision::Retry : RetryDecision::BudgetExhausted;
}

bool RetryPolicy::shouldHedge(const SlowAttempt &attempt)
{
    const bool allowed = attempt.routeAllowsHedging && attempt.idempotent && attempt.urgency == Urgency::Interactive;
    const bool late = attempt.elapsed > attempt.firstAnswerP95 && attempt.remaining > attempt.expectedService;
    return allowed && late && !attempt.answerStarted && !attempt.hedged && m_budget.take();
}

} // namespace celeryroute
