#include "gatewayworld.h"
#include "targetanswers.h"

#include <algorithm>
#include <functional>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t Born = 1'000;
constexpr Duration Silence = 150ms; ///< Longer than a target may be silent here before another one is tried.
const std::string Leaving = signedAnswer(200, "ok", "X-Leaving: 1\r\n");

/// A world of two targets, of which `left` has said in an answer that it leaves. The other one answers with `rest`.
class LeftTargetWorld : public GatewayWorld
{
public:
    LeftTargetWorld()
        : GatewayWorld(2)
    {
        for (ServingRoute &route : state.routes) {
            route.targetGap = 20ms;
            route.targetLatency = 40ms;
        }
        apply();
        setBorn("t0", Born);
        setBorn("t1", Born);
    }

    void setBorn(const std::string &id, std::int64_t bornMs)
    {
        TargetRecord record = table.target(id)->record;
        record.bornMs = bornMs;
        table.setRecord(record, loop.now());
    }

    void learnBorn(std::int64_t bornMs)
    {
        TargetView view;
        view.bornMs = bornMs;
        table.setView(left, view, loop.now());
    }

    void loseRecord()
    {
        lostRecord = table.target(left)->record;
        table.removeRecord(left, loop.now());
    }

    void restoreRecord(std::int64_t bornMs)
    {
        lostRecord.bornMs = bornMs;
        table.setRecord(lostRecord, loop.now());
    }

    /// @brief Has one target say that it leaves. @p meanwhile happens between the call and its answer.
    void leave(const std::function<void(LeftTargetWorld &)> &meanwhile)
    {
        RawCaller caller(loop, endpoint);
        caller.send(request("/once/a"));
        CHECK(waitForArrivals(1));
        left = arrived.front().field(names.instance);
        meanwhile(*this);
        answer(0, Leaving);
        CHECK(caller.waitForEnd());
        STRCMP_EQUAL("1", fieldOf(caller.received(), names.leaving).c_str());
    }

    /// @brief Calls that arrived at `left` after it had said that it leaves.
    auto arrivalsAtLeft() const
    {
        return std::count_if(arrived.begin() + 1, arrived.end(), [this](const auto &request) {
            return request.field(names.instance) == left;
        });
    }

    std::string left;
    TargetRecord lostRecord;
};

struct Step {
    const char *name;
    std::function<void(LeftTargetWorld &)> play;
};

const auto Nothing = [](LeftTargetWorld &) {};

/// What an entry may learn of a restart, before and after the answer that says that the target leaves.
struct Restart {
    const char *name;
    std::function<void(LeftTargetWorld &)> before;
    std::function<void(LeftTargetWorld &)> after;
};

const Restart Restarts[] = {
    {"later record", Nothing, [](LeftTargetWorld &world) { world.setBorn(world.left, Born + 1); }},
    {"later record before the answer", [](LeftTargetWorld &world) { world.setBorn(world.left, Born + 1); }, Nothing},
    {"agent tells", Nothing, [](LeftTargetWorld &world) { world.learnBorn(Born + 1); }},
    {"agent tells before the answer", [](LeftTargetWorld &world) { world.learnBorn(Born + 1); }, Nothing},
    {"record lost and back",
     Nothing,
     [](LeftTargetWorld &world) {
         world.loseRecord();
         world.restoreRecord(Born + 1);
     }},
    {"record lost before the answer and back",
     [](LeftTargetWorld &world) { world.loseRecord(); },
     [](LeftTargetWorld &world) { world.restoreRecord(Born + 1); }},
    {"later record lost before the answer and back",
     [](LeftTargetWorld &world) {
         world.setBorn(world.left, Born + 1);
         world.loseRecord();
     },
     [](LeftTargetWorld &world) { world.restoreRecord(Born + 1); }},
    {"start time unknown, then learnt",
     [](LeftTargetWorld &world) { world.setBorn(world.left, 0); },
     [](LeftTargetWorld &world) { world.learnBorn(Born + 2); }},
    {"agent tells that it leaves before the answer",
     [](LeftTargetWorld &world) {
         TargetView view;
         view.bornMs = Born;
         view.leaving = true;
         world.table.setView(world.left, view, world.loop.now());
     },
     [](LeftTargetWorld &world) { world.setBorn(world.left, Born + 1); }},
    {"other pool and back",
     Nothing,
     [](LeftTargetWorld &world) {
         TargetRecord record = world.table.target(world.left)->record;
         const std::string pool = record.pool;
         record.pool = "others";
         world.table.setRecord(record, world.loop.now());
         record.pool = pool;
         record.bornMs = Born + 1;
         world.table.setRecord(record, world.loop.now());
     }},
};

/// @brief Sends a request for @p path while the target that didn't leave answers with @p rest.
void send(LeftTargetWorld &world, const std::string &path, const GatewayWorld::Script &rest)
{
    world.scripts = {rest};
    RawCaller caller(world.loop, world.endpoint);
    caller.send(GatewayWorld::request(path));
    const TimePoint until = world.loop.now() + Silence;
    turnUntil(world.loop, [&] { return caller.ended() || world.loop.now() >= until; });
}

/// All ways in which an entry sends a request to a target.
const Step Ways[] = {
    {"first send",
     [](LeftTargetWorld &world) {
         for (const char *path : {"/once/a", "/idempotent/a", "/open/a", "/stream/a", "/resumable/a"}) {
             send(world, path, world.respondWith(Ok));
         }
     }},
    {"after a refusal", [](LeftTargetWorld &world) { send(world, "/once/a", world.respondWith(Full)); }},
    {"after a failure",
     [](LeftTargetWorld &world) { send(world, "/idempotent/a", world.respondWith(signedAnswer(500, "own"))); }},
    {"after a reset",
     [](LeftTargetWorld &world) { send(world, "/idempotent/a", world.respondWith("", AfterAnswer::Reset)); }},
    {"after 421",
     [](LeftTargetWorld &world) {
         send(world, "/once/a", world.respondWith(httpAnswer(421, {}, "X-Request-Id: {id}\r\n")));
     }},
    {"while the target is silent", [](LeftTargetWorld &world) { send(world, "/idempotent/a", world.respondWith("")); }},
    {"while the target is silent inside a stream",
     [](LeftTargetWorld &world) { send(world, "/resumable/a", world.respondWith(StreamHead + chunk(event(1)))); }},
    {"after a stream broke off",
     [](LeftTargetWorld &world) {
         send(world, "/resumable/a", world.respondWith(StreamHead + chunk(event(1)), AfterAnswer::Reset));
     }},
    {"without another target",
     [](LeftTargetWorld &world) {
         world.table.removeRecord(world.left == "t0" ? "t1" : "t0", world.loop.now());
         send(world, "/once/a", world.respondWith(Ok));
     }},
};

} // namespace

TEST_GROUP(LeavingTargets){};

// A restart under the same id ended what the entry knew of the leaving, and requests reached the target again.
TEST(LeavingTargets, targetThatSaidItLeavesRestartsUnderItsId_getsNoRequestInAnyWay)
{
    std::string reached;
    for (const Restart &restart : Restarts) {
        for (const Step &way : Ways) {
            LeftTargetWorld world;
            world.leave(restart.before);
            restart.after(world);
            way.play(world);
            reached += world.arrivalsAtLeft() > 0 ? std::string(restart.name) + ": " + way.name + '\n' : "";
        }
    }
    STRCMP_EQUAL("", reached.c_str());
}

// A call that waited for room was sent to the target once its restart was known.
TEST(LeavingTargets, restartBecomesKnownWhileACallWaits_leavesTheCallWaiting)
{
    std::string reached;
    for (const Restart &restart : Restarts) {
        LeftTargetWorld world;
        world.leave(restart.before);
        world.scripts = {world.respondWith("")};
        world.reportLoad(world.left == "t0" ? 1 : 0, 1000);
        RawCaller caller(world.loop, world.endpoint);
        caller.send(GatewayWorld::request("/once/a", "X-Deadline-Ms: 100\r\n"));
        settle(world.loop);
        restart.after(world);
        world.gateway.targetsChanged({});
        CHECK(caller.waitForEnd());
        reached += world.arrivalsAtLeft() > 0 ? std::string(restart.name) + '\n' : "";
    }
    STRCMP_EQUAL("", reached.c_str());
}

// Beyond 4,096 targets the entry forgot which ones had said that they leave, the oldest first.
TEST(LeavingTargets, thousandsOfTargetsLeave_noneIsUsedWhenItsRecordComesBack)
{
    constexpr int Count = 30'000;
    const TimePoint now{std::chrono::seconds(1)};
    const auto record = [](int number, std::int64_t bornMs) {
        TargetRecord target;
        target.id = "i-" + std::to_string(number);
        target.pool = "apps";
        target.address = "127.0.0.1:1";
        target.bornMs = bornMs;
        return target;
    };
    TargetTable table("entry", "here");
    for (int number = 0; number < Count; ++number) {
        table.setRecord(record(number, Born), now);
        table.noteLeaving("i-" + std::to_string(number), "r1", now);
    }
    const auto used = [&table] {
        int accepting = 0;
        for (int number = 0; number < Count; ++number) {
            accepting += table.target("i-" + std::to_string(number))->acceptsCalls() ? 1 : 0;
        }
        return accepting;
    };
    for (int number = 0; number < Count; ++number) {
        table.removeRecord("i-" + std::to_string(number), now);
        table.setRecord(record(number, Born + 1), now);
    }
    CHECK_EQUAL(0, used());
    for (int number = 0; number < Count; ++number) {
        table.removeRecord("i-" + std::to_string(number), now);
    }
    for (int number = 0; number < Count; ++number) {
        table.setRecord(record(number, Born + 2), now);
    }
    CHECK_EQUAL(0, used());
    CHECK_TRUE(table.pool("apps")->accepting.empty());
}
