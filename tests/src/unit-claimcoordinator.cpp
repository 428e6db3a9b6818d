#include "claimsimulation.h"

#include <celeryroute/detail/claims/claimfold.h>

#include <absl/strings/str_format.h>

#include <cstdio>
#include <cstdlib>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;

namespace {

constexpr Duration Millisecond = std::chrono::milliseconds(1);
constexpr std::int64_t Wall = 1'790'000'000'000;

ClockReading at(int ms)
{
    return {TimePoint() + ms * Millisecond, Wall + ms};
}

ClaimRequest request(const std::string &key = "k")
{
    return {"mti", "couriers", {key, 0}, "body"};
}

ClaimSimulationReport runSimulations(ClaimFault fault, int seeds, int steps)
{
    ClaimSimulationReport sum;
    for (int seed = 1; seed <= seeds; ++seed) {
        const ClaimSimulationReport report = ClaimSimulation(static_cast<unsigned>(seed), fault).run(steps);
        sum.calls += report.calls;
        sum.answered += report.answered;
        sum.executions += report.executions;
        sum.repeats += report.repeats;
        sum.crashes += report.crashes;
        sum.pauses += report.pauses;
        sum.lostAnswers += report.lostAnswers;
        sum.outages += report.outages;
        sum.doubleRuns += report.doubleRuns;
        sum.falseNotRun += report.falseNotRun;
        sum.unanswered += report.unanswered;
        sum.wrongAnswers += report.wrongAnswers;
        sum.late += report.late;
        if (fault == ClaimFault::None && report.violations() > 0) {
            std::printf("seed %d: %d double runs, %d false not-run, %d unanswered, %d wrong answers\n",
                        seed,
                        report.doubleRuns,
                        report.falseNotRun,
                        report.unanswered,
                        report.wrongAnswers);
        }
    }
    return sum;
}

} // namespace

TEST_GROUP(ClaimCoordinator)
{
    ClaimCoordinator coordinator{"entry-1"};
    ClaimTable table;
    std::uint64_t next = 0;

    /// Appends the due batch and passes in the table after it.
    void appendDue(int ms)
    {
        const std::optional<PendingBatch> batch = coordinator.takeBatch(at(ms).time);
        CHECK(batch.has_value());
        table = foldClaimBatch(table, batch->batch, next++);
        coordinator.completeBatch(batch->number, BatchOutcome::Appended, next - 1, at(ms));
        coordinator.updateTable(table, next, at(ms));
    }

    void begin(const std::string &callId, int ms, const std::string &key = "k")
    {
        coordinator.startClaim(callId, request(key), at(ms + 5000).time, at(ms));
    }

    ClaimResult takeResult()
    {
        const std::vector<ClaimNotification> notices = coordinator.takeNotifications();
        LONGS_EQUAL(1, notices.size());
        return notices.front().result;
    }

    ClaimDenied takeDenial()
    {
        const ClaimResult given = takeResult();
        CHECK(std::holds_alternative<ClaimDenied>(given));
        return std::get<ClaimDenied>(given);
    }
};

TEST(ClaimCoordinator, claimReadBack_isWon)
{
    begin("a", 0);
    appendDue(20);
    CHECK(std::holds_alternative<ClaimWon>(takeResult()));
}

TEST(ClaimCoordinator, appendConfirmedButNotReadBack_waits)
{
    begin("a", 0);
    const std::optional<PendingBatch> batch = coordinator.takeBatch(at(20).time);
    coordinator.completeBatch(batch->number, BatchOutcome::Appended, 0, at(20));
    CHECK(coordinator.takeNotifications().empty());
}

TEST(ClaimCoordinator, manyCallsAtOnce_shareOneRecord)
{
    for (int index = 0; index < 200; ++index) {
        begin(std::to_string(index), 0, std::to_string(index));
    }
    appendDue(20);
    LONGS_EQUAL(200, coordinator.takeNotifications().size());
    CHECK_FALSE(coordinator.takeBatch(at(40).time).has_value());
}

TEST(ClaimCoordinator, logUnreachable_refusesImmediatelyAsNotRun)
{
    coordinator.setLogReachable(false);
    begin("a", 0);
    const ClaimDenied given = takeDenial();
    CHECK(given.error.code == ResultCode::ClaimUnrecorded);
    CHECK(given.run == RunState::NotRun);
}

TEST(ClaimCoordinator, appendRefused_refusesAsNotRun)
{
    begin("a", 0);
    const std::optional<PendingBatch> batch = coordinator.takeBatch(at(20).time);
    coordinator.completeBatch(batch->number, BatchOutcome::NotAppended, 0, at(21));
    CHECK(takeDenial().run == RunState::NotRun);
    LONGS_EQUAL(0, coordinator.unsettledClaimCount());
}

// The append response is lost, and the claim appears in the table after the caller was told "not run".
TEST(ClaimCoordinator, claimReadBackAfterRefusal_isTombstonedAndRepeatRuns)
{
    begin("a", 0);
    const std::optional<PendingBatch> batch = coordinator.takeBatch(at(20).time);
    coordinator.completeBatch(batch->number, BatchOutcome::InDoubt, 0, at(1000));
    coordinator.tick(at(4000));
    CHECK(takeDenial().error.code == ResultCode::ClaimUnrecorded);
    table = foldClaimBatch(table, batch->batch, next++);
    coordinator.updateTable(table, next, at(60'000));
    CHECK(coordinator.takeNotifications().empty());
    appendDue(60'020);
    begin("b", 60'100);
    appendDue(60'200);
    CHECK(std::holds_alternative<ClaimWon>(takeResult()));
}

TEST(ClaimCoordinator, repeatWhileRunning_waitsForRecordedAnswer)
{
    begin("a", 0);
    appendDue(20);
    coordinator.takeNotifications();
    begin("b", 100);
    CHECK(coordinator.takeNotifications().empty());
    coordinator.recordOutcome("a", toRecordedAnswer(201, "application/json", "{}"), at(200));
    appendDue(220);
    const ClaimResult given = takeResult();
    CHECK(std::get<ClaimReplay>(given).answer.body == "{}");
    LONGS_EQUAL(0, coordinator.unsettledClaimCount());
}

TEST(ClaimCoordinator, repeatWhileRunning_deadlinePassed_failsAsInProgress)
{
    begin("a", 0);
    appendDue(20);
    coordinator.takeNotifications();
    begin("b", 100);
    coordinator.tick(at(5100));
    const ClaimDenied given = takeDenial();
    CHECK(given.error.code == ResultCode::ClaimInProgress);
    CHECK(given.run == RunState::Unknown);
}

TEST(ClaimCoordinator, settlementLostByLog_isRecordedAgain)
{
    begin("a", 0);
    appendDue(20);
    coordinator.takeNotifications();
    coordinator.recordInDoubt("a", at(100));
    CHECK(coordinator.takeBatch(at(120).time).has_value());
    coordinator.tick(at(1200));
    appendDue(1300);
    begin("b", 1400);
    const ClaimDenied given = takeDenial();
    CHECK(given.error.code == ResultCode::OutcomeUnknown);
    CHECK(given.run == RunState::Unknown);
}

TEST_GROUP(ClaimSimulation){};

TEST(ClaimSimulation, randomFaults_violateNoInvariant)
{
    const char *setting = std::getenv("CELERYROUTE_SOAK_SEEDS");
    const int seeds = setting != nullptr ? std::atoi(setting) : 40;
    const ClaimSimulationReport sum = runSimulations(ClaimFault::None, seeds, 3000);
    std::printf("%d seeds: %d calls, %d answered, %d executions, %d repeats answered; %d crashes, %d pauses, "
                "%d lost answers, %d outages\n",
                seeds,
                sum.calls,
                sum.answered,
                sum.executions,
                sum.repeats,
                sum.crashes,
                sum.pauses,
                sum.lostAnswers,
                sum.outages);
    LONGS_EQUAL(0, sum.doubleRuns);
    LONGS_EQUAL(0, sum.falseNotRun);
    LONGS_EQUAL(0, sum.unanswered);
    LONGS_EQUAL(0, sum.wrongAnswers);
    LONGS_EQUAL(0, sum.late);
    CHECK(sum.executions > seeds * 20);
    CHECK(sum.repeats > seeds * 50);
}

TEST(ClaimSimulation, injectedBugs_areDetected)
{
    for (const ClaimFault fault : {ClaimFault::TreatsTimeoutAsNotRun,
                                   ClaimFault::RedispatchesOnTimeout,
                                   ClaimFault::AgentForgetsClaims,
                                   ClaimFault::DispatchesWithoutTableCheck}) {
        CHECK(runSimulations(fault, 5, 3000).violations() > 0);
    }
}
