#include "gatewayworld.h"
#include "targetanswers.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

namespace {

/// A world with targets of several software versions, whose streams are cut after their first event.
class ResumptionWorld : public GatewayWorld
{
public:
    explicit ResumptionWorld(const std::vector<std::string> &versions)
        : GatewayWorld(0)
    {
        route("resumable").maxAttempts = 1;
        apply();
        for (const std::string &version : versions) {
            addTarget(version);
        }
        scripts = {respondWith(StreamHead + chunk(event(1)), AfterAnswer::Close)};
    }

    void addTarget(const std::string &version)
    {
        GatewayWorld::addTarget();
        setVersion(targets.size() - 1, version);
    }

    void setVersion(std::size_t number, const std::string &version)
    {
        const std::string id = "t" + std::to_string(number);
        TargetRecord record = table.target(id)->record;
        table.removeRecord(id, loop.now());
        record.softwareVersion = version;
        table.setRecord(record, loop.now());
    }

    /// @brief Sends a request for a stream with the id @p id.
    std::string stream(const std::string &id, const std::string &fields = {})
    {
        const std::string known = "X-Request-Id: r1";
        std::string bytes = request("/resumable/" + id, fields);
        bytes.replace(bytes.find(known), known.size(), "X-Request-Id: " + id);
        return callRaw(bytes);
    }

    std::string resume(const std::string &id, const std::string &first)
    {
        return stream(id, "Last-Event-Id: 1\r\nX-Resumes: " + first + "\r\n");
    }

    /// @brief Software version of the target at which the last request arrived.
    std::string lastVersion()
    {
        return table.target(arrived.back().field(names.instance))->record.softwareVersion;
    }
};

} // namespace

TEST_GROUP(Resumptions){};

TEST(Resumptions, resumedStream_goesOnOnlyAtTheVersionThatBeganIt)
{
    ResumptionWorld world({"v1", "v2", "v1", "v2"});
    for (int i = 0; i < 20; ++i) {
        const std::string first = "first" + std::to_string(i);
        world.stream(first);
        const std::string version = world.lastVersion();
        const std::size_t before = world.arrived.size();
        CHECK_EQUAL(200, statusOf(world.resume("second" + std::to_string(i), first)));
        CHECK_EQUAL(before + 1, world.arrived.size());
        STRCMP_EQUAL(version.c_str(), world.lastVersion().c_str());
    }
}

TEST(Resumptions, unknownStreamBesideTwoVersions_isNotSentAndItsCallerToldToBeginAnew)
{
    ResumptionWorld world({"v1", "v2"});
    const std::string answer = world.resume("second", "never-seen");
    CHECK_EQUAL(503, statusOf(answer));
    CHECK_EQUAL(0U, world.arrived.size());
    CHECK_EQUAL(1U, countOf(answer, "\"code\": 515"));
}

TEST(Resumptions, streamWhoseVersionHasLeft_isNotSentAndItsCallerToldToBeginAnew)
{
    ResumptionWorld world({"v1"});
    world.stream("first");
    world.addTarget("v2");
    world.table.removeRecord("t0", world.loop.now());
    const std::string answer = world.resume("second", "first");
    CHECK_EQUAL(503, statusOf(answer));
    CHECK_EQUAL(1U, world.arrived.size());
    CHECK_EQUAL(1U, countOf(answer, "\"code\": 515"));
}

TEST(Resumptions, streamToldByAnotherEntry_goesOnAtItsVersion)
{
    for (const std::string version : {"v1", "v2"}) {
        ResumptionWorld world({"v1", "v2", "v1", "v2"});
        const StreamReport report{{}, {{streamDigest("alpha", "first"), {"apps", version}, world.loop.now()}}};
        world.gateway.streamOrigins().receive(report, "10.0.0.2", 1, world.table.versions());
        CHECK_EQUAL(200, statusOf(world.resume("second", "first")));
        STRCMP_EQUAL(version.c_str(), world.lastVersion().c_str());
    }
}

TEST(Resumptions, unknownStreamBesideOneVersion_goesOn)
{
    GatewayWorld world(2);
    world.apply();
    world.scripts = {world.respondWith(SecondHead + chunk(event(2)) + LastChunk)};
    const std::string answer = world.call("/resumable/a", "Last-Event-Id: 1\r\nX-Resumes: never-seen\r\n");
    STRCMP_EQUAL((event(2) + "<end>").c_str(), chunksOf(answer).c_str());
}

TEST(Resumptions, unknownStreamAtEntryThatMayNotKnowAllVersions_isNotSent)
{
    GatewayWorld world(2);
    world.apply();
    world.gateway.useEarlierVersions([](const std::string &, Duration) { return std::nullopt; });
    CHECK_EQUAL(503, statusOf(world.call("/resumable/a", "Last-Event-Id: 1\r\nX-Resumes: never-seen\r\n")));
    CHECK_EQUAL(0U, world.arrived.size());
}

TEST(Resumptions, unknownStreamThatAVersionOfBeforeMayHaveBegun_isNotSent)
{
    const std::string rest = SecondHead + chunk(event(2)) + LastChunk;
    for (const bool isSame : {true, false}) {
        GatewayWorld world(2);
        world.apply();
        world.scripts = {world.respondWith(rest)};
        world.gateway.useEarlierVersions([isSame](const std::string &pool, Duration) {
            STRCMP_EQUAL("apps", pool.c_str());
            return std::vector<std::string>{isSame ? "" : "v1"};
        });
        const std::string answer = world.call("/resumable/a", "Last-Event-Id: 1\r\nX-Resumes: never-seen\r\n");
        CHECK_EQUAL(isSame ? 200 : 503, statusOf(answer));
        CHECK_EQUAL(isSame ? 1U : 0U, world.arrived.size());
    }
}

TEST(Resumptions, nameThatIsNotTheCallersOwn_showsAndContinuesNothing)
{
    const std::string names[] = {"forged", "firs", "", std::string(300, 'x'), "first\t1", "first,first"};
    for (const std::string &name : names) {
        ResumptionWorld world({"v1", "v2"});
        world.stream("first");
        CHECK_EQUAL_TEXT(503, statusOf(world.resume("second", name)), name.c_str());
        CHECK_EQUAL_TEXT(1U, world.arrived.size(), name.c_str());
    }
}

TEST(Resumptions, nameOfAnotherCustomersStream_isAnsweredLikeAnUnknownOne)
{
    ResumptionWorld world({"v1", "v2"});
    world.state.customers.push_back({"beta", {"key-b"}, std::nullopt, false, 1, 100, 100});
    world.apply();
    world.stream("first");
    std::string answers[2];
    for (int i = 0; i < 2; ++i) {
        const std::string known = "key-a";
        std::string bytes = GatewayWorld::request("/resumable/a",
                                                  std::string("Last-Event-Id: 1\r\nX-Resumes: ")
                                                      + (i == 0 ? "first" : "never-seen") + "\r\n");
        bytes.replace(bytes.find(known), known.size(), "key-b");
        answers[i] = world.callRaw(bytes);
    }
    CHECK_EQUAL(503, statusOf(answers[0]));
    STRCMP_EQUAL(answers[1].c_str(), answers[0].c_str());
    CHECK_EQUAL(1U, world.arrived.size());
}

TEST(Resumptions, oneIdForStreamsOfTwoVersions_isUnknown)
{
    ResumptionWorld world({"v1", "v2"});
    const std::string whole = StreamHead + chunk(event(1)) + LastChunk;
    for (int i = 0; i < 40 && countOf(world.resume("probe" + std::to_string(i), "first"), "515") == 0; ++i) {
        world.stream("first");
        world.scripts = {world.respondWith(whole)};
    }
    const std::size_t before = world.arrived.size();
    CHECK_EQUAL(503, statusOf(world.resume("second", "first")));
    CHECK_EQUAL(before, world.arrived.size());
}

TEST(Resumptions, severalResumptionsInARow_stayAtTheFirstVersion)
{
    ResumptionWorld world({"v1", "v2", "v1", "v2", "v1", "v2"});
    world.stream("first");
    const std::string version = world.lastVersion();
    for (int i = 0; i < 6; ++i) {
        const std::string before = i % 2 == 0 ? "first" : "try" + std::to_string(i - 1);
        CHECK_EQUAL(200, statusOf(world.resume("try" + std::to_string(i), before)));
        STRCMP_EQUAL(version.c_str(), world.lastVersion().c_str());
    }
}

TEST(Resumptions, repeatedIdWithoutAName_takesUpTheStreamOfThatId)
{
    ResumptionWorld world({"v1", "v2", "v1", "v2"});
    for (int i = 0; i < 10; ++i) {
        const std::string id = "stream" + std::to_string(i);
        world.stream(id);
        const std::string version = world.lastVersion();
        CHECK_EQUAL(200, statusOf(world.stream(id, "Last-Event-Id: 1\r\n")));
        STRCMP_EQUAL(version.c_str(), world.lastVersion().c_str());
    }
    CHECK_EQUAL(503, statusOf(world.stream("other", "Last-Event-Id: 1\r\n")));
}

TEST(Resumptions, streamBegunBeforeASecondVersionCame_staysAtItsVersion)
{
    ResumptionWorld world({"v1"});
    world.stream("first");
    for (int i = 0; i < 3; ++i) {
        world.addTarget("v2");
    }
    for (int i = 0; i < 8; ++i) {
        CHECK_EQUAL(200, statusOf(world.resume("try" + std::to_string(i), "first")));
        STRCMP_EQUAL("v1", world.lastVersion().c_str());
    }
}

TEST(Resumptions, streamResumedWhileItsVersionServesAlone_waitsForNoOther)
{
    ResumptionWorld world({"v1"});
    world.stream("first");
    world.setVersion(0, "v2");
    CHECK_EQUAL(503, statusOf(world.resume("second", "first")));
    world.setVersion(0, "v1");
    CHECK_EQUAL(200, statusOf(world.resume("third", "first")));
}
