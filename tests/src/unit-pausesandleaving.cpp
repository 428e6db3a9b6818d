#include "availabilitysimulation.h"
#include "gatewayworld.h"
#include "nodeworld.h"
#include "targetanswers.h"

#include <cstdio>
#include <functional>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t Born = 1'000;
const std::string Pause = httpAnswer(503, {}, "X-Request-Id: {id}\r\nX-Not-Run: 1\r\nRetry-After: 20\r\n");

const std::string Leaving = signedAnswer(200, "ok", "X-Leaving: 1\r\n");

/// A world with two targets, of which the first to be asked is `asked`.
class TwoTargetsWorld : public GatewayWorld
{
public:
    explicit TwoTargetsWorld(std::int64_t bornMs)
        : GatewayWorld(2)
    {
        apply();
        for (const std::string id : {"t0", "t1"}) {
            setBorn(id, bornMs);
        }
    }

    void setBorn(const std::string &id, std::int64_t bornMs)
    {
        TargetRecord record = table.target(id)->record;
        record.bornMs = bornMs;
        table.setRecord(record, loop.now());
    }

    void learnBorn(const std::string &id, std::int64_t bornMs)
    {
        TargetView view;
        view.bornMs = bornMs;
        table.setView(id, view, loop.now());
    }

    void loseRecordAndSetBorn(const std::string &id, std::int64_t bornMs)
    {
        TargetRecord record = table.target(id)->record;
        record.bornMs = bornMs;
        table.removeRecord(id, loop.now());
        table.setRecord(record, loop.now());
    }

    /// @brief Sends a call, does @p meanwhile while it is at its target, and lets the target answer it with @p answer.
    void callAndAnswer(const std::string &answer, const std::function<void()> &meanwhile)
    {
        RawCaller caller(loop, endpoint);
        caller.send(request("/once/a"));
        CHECK(waitForArrivals(1));
        asked = arrived.front().field(names.instance);
        meanwhile();
        scripts = {respondWith(Ok)};
        this->answer(0, answer);
        CHECK(caller.waitForEnd());
        CHECK_EQUAL(200, statusOf(caller.received()));
    }

    /// @brief Whether `asked` gets calls while it is the only target.
    bool askedGetsCalls()
    {
        const std::size_t before = arrived.size();
        table.removeRecord(asked == "t0" ? "t1" : "t0", loop.now());
        const bool refused = statusOf(call("/once/a")) == 503;
        CHECK_EQUAL(refused, arrived.size() == before);
        return !refused;
    }

    std::string asked;
};

constexpr std::uint64_t Schedules = 300;

/// @brief Plays all kinds of schedules, each with its own seed.
simulation::AvailabilityReport play(std::uint64_t schedules, bool heedsPauses, bool heedsLeaving)
{
    simulation::AvailabilityReport sum;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        simulation::AvailabilityOptions options;
        options.engines = seed % 2 == 0;
        options.registryTellsBorn = seed % 3 != 0;
        options.heedsPauses = heedsPauses;
        options.heedsLeaving = heedsLeaving;
        const simulation::AvailabilityReport report = simulation::AvailabilitySimulation(seed, options).run();
        const int violations = report.arrivalsInPauses + report.arrivalsAtLeaving + report.neverUsedAgain;
        if (heedsPauses && heedsLeaving && violations > 0) {
            std::printf("seed %llu: %d arrivals in pauses, %d at leaving targets, %d targets never used again\n",
                        static_cast<unsigned long long>(seed),
                        report.arrivalsInPauses,
                        report.arrivalsAtLeaving,
                        report.neverUsedAgain);
        }
        sum += report;
    }
    return sum;
}

} // namespace

TEST_GROUP(PausesAndLeaving){};

// The pause was dropped without a word, and the target got further calls.
TEST(PausesAndLeaving, startTimeLearntBeforeTheAnswer_keepsThePause)
{
    TwoTargetsWorld world(0);
    world.callAndAnswer(Pause, [&world] { world.learnBorn(world.asked, Born); });
    CHECK_FALSE(world.askedGetsCalls());
}

TEST(PausesAndLeaving, targetRestartedUnderItsId_keepsThePause)
{
    TwoTargetsWorld world(Born);
    world.callAndAnswer(Pause, [] {});
    world.setBorn(world.asked, Born + 1);
    CHECK_FALSE(world.askedGetsCalls());
}

TEST(PausesAndLeaving, restartLearntBeforeTheAnswer_keepsThePause)
{
    TwoTargetsWorld world(Born);
    world.callAndAnswer(Pause, [&world] { world.setBorn(world.asked, Born + 1); });
    CHECK_FALSE(world.askedGetsCalls());
}

TEST(PausesAndLeaving, recordRemovedAndBack_keepsThePause)
{
    TwoTargetsWorld world(Born);
    world.callAndAnswer(Pause, [] {});
    world.loseRecordAndSetBorn(world.asked, Born);
    CHECK_FALSE(world.askedGetsCalls());
}

TEST(PausesAndLeaving, recordRemovedBeforeTheAnswerAndBack_keepsThePause)
{
    TwoTargetsWorld world(Born);
    TargetRecord record;
    world.callAndAnswer(Pause, [&world, &record] {
        world.setBorn(world.asked, Born + 1);
        record = world.table.target(world.asked)->record;
        world.table.removeRecord(world.asked, world.loop.now());
    });
    world.table.setRecord(record, world.loop.now());
    CHECK_FALSE(world.askedGetsCalls());
}

// The leaving was noted for a lifetime that no longer had that start time, and the target got further calls.
TEST(PausesAndLeaving, startTimeLearntBeforeTheAnswer_keepsTheLeaving)
{
    TwoTargetsWorld world(0);
    world.callAndAnswer(Leaving, [&world] { world.learnBorn(world.asked, Born); });
    CHECK_FALSE(world.askedGetsCalls());
}

TEST(PausesAndLeaving, startTimeLearntAfterTheAnswer_keepsTheLeavingAlsoWhileTheRecordIsLost)
{
    TwoTargetsWorld world(0);
    world.callAndAnswer(Leaving, [] {});
    world.learnBorn(world.asked, Born);
    world.loseRecordAndSetBorn(world.asked, Born);
    CHECK_FALSE(world.askedGetsCalls());
}

TEST(PausesAndLeaving, restartLearntBeforeTheAnswer_keepsTheLeaving)
{
    TwoTargetsWorld world(Born);
    world.callAndAnswer(Leaving, [&world] { world.setBorn(world.asked, Born + 1); });
    CHECK_FALSE(world.askedGetsCalls());
}

// A late answer of the previous lifetime made the entry forget that the present one leaves.
TEST(PausesAndLeaving, earlierLifetimeAnswersLast_keepsTheLeavingOfTheLaterOne)
{
    TwoTargetsWorld world(Born);
    RawCaller late(world.loop, world.endpoint);
    late.send(GatewayWorld::request("/once/a"));
    CHECK(world.waitForArrivals(1));
    world.asked = world.arrived.front().field(world.names.instance);
    world.setBorn(world.asked, Born + 1);
    world.scripts = {world.respondWith(Leaving)};
    while (world.arrived.back().field(world.names.instance) != world.asked || world.arrived.size() < 2) {
        CHECK_EQUAL(200, statusOf(world.call("/once/a")));
    }
    world.answer(0, Leaving);
    CHECK(late.waitForEnd());
    world.scripts = {world.respondWith(Ok)};
    world.loseRecordAndSetBorn(world.asked, Born + 1);
    CHECK_FALSE(world.askedGetsCalls());
}

TEST(PausesAndLeaving, outdatedRecordOfAnEarlierLifetime_keepsTheLeaving)
{
    for (const std::int64_t outdated : {Born - 1, std::int64_t{0}}) {
        TwoTargetsWorld world(Born);
        world.callAndAnswer(Leaving, [] {});
        world.loseRecordAndSetBorn(world.asked, outdated);
        CHECK_FALSE(world.askedGetsCalls());
    }
}

// An answer that belongs to another request was dropped with what the target said in it of itself.
TEST(PausesAndLeaving, strayAnswerBeforeTheOwnOne_keepsThePauseAndTheLeaving)
{
    const std::string strays[] = {httpAnswer(503, {}, "X-Request-Id: other\r\nX-Not-Run: 1\r\nRetry-After: 20\r\n"),
                                  httpAnswer(200, "late", "X-Request-Id: other\r\nX-Leaving: 1\r\n")};
    for (const std::string &stray : strays) {
        TwoTargetsWorld world(Born);
        world.callAndAnswer(stray + Ok, [] {});
        CHECK_EQUAL(1U, world.arrived.size());
        CHECK_FALSE(world.askedGetsCalls());
    }
}

TEST(PausesAndLeaving, recordWithoutStartTime_keepsTheLeavingAlsoWhenALaterLifetimeIsLearnt)
{
    for (const std::int64_t learnt : {Born, Born + 1}) {
        TwoTargetsWorld world(Born);
        world.callAndAnswer(Leaving, [] {});
        world.loseRecordAndSetBorn(world.asked, 0);
        CHECK_FALSE(world.askedGetsCalls());
        world.learnBorn(world.asked, learnt);
        CHECK_FALSE(world.askedGetsCalls());
    }
}

// Records that wait out an outage of the store name earlier lifetimes before the present one.
TEST(PausesAndLeaving, outdatedRecordBeforeTheAnswer_keepsTheLeaving)
{
    TwoTargetsWorld world(Born);
    world.callAndAnswer(Leaving, [&world] {
        world.setBorn(world.asked, Born - 1);
        world.setBorn(world.asked, Born);
    });
    CHECK_FALSE(world.askedGetsCalls());
}

TEST(PausesAndLeaving, agentSaysThatItsTargetLeaves_strikesThatLifetime)
{
    for (const std::int64_t later : {std::int64_t{0}, std::int64_t{1}}) {
        TwoTargetsWorld world(Born);
        world.callAndAnswer(Ok, [] {});
        TargetView view;
        view.bornMs = Born;
        view.leaving = true;
        world.table.setView(world.asked, view, world.loop.now());
        view.leaving = false; // The order of an agent's messages is not kept by all networks.
        world.table.setView(world.asked, view, world.loop.now());
        world.learnBorn(world.asked, Born + later);
        CHECK_EQUAL(later > 0, world.askedGetsCalls());
    }
}

TEST(PausesAndLeaving, agentSaysThatAnEarlierLifetimeLeaves_keepsTheLaterOne)
{
    TwoTargetsWorld world(Born);
    world.callAndAnswer(Ok, [] {});
    TargetView view;
    view.bornMs = Born - 1;
    view.leaving = true;
    world.table.setView(world.asked, view, world.loop.now());
    CHECK_TRUE(world.askedGetsCalls());
}

TEST_GROUP(LeavingEngine)
{
    NodeWorld world;
    const std::string fields = "Authorization: Bearer key-a\r\nX-Model: m1\r\nX-Token-Usage: 100,5\r\n"
                               "X-Deadline-Ms: 3000\r\n";

    void setup() override
    {
        world.publish();
        world.registerEngine();
        world.startAgent();
        for (std::size_t entry = 0; entry < 2; ++entry) {
            world.startEntry();
            CHECK(world.runUntilReadiness(entry, 200));
        }
    }
    std::string call(std::size_t entry)
    {
        return world.call(world.callerEndpoint(entry), "/chat/a", "r-" + std::to_string(entry), fields);
    }
};

// The agent loaded models at a target that no entry sends calls to.
TEST(LeavingEngine, reportsSayThatItLeaves_allEntriesRefuseItsCallsAndNothingIsLoaded)
{
    world.engine.leaving = true;
    for (const auto &entry : world.entries) {
        CHECK(world.runUntilLogged(entry->log, "target.leaving"));
    }
    for (std::size_t entry = 0; entry < world.entries.size(); ++entry) {
        const std::string answer = call(entry);
        CHECK_EQUAL(503, statusOf(answer));
        STRCMP_CONTAINS("Retry-After: ", answer.c_str());
    }
    CHECK(world.engine.orders.empty());
}

TEST(LeavingEngine, laterLifetime_getsOrdersAndCalls)
{
    world.engine.leaving = true;
    CHECK(world.runUntilLogged(world.entries[0]->log, "target.leaving"));
    world.engine.leaving = false;
    world.engine.report["born"] = 2000;
    CHECK(turnUntil(world.loop, [this] { return statusOf(call(0)) == 200; }));
    CHECK_EQUAL(1U, world.engine.orders.size());
}

TEST_GROUP(PauseAndLeavingSchedules){};

TEST(PauseAndLeavingSchedules, lossRestartsLostRecordsAndOutages_keepPausesAndLeaving)
{
    const simulation::AvailabilityReport sum = play(Schedules, true, true);
    std::printf("%llu schedules: %d calls, %d sent, %d pauses, %d leavings, %d restarts, %d outages, %d lost records\n",
                static_cast<unsigned long long>(Schedules),
                sum.calls,
                sum.sent,
                sum.pauses,
                sum.leavings,
                sum.restarts,
                sum.outages,
                sum.removals);
    CHECK_EQUAL(0, sum.arrivalsInPauses);
    CHECK_EQUAL(0, sum.arrivalsAtLeaving);
    CHECK_EQUAL(0, sum.neverUsedAgain);
    CHECK(sum.pauses > 0 && sum.leavings > 0 && sum.restarts > 0 && sum.outages > 0 && sum.removals > 0);
}

TEST(PauseAndLeavingSchedules, wishesNotHeeded_breakTheRules)
{
    constexpr std::uint64_t Few = 30;
    CHECK(play(Few, false, true).arrivalsInPauses > 0);
    CHECK(play(Few, true, false).arrivalsAtLeaving > 0);
}
