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
    FollowerSimulation simulation;

    RecordStatus statusAt(const std::string &process, const std::string &id)
    {
        const auto &results = simulation.process(process).results;
        CHECK_TRUE_TEXT(results.count(id) == 1, id.c_str());
        return results.at(id).status;
    }

    bool isSettled(const std::string &process, const std::string &id)
    {
        return simulation.process(process).results.count(id) == 1;
    }

    const FleetState &stateOf(const std::string &process)
    {
        return simulation.process(process).follower.state();
    }

    void appendToLog(const proto::LogRecord &record)
    {
        simulation.log.append(record.SerializeAsString());
    }

    void appendDrains(int count)
    {
        for (int i = 0; i < count; ++i) {
            appendToLog(drainRecord("drain" + std::to_string(simulation.log.next()), "h" + std::to_string(i), true));
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

    bool isFresh(const std::string &process)
    {
        return simulation.process(process).store.isFresh(simulation.now);
    }
};

TEST(StateFollower, submittedRecord_takesEffectInAllProcesses)
{
    simulation.start("a");
    simulation.start("b");
    simulation.process("a").follower.submit(drainRecord("d", "h1", true));
    simulation.run(2 * Second);
    CHECK(statusAt("a", "d") == RecordStatus::Accepted);
    CHECK(simulation.process("b").store.state()->isHostDraining("h1"));
}

TEST(StateFollower, appendResponseLost_isSettledByRecordId)
{
    simulation.start("a");
    simulation.log.loseAnswers(1);
    simulation.process("a").follower.submit(drainRecord("d", "h1", true));
    simulation.run(3 * Second);
    CHECK(statusAt("a", "d") == RecordStatus::Accepted);
    LONGS_EQUAL(1, simulation.log.next());
}

TEST(StateFollower, appendLost_isRetriedWithSameId)
{
    simulation.start("a");
    simulation.log.loseAppends(2);
    simulation.process("a").follower.submit(drainRecord("d", "h1", true));
    simulation.run(6 * Second);
    CHECK(statusAt("a", "d") == RecordStatus::Accepted);
    LONGS_EQUAL(1, simulation.log.next());
}

TEST(StateFollower, secondAttemptRefused_doesNotSettleFirst)
{
    simulation.start("a");
    simulation.log.holdAppends(1);
    simulation.process("a").follower.submit(drainRecord("d", "h1", true));
    simulation.run(Second);
    simulation.process("a").cutOffFromLog = true;
    // The log is read to its end without the record, and the second attempt fails.
    const LogReadDone read{LogRead{0, 5, 0}, LogBatch{0, 0, {}}, simulation.now + 2 * Second};
    simulation.process("a").follower.handle(read, simulation.now);
    simulation.run(3 * Second);
    CHECK_FALSE(isSettled("a", "d"));
    simulation.log.deliverHeld();
    simulation.process("a").cutOffFromLog = false;
    simulation.run(3 * Second);
    CHECK(statusAt("a", "d") == RecordStatus::Accepted);
    CHECK(stateOf("a").isHostDraining("h1"));
}

TEST(StateFollower, logDown_changeIsRefusedImmediately)
{
    simulation.start("a");
    simulation.log.setDown(true);
    simulation.process("a").follower.submit(drainRecord("d", "h1", true));
    simulation.run(Second);
    CHECK(statusAt("a", "d") == RecordStatus::NotAppended);
    LONGS_EQUAL(401, static_cast<int>(simulation.process("a").results.at("d").error.code));
}

TEST(StateFollower, appendInDoubtAtLogOutage_isSettledAfterOutage)
{
    simulation.start("a");
    simulation.run(Second);
    simulation.log.loseAnswers(1);
    simulation.process("a").follower.submit(drainRecord("d", "h1", true));
    const std::vector<FollowerAction> actions = simulation.process("a").follower.step(simulation.now);
    for (const FollowerAction &action : actions) {
        if (const auto *append = std::get_if<AppendToLog>(&action)) {
            const AppendOutcome outcome = simulation.log.append(append->bytes);
            simulation.process("a").follower.handle(LogAppendDone{append->recordId, outcome}, simulation.now);
        } else if (const auto *read = std::get_if<ReadLog>(&action)) {
            simulation.process("a").follower.handle(LogReadDone{read->read, LogUnreachable{}, simulation.now},
                                                    simulation.now);
        }
    }
    simulation.log.setDown(true);
    simulation.run(60 * Second);
    CHECK_FALSE(isSettled("a", "d"));
    simulation.log.setDown(false);
    simulation.run(3 * Second);
    CHECK(statusAt("a", "d") == RecordStatus::Accepted);
    LONGS_EQUAL(1, simulation.log.next());
}

TEST(StateFollower, conflictingChanges_firstWinsAndSecondGetsReason)
{
    simulation.start("a");
    simulation.start("b");
    simulation.process("a").follower.submit(declarationRecord("first", {putItem(customerSpec("yard"), 0)}));
    simulation.process("b").follower.submit(declarationRecord("second", {putItem(customerSpec("yard"), 0)}));
    simulation.run(2 * Second);
    CHECK(statusAt("a", "first") == RecordStatus::Accepted);
    CHECK(statusAt("b", "second") == RecordStatus::Refused);
    const Refusals &refusals = simulation.process("b").results.at("second").refusals;
    LONGS_EQUAL(208, static_cast<int>(refusals.at(0).error.code));
    LONGS_EQUAL(1, refusals.at(0).current);
}

TEST(StateFollower, processStartedDuringOutage_takesStateFromPeerThenReadsLog)
{
    appendDrains(20);
    simulation.start("a");
    simulation.run(3 * Second);
    simulation.log.setDown(true);
    simulation.start("b");
    simulation.run(2 * Second);
    CHECK(simulation.process("b").follower.isReady());
    CHECK(canonical(stateOf("b")) == canonical(stateOf("a")));
    simulation.log.setDown(false);
    appendDrains(1);
    simulation.run(2 * Second);
    LONGS_EQUAL(21, stateOf("b").nextOffset());
}

TEST(StateFollower, processWithoutLogAndPeers_isNotReadyAndNotFresh)
{
    simulation.log.setDown(true);
    simulation.start("a");
    simulation.process("a").follower.freshness().setLiveDomains({"x"});
    simulation.process("a").follower.freshness().recordHeartbeat("x", simulation.now);
    simulation.run(Second);
    CHECK_FALSE(simulation.process("a").follower.isReady());
    CHECK_FALSE(isFresh("a"));
}

TEST(StateFollower, processCutOffFromLog_catchesUpFromPeers)
{
    simulation.start("a");
    simulation.start("b").cutOffFromLog = true;
    appendDrains(30);
    simulation.run(5 * Second);
    LONGS_EQUAL(30, stateOf("b").nextOffset());
    appendToLog(keyWithdrawalRecord("withdraw", KeyDigest));
    simulation.run(2 * Second);
    CHECK(simulation.process("b").store.state()->key(KeyDigest)->value.withdrawn);
}

TEST(StateFollower, truncatedLog_processStartsFromSnapshot)
{
    appendDrains(10);
    const FleetState early = simulation.start("a").follower.state();
    simulation.run(3 * Second);
    for (const proto::LogRecord &record : snapshotRecords(stateOf("a"), "s")) {
        appendToLog(record);
    }
    appendDrains(5);
    simulation.run(3 * Second);
    const std::string expected = canonical(stateOf("a"));
    simulation.stop("a");
    simulation.log.forgetBefore(9);
    simulation.start("b");
    simulation.run(3 * Second);
    CHECK(canonical(stateOf("b")) == expected);
}

// The snapshot contains an old state and was appended late; the records between its offset and its
// position in the log must be folded after it.
TEST(StateFollower, snapshotByLaggingProcess_isUpdatedByLaterRecords)
{
    appendDrains(6);
    simulation.start("lagging");
    simulation.run(2 * Second);
    const FleetState old = stateOf("lagging");
    simulation.stop("lagging");
    appendToLog(keyWithdrawalRecord("withdraw", KeyDigest));
    appendDrains(3);
    for (const proto::LogRecord &record : snapshotRecords(old, "s")) {
        appendToLog(record);
    }
    simulation.log.forgetBefore(6);
    simulation.start("b");
    simulation.run(3 * Second);
    CHECK(stateOf("b").key(KeyDigest) != nullptr);
    LONGS_EQUAL(simulation.log.next(), stateOf("b").nextOffset());
}

TEST(StateFollower, snapshotWithTruncatedSuccessors_isNotUsed)
{
    appendDrains(6);
    simulation.start("lagging");
    simulation.run(2 * Second);
    const FleetState old = stateOf("lagging");
    simulation.stop("lagging");
    appendToLog(keyWithdrawalRecord("withdraw", KeyDigest));
    for (const proto::LogRecord &record : snapshotRecords(old, "s")) {
        appendToLog(record);
    }
    simulation.log.forgetBefore(7);
    simulation.start("b");
    simulation.run(3 * Second);
    CHECK_FALSE(simulation.process("b").follower.isReady());
    CHECK_FALSE(isFresh("b"));
}

TEST(StateFollower, olderSnapshotFromPeer_isIgnored)
{
    appendDrains(4);
    simulation.start("a");
    simulation.run(2 * Second);
    const FleetState old = stateOf("a");
    appendDrains(4);
    simulation.run(2 * Second);
    proto::StateReply reply;
    *reply.mutable_snapshot() = toWholeSnapshot(old);
    simulation.process("a").follower.handle(reply, simulation.now);
    LONGS_EQUAL(8, stateOf("a").nextOffset());
    LONGS_EQUAL(8, simulation.process("a").store.state()->nextOffset());
}

TEST(StateFollower, processPausedBeyondRetention_resumesFromSnapshot)
{
    appendDrains(4);
    simulation.start("a");
    simulation.start("b");
    simulation.run(2 * Second);
    simulation.process("b").paused = true;
    appendDrains(20);
    simulation.run(3 * Second);
    for (const proto::LogRecord &record : snapshotRecords(stateOf("a"), "s")) {
        appendToLog(record);
    }
    simulation.run(Second);
    simulation.stop("a");
    simulation.log.forgetBefore(20);
    simulation.process("b").paused = false;
    CHECK_FALSE(isFresh("b"));
    simulation.run(3 * Second);
    LONGS_EQUAL(simulation.log.next(), stateOf("b").nextOffset());
    CHECK(isFresh("b"));
}

TEST(StateFollower, snapshots_areWrittenByFewProcessesWithinInterval)
{
    simulation.policy.interval = std::chrono::seconds(100);
    appendDrains(3);
    for (int i = 0; i < 20; ++i) {
        simulation.start("p" + std::to_string(i));
    }
    simulation.run(std::chrono::seconds(1000));
    const std::uint64_t snapshots = simulation.log.next() - 3;
    CHECK(snapshots >= 8);
    CHECK(snapshots <= 24);
}

TEST(StateFollower, recordOfNewerFormat_endsFreshnessAndStopsFold)
{
    appendDrains(2);
    simulation.start("a");
    simulation.run(Second);
    CHECK(isFresh("a"));
    proto::LogRecord newer = drainRecord("newer", "h9", true);
    newer.set_format(2);
    appendToLog(newer);
    appendDrains(2);
    simulation.run(5 * Second);
    LONGS_EQUAL(2, stateOf("a").nextOffset());
    CHECK_FALSE(isFresh("a"));
}

TEST(StateFollower, randomFaults_processesConvergeAndRecordsAreSettledCorrectly)
{
    google::protobuf::SetLogHandler(nullptr);
    for (int i = 0; i < Schedules; ++i) {
        std::mt19937_64 random(FirstSeed + static_cast<std::uint64_t>(i));
        const auto number = [&random](int bound) { return std::uniform_int_distribution<int>(0, bound - 1)(random); };
        simulation = FollowerSimulation();
        for (const char *name : {"a", "b", "c"}) {
            simulation.start(name);
        }
        std::map<std::string, std::string> authors;
        std::map<std::string, std::uint64_t> positions;
        for (int step = 0; step < 60; ++step) {
            const std::vector<std::string> names = simulation.names();
            const std::string &name = names[static_cast<std::size_t>(number(3))];
            FollowerSimulation::Process &process = simulation.process(name);
            switch (number(10)) {
            case 0:
                simulation.log.setDown(number(2) == 0);
                break;
            case 1:
                simulation.log.loseAnswers(1 + number(2));
                break;
            case 2:
                simulation.log.loseAppends(1 + number(2));
                break;
            case 3:
                process.cutOffFromLog = number(2) == 0;
                break;
            case 5:
                simulation.log.holdAppends(1 + number(2));
                break;
            case 6:
                simulation.log.deliverHeld();
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
            simulation.run(number(3) * Second);
            for (const std::string &other : names) {
                const std::uint64_t position = simulation.process(other).follower.state().nextOffset();
                CHECK(position >= positions[other]);
                positions[other] = position;
            }
        }
        simulation.log.setDown(false);
        simulation.log.loseAnswers(0);
        simulation.log.loseAppends(0);
        simulation.log.holdAppends(0);
        simulation.log.deliverHeld();
        for (const std::string &name : simulation.names()) {
            simulation.process(name).paused = false;
            simulation.process(name).cutOffFromLog = false;
        }
        simulation.run(10 * Second);
        for (const char *name : {"b", "c"}) {
            CHECK(canonical(stateOf(name)) == canonical(stateOf("a")));
        }
        for (const auto &[id, author] : authors) {
            const bool inForce = stateOf("a").isHostDraining("h" + id.substr(2));
            CHECK(statusAt(author, id) == (inForce ? RecordStatus::Accepted : RecordStatus::NotAppended)
                  || (inForce && statusAt(author, id) == RecordStatus::Recorded));
        }
    }
    std::printf("\nfollower schedules: %d of 60 steps, seeds %d to %d\n",
                Schedules,
                static_cast<int>(FirstSeed),
                static_cast<int>(FirstSeed) + Schedules - 1);
}
