#include <celeryroute/detail/routing/retrypolicy.h>

#include <iostream>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

TEST_GROUP(RetryPolicy)
{
    RetryPolicy policy;

    static FailedAttempt failure()
    {
        FailedAttempt attempt;
        attempt.code = ResultCode::TargetFailed;
        attempt.run = RunState::NotRun;
        attempt.remaining = 10s;
        attempt.expectedService = 1s;
        return attempt;
    }
    static SlowAttempt slow()
    {
        SlowAttempt attempt;
        attempt.urgency = Urgency::Interactive;
        attempt.routeAllowsHedging = true;
        attempt.idempotent = true;
        attempt.elapsed = 500ms;
        attempt.firstAnswerP95 = 300ms;
        attempt.remaining = 10s;
        attempt.expectedService = 1s;
        return attempt;
    }
};

TEST(RetryPolicy, failures_retryOnlyWhatIsSafeAndUseful)
{
    struct Row {
        ResultCode code;
        RunState run;
        bool idempotent;
        bool answerStarted;
        std::uint32_t attempts;
        Duration remaining;
        RetryDecision expected;
    };
    const Row rows[] = {
        {ResultCode::TargetFailed, RunState::NotRun, false, false, 1, 10s, RetryDecision::Retry},
        {ResultCode::TargetFailed, RunState::Unknown, true, false, 1, 10s, RetryDecision::Retry},
        {ResultCode::TargetFailed, RunState::Unknown, false, false, 1, 10s, RetryDecision::Final},
        {ResultCode::TargetFailed, RunState::Ran, false, false, 1, 10s, RetryDecision::Final},
        {ResultCode::QueueFull, RunState::NotRun, false, false, 2, 10s, RetryDecision::Retry},
        {ResultCode::QueueFull, RunState::NotRun, false, false, 3, 10s, RetryDecision::Final},
        {ResultCode::TargetFailed, RunState::NotRun, true, true, 1, 10s, RetryDecision::Final},
        {ResultCode::TargetFailed, RunState::NotRun, true, false, 1, 500ms, RetryDecision::Final},
        {ResultCode::RequestQuarantined, RunState::NotRun, true, false, 1, 10s, RetryDecision::Final},
        {ResultCode::Cancelled, RunState::NotRun, true, false, 1, 10s, RetryDecision::Final},
        {ResultCode::RateExceeded, RunState::NotRun, true, false, 1, 10s, RetryDecision::Final},
    };
    for (const Row &row : rows) {
        FailedAttempt attempt = failure();
        attempt.code = row.code;
        attempt.run = row.run;
        attempt.idempotent = row.idempotent;
        attempt.answerStarted = row.answerStarted;
        attempt.attempts = row.attempts;
        attempt.remaining = row.remaining;
        CHECK(policy.afterFailure(attempt) == row.expected);
    }
}

TEST(RetryPolicy, hedges_onlySlowIdempotentInteractiveCallsOnce)
{
    CHECK(policy.shouldHedge(slow()));
    const auto refused = [this](auto change) {
        SlowAttempt attempt = slow();
        change(attempt);
        return !policy.shouldHedge(attempt);
    };
    CHECK(refused([](SlowAttempt &attempt) { attempt.idempotent = false; }));
    CHECK(refused([](SlowAttempt &attempt) { attempt.routeAllowsHedging = false; }));
    CHECK(refused([](SlowAttempt &attempt) { attempt.urgency = Urgency::Bulk; }));
    CHECK(refused([](SlowAttempt &attempt) { attempt.elapsed = 100ms; }));
    CHECK(refused([](SlowAttempt &attempt) { attempt.answerStarted = true; }));
    CHECK(refused([](SlowAttempt &attempt) { attempt.hedged = true; }));
}

TEST(RetryPolicy, hedgesAndRetries_shareOneBudget)
{
    RetryPolicy small{RetryBudget(0.2, 1.0)};
    CHECK(small.shouldHedge(slow()));
    CHECK(small.afterFailure(failure()) == RetryDecision::BudgetExhausted);
    for (int i = 0; i < 5; ++i) {
        small.recordFirstAttempt();
    }
    CHECK(small.afterFailure(failure()) == RetryDecision::Retry);
}

TEST(RetryPolicy, halfOfTheTargetsRefuse_attemptsStayWithinTheBudget)
{
    constexpr int Requests = 100000;
    std::mt19937_64 random(5);
    int attempts = 0;
    for (int i = 0; i < Requests; ++i) {
        policy.recordFirstAttempt();
        FailedAttempt attempt = failure();
        attempt.code = ResultCode::QueueFull;
        for (attempt.attempts = 1;; ++attempt.attempts) {
            ++attempts;
            const bool refused = random() % 2 == 0;
            if (!refused || policy.afterFailure(attempt) != RetryDecision::Retry) {
                break;
            }
        }
    }
    const double amplification = static_cast<double>(attempts) / Requests;
    std::cout << "half of the targets refuse, seed 5: " << amplification << " attempts per request\n";
    CHECK(amplification <= 1.2 + 10.0 / Requests);
}
