#include "nodeworld.h"
#include "targetlimitjudge.h"

#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Entries = 3;
constexpr double Limit = 2; ///< Requests a second.
const std::string LimitFields = "X-Request-Id: {id}\r\nX-Server-Signature: s\r\nServer-Limit: 2\r\n";
const std::string SignedAnswer = httpAnswer(200, "ok", "X-Request-Id: {id}\r\nX-Server-Signature: s\r\n");
constexpr Duration CallInterval = 50ms; ///< Between calls at one entry.
constexpr Duration PlayTime = 8s;

} // namespace

/// Entries that send calls to one target, which names a limit from its first answer on.
TEST_GROUP(TargetLimitSharing)
{
    struct OpenCall {
        std::unique_ptr<RawCaller> caller;
        std::size_t entry;
    };

    NodeWorld world;
    TargetLimitJudge judge;
    std::vector<OpenCall> open;
    std::size_t calls = 0;
    std::size_t served = 0;
    std::size_t refused = 0;

    void start()
    {
        world.publish();
        world.registerApp("i-1", world.app);
        world.registerEngine(); // Entries hear of each other through its agent.
        world.startAgent();
        for (std::size_t i = 0; i < Entries; ++i) {
            const NodeWorld::Entry &entry = world.startEntry();
            CHECK(world.runUntilReadiness(i, 200));
            CHECK(world.runUntilLogged(entry.log, "peer.regained", i));
        }
        world.app.onRequest([this](const ScriptedTarget::Request &request) {
            judge.arrive(std::stoul(request.field("X-Request-Id")), world.loop.now());
            world.app.answer(request, httpAnswer(200, "ok", LimitFields));
        });
        for (const TimePoint settled = world.loop.now() + 4s; world.loop.now() < settled;) {
            world.loop.turn(5ms);
        }
    }
    void startCalls()
    {
        for (std::size_t i = 0; i < Entries; ++i) {
            OpenCall call{std::make_unique<RawCaller>(world.loop, world.callerEndpoint(i)), i};
            call.caller->send("GET /open/a HTTP/1.1\r\nHost: api.example\r\nX-Request-Id: " + std::to_string(i) + "-"
                              + std::to_string(++calls) + "\r\nX-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n");
            open.push_back(std::move(call));
        }
    }
    void endCalls()
    {
        std::erase_if(open, [this](const OpenCall &call) {
            if (!call.caller->ended()) {
                return false;
            }
            const int status = statusOf(call.caller->received());
            served += status == 200 ? 1 : 0;
            refused += status == 503 ? 1 : 0;
            if (fieldOf(call.caller->received(), "Server-Limit") == "2") {
                judge.tell(call.entry, world.loop.now());
            }
            return true;
        });
    }
    void play()
    {
        const TimePoint end = world.loop.now() + PlayTime;
        judge.name(Limit, world.loop.now());
        for (TimePoint next = world.loop.now(); world.loop.now() < end;) {
            if (world.loop.now() >= next) {
                next += CallInterval;
                startCalls();
            }
            world.loop.turn(2ms);
            endCalls();
        }
        CHECK(turnUntil(world.loop, [this] {
            endCalls();
            return open.empty();
        }));
    }
};

// Each entry sent a limited target as much as it sent any other.
TEST(TargetLimitSharing, severalEntriesOverOneLimitedTarget_sendNoMoreThanItsLimitAllows)
{
    start();
    play();
    const std::string text = std::to_string(calls) + " calls, " + std::to_string(served) + " served, "
        + std::to_string(refused) + " refused, " + std::to_string(judge.arrivals()) + " arrivals, excess "
        + std::to_string(judge.worstExcess());
    CHECK_TEXT(judge.worstExcess() <= 0, text.c_str());
    CHECK_TEXT(served + refused == calls, text.c_str());
    // At the least, half of what the limit allows is used.
    CHECK_TEXT(static_cast<double>(served) >= Limit * toSeconds(PlayTime) / 2, text.c_str());
}

TEST(TargetLimitSharing, limitedTargetThatStartsAnew_getsCallsWithoutPermits)
{
    const auto registerBorn = [this](std::int64_t bornMs) {
        nlohmann::json record = plainRecord(world.app.address());
        record["born"] = bornMs;
        world.store.put("keyed.servers", "i-1", record.dump());
    };
    world.publish();
    registerBorn(1'000);
    NodeWorld::Entry &entry = world.startEntry();
    CHECK(world.runUntilReadiness(0, 200));
    world.app.answerEveryRequest(httpAnswer(200, "ok", LimitFields));
    LONGS_EQUAL(200, statusOf(world.call(world.callerEndpoint(0), "/open/a", "first")));
    registerBorn(2'000);
    CHECK(turnUntil(world.loop, [&entry] { return entry.log.linesOf("target.limited").size() == 2; }));
    STRCMP_EQUAL("new_lifetime", entry.log.linesOf("target.limited").back().value("outcome", "").c_str());
    world.app.answerEveryRequest(SignedAnswer);
    LONGS_EQUAL(200, statusOf(world.call(world.callerEndpoint(0), "/open/a", "second")));
    UNSIGNED_LONGS_EQUAL(0, entry.log.linesOf("request.queued").size());
}
