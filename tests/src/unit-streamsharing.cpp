#include <celeryroute/detail/node/streammessages.h>

#include "nodeworld.h"

#include <serving.pb.h>

#include <string>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

TEST_GROUP(StreamSharing)
{
    NodeWorld world;
    std::string lastVersion; ///< Of the target at which the last request arrived.

    void registerTarget(const std::string &id, ScriptedTarget &target, const std::string &version)
    {
        world.store.put("keyed.servers", id, plainRecord(target.address(), 8, version).dump());
        target.onRequest([this, &target, version](const ScriptedTarget::Request &request) {
            lastVersion = version;
            target.answer(request, streamHead() + streamEvent(1) + streamEnd());
        });
    }
    void start()
    {
        world.publish();
        world.registerEngine();
        world.startAgent();
        registerTarget("i-1", world.app, "v1");
        for (int i = 0; i < 2; ++i) {
            NodeWorld::Entry &entry = world.startEntry();
            CHECK(world.runUntilReadiness(static_cast<std::size_t>(i), 200));
            CHECK(world.runUntilLogged(entry.log, "peer.regained", i == 0 ? 0 : 1));
        }
    }
    std::string take(std::size_t entry, const std::string &id, const std::string &first)
    {
        return world.call(world.callerEndpoint(entry), "/feed/a", id, "Last-Event-Id: 1\r\nResumes: " + first + "\r\n");
    }
};

TEST(StreamSharing, report_isReadAsItWasWrittenAndFitsADatagram)
{
    constexpr std::size_t LargestDatagram = 1'472; // Without fragments.
    const TimePoint now{1h};
    StreamReport report;
    for (const std::string version : {"2024.11.3", "2024.12.0"}) {
        report.versions.push_back({"text-generation", version, now - 5min});
    }
    for (std::uint64_t i = 0; i < 32; ++i) {
        report.streams.push_back({~i, {"text-generation", "2024.12.0"}, now - 9min});
    }
    wire::EntryStreams streams;
    writeStreams(report, now, streams);
    CHECK_TRUE(readStreams(streams, now) == report);
    CHECK_TRUE(streams.ByteSizeLong() <= LargestDatagram);
}

TEST(StreamSharing, streamThatBeganAtAnotherEntry_goesOnAtItsVersionOnceItIsTold)
{
    start();
    CHECK_EQUAL(200, statusOf(world.call(world.callerEndpoint(0), "/feed/a", "before")));
    registerTarget("i-2", world.secondApp, "v2");
    std::string version;
    for (int i = 0; i < 8; ++i) {
        const std::string first = i == 0 ? "before" : "first-" + std::to_string(i);
        if (i > 0) {
            CHECK_EQUAL(200, statusOf(world.call(world.callerEndpoint(0), "/feed/a", first)));
        }
        version = lastVersion;
        CHECK(turnUntil(world.loop, [&] { return statusOf(take(1, "again-" + first, first)) == 200; }));
        STRCMP_EQUAL(version.c_str(), lastVersion.c_str());
    }
    STRCMP_EQUAL("v1", world.entries[1]->log.linesOf("request.pinned").front().value("software", "").c_str());
}

TEST(StreamSharing, streamThatNoEntryKnowsBesideTwoVersions_isRefusedAndCounted)
{
    start();
    registerTarget("i-2", world.secondApp, "v2");
    CHECK(world.runUntilLogged(world.entries[1]->log, "target.added", 2));
    CHECK_EQUAL(503, statusOf(take(1, "again", "forged")));
    settle(world.loop);
    STRCMP_EQUAL("stream_unknown", world.entries[1]->log.linesOf("request.refused").back().value("reason", "").c_str());
    STRCMP_EQUAL("", lastVersion.c_str());
    CHECK_EQUAL(1.0, world.metrics(world.readinessEndpoint(1))["celeryroute_resumptions_total{evidence=\"none\"}"]);
}
