#include "followersimulation.h"

#include <cstdio>
#include <google/protobuf/stubs/logging.h>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace celeryroute::test;

namespace {
constexpr Duration Second = std::chrono::seconds(1);
constexpr std::uint64_t FirstSeed = 1;
constexpr int Schedules = 200;
const std::string KeyDigest(32, 'k');
} // namespace

TEST_GROUP(StateFollower)
{
    FollowerSimulation world;

    RecordStatus settlementAt(const std::string &process, const std::string &id)
    {
        const auto &verdicts = world.process(process).verdicts;
        CHECK_TRUE_TEXT(verdicts.count(id) == 1, id.c_str());
        return verdicts.at(id).settlement;
    }

    bool isSettled(const std::string &process, const std::string &id)
    {
        return world.process(process).verdicts.count(id) == 1;
    }

    const FleetState &stateOf(const std::string &process)
    {
        return world.process(process).follower.state();
    }

    void appendToLog(const proto::LogRecord &record)
    {
        world.log.append(record.SerializeAsString());
    }

    void appendDrains(int count)
    {
        for (int i = 0; i < count; ++i) {
            appendToLog(drainRecord("drain" + std::to_string(world.log.next()), "h" + std::to_string(i), true));
        }
    }

    std::vector<proto::LogRecord> snapshotRecords(const FleetState &state, const std::string &id)
    {
        std::vector<proto::LogRecord> records;
        for (const proto::StateSnapshot &part : toSnapshot(state, id)) {
            records.push_back(emptyRecord(id + std::to_string(part.part())));
            *records.back().mutable_snapshot() = part;
        }
        return records;
    }

    bool fresh(const std::string &process)
    {
        return world.process(process).store.isFresh(world.now);
    }
};

TEST(StateFollower, submittedRecord_isAcceptedAndInForceEverywhere)
{
    world.start("a");
    world.start("b");
    world.process("a").follower.submit(drainRecord("d", "h1", true));
    world.run(2 * Second);
    CHECK(settlementAt("a", "d") == RecordStatus::Accepted);
    CHECK(world.process("b").store.state()->hostDrained("h1"));
}

TEST(StateFollower, answerLostAfterTheAppend_isSettledByTheRecordId)
{
    world.start("a");
    world.log.loseAnswers(1);
    world.process("a").follower.submit(drainRecord("d", "h1", true));
    world.run(3 * Second);
    CHECK(settlementAt("a", "d") == RecordStatus::Accepted);
    LONGS_EQUAL(1, world.log.next());
}

TEST(StateFollower, appendLostOnItsWay_isRepeatedUnderTheSameId)
{
    world.start("a");
    world.log.loseAppends(2);
    world.process("a").follower.submit(drainRecord("d", "h1", true));
    world.run(6 * Second);
    CHECK(settlementAt("a", "d") == RecordStatus::Accepted);
    LONGS_EQUAL(1, world.log.next());
}

TEST(StateFollower, secondAttemptRefused_doesNotSettleTheFirst)
{
    world.start("a");
    world.log.holdAppends(1);
    world.process("a").follower.submit(drainRecord("d", "h1", true));
    world.run(Second);
    world.process("a").cutOffFromLog = true;
    // The log is read to its end without the record, and the second attempt fails.
    const LogReadDone read{LogRead{0, 5, 0}, LogBatch{0, 0, {}}, world.now + 2 * Second};
    world.process("a").follower.handle(read, world.now);
    world.run(3 * Second);
    CHECK_FALSE(isSettled("a", "d"));
    world.log.deliverHeld();
    world.process("a").cutOffFromLog = false;
    world.run(3 * Second);
    CHECK(settlementAt("a", "d") == RecordStatus::Accepted);
    CHECK(stateOf("a").hostDrained("h1"));
}

TEST(StateFollower, logDown_changeIsRefusedAtOnce)
{
    world.start("a");
    world.log.setDown(true);
    world.process("a").follower.submit(drainRecord("d", "h1", true));
    world.run(Second);
    CHECK(settlementAt("a", "d") == RecordStatus::NotAppended);
    LONGS_EQUAL(401, static_cast<int>(world.process("a").verdicts.at("d").error.code));
}

TEST(StateFollower, appendInDoubtWhenTheLogGoesDown_isSettledWhenItReturns)
{
    world.start("a");
    world.run(Second);
    world.log.loseAnswers(1);
    world.process("a").follower.submit(drainRecord("d", "h1", true));
    const std::vector<FollowerAction> actions = world.process("a").follower.step(world.now);
    for (const FollowerAction &action : actions) {
        if (const auto *append = std::get_if<AppendToLog>(&action)) {
            const AppendOutcome outcome = world.log.append(append->bytes);
            world.process("a").follower.handle(LogAppendDone{append->recordId, outcome}, world.now);
        } else if (const auto *read = std::get_if<ReadLog>(&action)) {
            world.process("a").follower.handle(LogReadDone{read->read, LogUnreachable{}, world.now}, world.now);
        }
    }
    world.log.setDown(true);
    world.run(60 * Second);
    CHECK_FALSE(isSettled("a", "d"));
    world.log.setDown(false);
    world.run(3 * Second);
    CHECK(settlementAt("a", "d") == RecordStatus::Accepted);
    LONGS_EQUAL(1, world.log.next());
}

TEST(StateFollower, twoOperatorsRace_oneWinsAndTheOtherLearnsWhy)
{
    world.start("a");
    world.start("b");
    world.process("a").follower.submit(declarationRecord("first", {putItem(customerSpec("yard"), 0)}));
    world.process("b").follower.submit(declarationRecord("second", {putItem(customerSpec("yard"), 0)}));
    world.run(2 * Second);
    CHECK(settlementAt("a", "first") == RecordStatus::Accepted);
    CHECK(settlementAt("b", "second") == RecordStatus::Refused);
    const Refusals &refusals = world.process("b").verdicts.at("second").refusals;
    LONGS_EQUAL(208, static_cast<int>(refusals.at(0).error.code));
    LONGS_EQUAL(1, refusals.at(0).current);
}

TEST(StateFollower, processStartedInAnOutage_takesItsStateFromAPeerAndGoesOnByTheLog)
{
    appendDrains(20);
    world.start("a");
    world.run(3 * Second);
    world.log.setDown(true);
    world.start("b");
    world.run(2 * Second);
    CHECK(world.process("b").follower.isReady());
    CHECK(canonical(stateOf("b")) == canonical(stateOf("a")));
    world.log.setDown(false);
    appendDrains(1);
    world.run(2 * Second);
    LONGS_EQUAL(21, stateOf("b").nextOffset());
}

TEST(StateFollower, processWithoutLogAndPeers_isNotReadyAndNotFresh)
{
    world.log.setDown(true);
    world.start("a");
    world.process("a").follower.freshness().setLiveDomains({"x"});
    world.process("a").follower.freshness().heardFrom("x", world.now);
    world.run(Second);
    CHECK_FALSE(world.process("a").follower.isReady());
    CHECK_FALSE(fresh("a"));
}

TEST(StateFollower, processCutOffFromTheLog_catchesUpByItsPeers)
{
    world.start("a");
    world.start("b").cutOffFromLog = true;
    appendDrains(30);
    world.run(5 * Second);
    LONGS_EQUAL(30, stateOf("b").nextOffset());
    appendToLog(keyWithdrawalRecord("withdraw", KeyDigest));
    world.run(2 * Second);
    CHECK(world.process("b").store.state()->key(KeyDigest)->value.withdrawn);
}

TEST(StateFollower, logThatForgot_isStartedFromASnapshot)
{
    appendDrains(10);
    const FleetState early = world.start("a").follower.state();
    world.run(3 * Second);
    for (const proto::LogRecord &record : snapshotRecords(stateOf("a"), "s")) {
        appendToLog(record);
    }
    appendDrains(5);
    world.run(3 * Second);
    const std::string expected = canonical(stateOf("a"));
    world.stop("a");
    world.log.forgetBefore(9);
    world.start("b");
    world.run(3 * Second);
    CHECK(canonical(stateOf("b")) == expected);
}

// The snapshot is of an old state and was appended late: the records between are folded after it.
TEST(StateFollower, snapshotByALaggingProcess_isBroughtUpToDateByTheRecordsAfterIt)
{
    appendDrains(6);
    world.start("lagging");
    world.run(2 * Second);
    const FleetState old = stateOf("lagging");
    world.stop("lagging");
    appendToLog(keyWithdrawalRecord("withdraw", KeyDigest));
    appendDrains(3);
    for (const proto::LogRecord &record : snapshotRecords(old, "s")) {
        appendToLog(record);
    }
    world.log.forgetBefore(6);
    world.start("b");
    world.run(3 * Second);
    CHECK(stateOf("b").key(KeyDigest) != nullptr);
    LONGS_EQUAL(world.log.next(), stateOf("b").nextOffset());
}

TEST(StateFollower, snapshotWhoseNextRecordsAreForgotten_isNotUsed)
{
    appendDrains(6);
    world.start("lagging");
    world.run(2 * Second);
    const FleetState old = stateOf("lagging");
    world.stop("lagging");
    appendToLog(keyWithdrawalRecord("withdraw", KeyDigest));
    for (const proto::LogRecord &record : snapshotRecords(old, "s")) {
        appendToLog(record);
    }
    world.log.forgetBefore(7);
    world.start("b");
    world.run(3 * Second);
    CHECK_FALSE(world.process("b").follower.isReady());
    CHECK_FALSE(fresh("b"));
}

TEST(StateFollower, readerWithState_doesNotStepBackToAnOlderSnapshot)
{
    appendDrains(4);
    world.start("a");
    world.run(2 * Second);
    const FleetState old = stateOf("a");
    appendDrains(4);
    world.run(2 * Second);
    proto::StateReply reply;
    *reply.mutable_snapshot() = toWholeSnapshot(old);
    world.process("a").follower.handle(reply, world.now);
    LONGS_EQUAL(8, stateOf("a").nextOffset());
    LONGS_EQUAL(8, world.process("a").store.state()->nextOffset());
}

TEST(StateFollower, processPausedBeyondRetention_goesOnFromASnapshot)
{
    appendDrains(4);
    world.start("a");
    world.start("b");
    world.run(2 * Second);
    world.process("b").paused = true;
    appendDrains(20);
    world.run(3 * Second);
    for (const proto::LogRecord &record : snapshotRecords(stateOf("a"), "s")) {
        appendToLog(record);
    }
    world.run(Second);
    world.stop("a");
    world.log.forgetBefore(20);
    world.process("b").paused = false;
    CHECK_FALSE(fresh("b"));
    world.run(3 * Second);
    LONGS_EQUAL(world.log.next(), stateOf("b").nextOffset());
    CHECK(fresh("b"));
}

TEST(StateFollower, snapshots_areWrittenInTimeByFewOfManyProcesses)
{
    world.policy.interval = std::chrono::seconds(100);
    appendDrains(3);
    for (int i = 0; i < 20; ++i) {
        world.start("p" + std::to_string(i));
    }
    world.run(std::chrono::seconds(1000));
    const std::uint64_t snapshots = world.log.next() - 3;
    CHECK(snapshots >= 8);
    CHECK(snapshots <= 24);
}

TEST(StateFollower, recordOfANewerProgram_endsFreshnessAndIsNotPassedOver)
{
    appendDrains(2);
    world.start("a");
    world.run(Second);
    CHECK(fresh("a"));
    proto::LogRecord newer = drainRecord("newer", "h9", true);
    newer.set_format(2);
    appendToLog(newer);
    appendDrains(2);
    world.run(5 * Second);
    LONGS_EQUAL(2, stateOf("a").nextOffset());
    CHECK_FALSE(fresh("a"));
}

TEST(StateFollower, randomFaults_allProcessesConvergeAndEveryRecordIsSettledTruly)
{
    google::protobuf::SetLogHandler(nullptr);
    for (int i = 0; i < Schedules; ++i) {
        std::mt19937_64 random(FirstSeed + static_cast<std::uint64_t>(i));
        const auto number = [&random](int bound) { return std::uniform_int_distribution<int>(0, bound - 1)(random); };
        world = FollowerSimulation();
        for (const char *name : {"a", "b", "c"}) {
            world.start(name);
        }
        std::map<std::string, std::string> authors;
        std::map<std::string, std::uint64_t> positions;
        for (int step = 0; step < 60; ++step) {
            const std::vector<std::string> names = world.names();
            const std::string &name = names[static_cast<std::size_t>(number(3))];
            FollowerSimulation::Process &process = world.process(name);
            switch (number(10)) {
            case 0:
                world.log.setDown(number(2) == 0);
                break;
            case 1:
                world.log.loseAnswers(1 + number(2));
                break;
            case 2:
                world.log.loseAppends(1 + number(2));
                break;
            case 3:
                process.cutOffFromLog = number(2) == 0;
                break;
            case 5:
                world.log.holdAppends(1 + number(2));
                break;
            case 6:
                world.log.deliverHeld();
                break;
            case 4:
                process.paused = number(2) == 0;
                break;
            default: {
                const std::string id = "id" + std::to_string(step);
                authors[id] = name;
                process.follower.submit(drainRecord(id, "h" + std::to_string(step), true));
                break;
            }
            }
            world.run(number(3) * Second);
            for (const std::string &other : names) {
                const std::uint64_t position = world.process(other).follower.state().nextOffset();
                CHECK(position >= positions[other]);
                positions[other] = position;
            }
        }
        world.log.setDown(false);
        world.log.loseAnswers(0);
        world.log.loseAppends(0);
        world.log.holdAppends(0);
        world.log.deliverHeld();
        for (const std::string &name : world.names()) {
            world.process(name).paused = false;
            world.process(name).cutOffFromLog = false;
        }
        world.run(10 * Second);
        for (const char *name : {"b", "c"}) {
            CHECK(canonical(stateOf(name)) == canonical(stateOf("a")));
        }
        for (const auto &[id, author] : authors) {
            const bool inForce = stateOf("a").hostDrained("h" + id.substr(2));
            CHECK(settlementAt(author, id) == (inForce ? RecordStatus::Accepted : RecordStatus::NotAppended)
                  || (inForce && settlementAt(author, id) == RecordStatus::Recorded));
        }
    }
    std::printf("\nfollower schedules: %d of 60 steps, seeds %d to %d\n",
                Schedules,
                static_cast<int>(FirstSeed),
                static_cast<int>(FirstSeed) + Schedules - 1);
}
