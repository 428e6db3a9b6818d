#include <celeryroute/detail/targetlimit/readlimit.h>
#include <celeryroute/detail/targetlimit/targetlimits.h>

#include "gatewayworld.h"
#include "targetanswers.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t Born = 1'000;
const std::string Target = "t";

TargetLimit limitOf(double perSecond, TimePoint at, std::int64_t bornMs = Born)
{
    return {bornMs, perSecond, at};
}

TargetLimit noLimit(TimePoint at, std::int64_t bornMs = Born)
{
    return {bornMs, std::nullopt, at};
}

} // namespace

TEST_GROUP(ReadTargetLimit){};

TEST(ReadTargetLimit, decimalNumbers_areTaken)
{
    CHECK_TRUE(readTargetLimit({"1.25"}) == (ReadLimit{LimitReading::Taken, 1.25}));
    CHECK_TRUE(readTargetLimit({" 3 "}) == (ReadLimit{LimitReading::Taken, 3}));
    CHECK_TRUE(readTargetLimit({"0"}) == (ReadLimit{LimitReading::Taken, 0}));
    CHECK_TRUE(readTargetLimit({"1000000"}) == (ReadLimit{LimitReading::Taken, MaxTargetLimit}));
}

TEST(ReadTargetLimit, otherValues_sayNothing)
{
    for (const std::string text : {"", " ", "-1", "-0", "nan", "inf", "1e308", "many", "1,2", "1 2", "0x10", "+"}) {
        CHECK_TEXT(readTargetLimit({text}) == (ReadLimit{LimitReading::Malformed, 0}), text.c_str());
    }
    CHECK_TRUE(readTargetLimit({std::string(400, '9')}).reading == LimitReading::Malformed);
    CHECK_TRUE(readTargetLimit({}) == ReadLimit());
}

TEST(ReadTargetLimit, numberBeyondTheHighestLimit_isBounded)
{
    CHECK_TRUE(readTargetLimit({std::string(30, '9')}) == (ReadLimit{LimitReading::Bounded, MaxTargetLimit}));
}

TEST(ReadTargetLimit, severalFields_theLowestCountsUnlessOneIsMalformed)
{
    CHECK_TRUE(readTargetLimit({"3", "1.5", "2"}) == (ReadLimit{LimitReading::Taken, 1.5}));
    CHECK_TRUE(readTargetLimit({"3", "x"}).reading == LimitReading::Malformed);
}

TEST_GROUP(TargetLimits)
{
    TargetLimits limits;
    TimePoint now{1h};
};

TEST(TargetLimits, answers_beginMoveAndEndALimit)
{
    CHECK_TRUE(limits.noteAnswer(Target, noLimit(now)) == LimitChange::None);
    CHECK_TRUE(limits.noteAnswer(Target, limitOf(2, now + 1s)) == LimitChange::Began);
    CHECK_TRUE(limits.noteAnswer(Target, limitOf(2, now + 2s)) == LimitChange::None);
    CHECK_TRUE(limits.noteAnswer(Target, limitOf(1, now + 3s)) == LimitChange::Moved);
    DOUBLES_EQUAL(1, limits.perSecond(Target).value_or(0), 1e-9);
    CHECK_TRUE(limits.noteAnswer(Target, noLimit(now + 4s)) == LimitChange::Ended);
    CHECK_FALSE(limits.perSecond(Target).has_value());
}

TEST(TargetLimits, answerToARequestSentBeforeTheLimitWasHeard_doesNotEndIt)
{
    limits.noteAnswer(Target, limitOf(2, now));
    CHECK_TRUE(limits.noteAnswer(Target, noLimit(now - 1ms)) == LimitChange::None);
    CHECK_TRUE(limits.perSecond(Target).has_value());
}

TEST(TargetLimits, olderLimit_doesNotReplaceANewerOne)
{
    limits.noteAnswer(Target, limitOf(2, now));
    CHECK_TRUE(limits.noteAnswer(Target, limitOf(5, now - 1s)) == LimitChange::None);
    DOUBLES_EQUAL(2, limits.perSecond(Target).value_or(0), 1e-9);
}

TEST(TargetLimits, laterLifetime_beginsWithoutALimit)
{
    limits.noteAnswer(Target, limitOf(2, now));
    CHECK_TRUE(limits.beginLifetime(Target, Born, now) == LimitChange::None);
    CHECK_TRUE(limits.beginLifetime(Target, Born + 1, now) == LimitChange::Ended);
    CHECK_TRUE(limits.noteAnswer(Target, limitOf(2, now + 1s, Born)) == LimitChange::None);
    CHECK_TRUE(limits.noteAnswer(Target, limitOf(2, now + 1s, Born + 1)) == LimitChange::Began);
}

TEST(TargetLimits, limitNotHeardOfForLong_isForgotten)
{
    limits.noteAnswer(Target, limitOf(2, now));
    limits.expire(now + TargetLimits::Retention);
    UNSIGNED_LONGS_EQUAL(1, limits.limitedCount());
    limits.expire(now + TargetLimits::Retention + 1ms);
    UNSIGNED_LONGS_EQUAL(0, limits.limitedCount());
}

TEST_GROUP(GatewayTargetLimit)
{
    GatewayWorld world{1};

    void limit(const std::string &target)
    {
        world.table.limits().noteAnswer(target, {0, 1, world.loop.now()});
    }
    void addPermit(const std::string &target)
    {
        world.table.limits().addPermits(target, 1, world.loop.now() + 500ms);
        world.gateway.permitsArrived({target});
    }

    void setup() override
    {
        world.apply();
    }
    std::optional<double> limitAfter(const std::string &answer)
    {
        world.table.limits().addPermits("t0", 1, world.loop.now() + 1min);
        world.scripts = {world.respondWith(answer)};
        world.call("/idempotent/a");
        return world.table.limits().perSecond("t0");
    }
};

TEST(GatewayTargetLimit, answerNamesALimit_isKnownUntilAnAnswerWithoutOne)
{
    DOUBLES_EQUAL(1.5, limitAfter(signedAnswer(200, "ok", "X-Limit: 1.5\r\n")).value_or(0), 1e-9);
    DOUBLES_EQUAL(1.5, limitAfter(signedAnswer(200, "ok", "X-Limit: soon\r\n")).value_or(0), 1e-9);
    CHECK_FALSE(limitAfter(signedAnswer(200, "ok")).has_value());
}

TEST(GatewayTargetLimit, refusalNamesALimit_isTakenButOneWithoutEndsNothing)
{
    const std::string refusal = "X-Request-Id: {id}\r\nX-Not-Run: 1\r\n";
    CHECK_TRUE(limitAfter(httpAnswer(503, {}, refusal + "X-Limit: 4\r\n")).has_value());
    CHECK_TRUE(limitAfter(httpAnswer(503, {}, refusal)).has_value());
    CHECK_FALSE(limitAfter(httpAnswer(421, {}, refusal + "X-Limit: 4\r\n")).value_or(0) != 4);
}

TEST(GatewayTargetLimit, callsAfterTheLimitIsHeard_waitForPermitsEach)
{
    world.scripts = {world.respondWith(signedAnswer(200, "ok", "X-Limit: 2\r\n"))};
    world.call("/idempotent/a");
    RawCaller first(world.loop, world.endpoint);
    RawCaller second(world.loop, world.endpoint);
    first.send(GatewayWorld::request("/idempotent/b"));
    second.send(GatewayWorld::request("/once/c"));
    settle(world.loop);
    UNSIGNED_LONGS_EQUAL(1, world.arrived.size());
    addPermit("t0");
    CHECK(world.waitForArrivals(2));
    settle(world.loop);
    UNSIGNED_LONGS_EQUAL(2, world.arrived.size());
    addPermit("t0");
    CHECK(first.waitForEnd());
    CHECK(second.waitForEnd());
    UNSIGNED_LONGS_EQUAL(3, world.arrived.size());
}

TEST(GatewayTargetLimit, limitedTargetBesideAnother_otherOneGetsTheCall)
{
    world.addTarget();
    limit("t0");
    world.scripts = {world.respondWith(signedAnswer(200, "ok"))};
    for (int i = 0; i < 5; ++i) {
        LONGS_EQUAL(200, statusOf(world.call("/idempotent/a")));
        STRCMP_EQUAL("t1", world.arrived.back().field(world.names.instance).c_str());
    }
}

TEST(GatewayTargetLimit, retryAtALimitedTarget_needsAPermitToo)
{
    world.addTarget();
    limit("t0");
    world.scripts = {world.respondWith({}, AfterAnswer::Reset), world.respondWith(signedAnswer(200, "ok"))};
    RawCaller caller(world.loop, world.endpoint);
    caller.send(GatewayWorld::request("/idempotent/a"));
    CHECK(world.waitForArrivals(1));
    settle(world.loop);
    UNSIGNED_LONGS_EQUAL(1, world.arrived.size());
    addPermit("t0");
    CHECK(caller.waitForEnd());
    LONGS_EQUAL(200, statusOf(caller.received()));
    STRCMP_EQUAL("t0", world.arrived.back().field(world.names.instance).c_str());
}

TEST(GatewayTargetLimit, permitExpectedAfterTheDeadline_refusesAtOnceWithTheTimeOfThePermit)
{
    limit("t0");
    world.table.limits().expectPermit("t0", world.loop.now() + 20s);
    const std::string answer = world.call("/idempotent/a", "X-Deadline-Ms: 1000\r\n");
    LONGS_EQUAL(503, statusOf(answer));
    DOUBLES_EQUAL(20, std::stod(fieldOf(answer, "Retry-After")), 1);
    UNSIGNED_LONGS_EQUAL(0, world.arrived.size());
}

TEST(GatewayTargetLimit, resumedStreamAtALimitedTarget_needsAPermitToo)
{
    world.addTarget();
    limit("t0");
    world.scripts = {world.respondWith(StreamHead + chunk(event(1)), AfterAnswer::Reset),
                     world.respondWith(SecondHead + chunk(event(2)) + LastChunk)};
    RawCaller caller(world.loop, world.endpoint);
    caller.send(GatewayWorld::request("/resumable/a"));
    CHECK(world.waitForArrivals(1));
    settle(world.loop);
    UNSIGNED_LONGS_EQUAL(1, world.arrived.size());
    addPermit("t0");
    CHECK(caller.waitForEnd());
    STRCMP_EQUAL((event(1) + event(2) + "<end>").c_str(), chunksOf(caller.received()).c_str());
    STRCMP_EQUAL("t0", world.arrived.back().field(world.names.instance).c_str());
}

TEST(GatewayTargetLimit, hedgeAtALimitedTarget_needsAPermitToo)
{
    constexpr Duration Silence = 20ms;
    for (ServingRoute &route : world.state.routes) {
        route.targetGap = Silence;
    }
    world.apply();
    world.addTarget();
    limit("t0");
    world.scripts = {world.respondWith(StreamHead + chunk(event(1))),
                     world.respondWith(SecondHead + chunk(event(2)) + LastChunk)};
    RawCaller caller(world.loop, world.endpoint);
    caller.send(GatewayWorld::request("/resumable/a"));
    CHECK(turnUntil(world.loop, [this] { return world.gateway.callsWaiting() == 1; }));
    settle(world.loop);
    UNSIGNED_LONGS_EQUAL(1, world.arrived.size());
    addPermit("t0");
    CHECK(caller.waitForEnd());
    UNSIGNED_LONGS_EQUAL(2, world.arrived.size());
    STRCMP_EQUAL((event(1) + event(2) + "<end>").c_str(), chunksOf(caller.received()).c_str());
}
