#include "resumptionplay.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

TEST_GROUP(StreamOrigins)
{
    TimePoint now{1h};
    StreamOrigins origins;
    PoolVersions versions;
    const StreamOrigin first{"pool", "v1"};

    void mix()
    {
        versions.targetAdded("pool", "v1", now);
        versions.targetAdded("pool", "v2", now);
    }
    Resumption resume(std::uint64_t stream)
    {
        return origins.resume(stream, {"pool"}, "pool", versions, std::vector<std::string>(), now);
    }
    bool goesOn(std::uint64_t stream)
    {
        return std::holds_alternative<ContinueStream>(resume(stream));
    }
};

TEST(StreamOrigins, oneVersion_tellsOtherEntriesNothing)
{
    versions.targetAdded("pool", "v1", now);
    origins.note(1, first, now);
    CHECK_TRUE(origins.takeReport(versions, now) == StreamReport());
}

TEST(StreamOrigins, secondVersion_tellsStreamsOfBefore)
{
    versions.targetAdded("pool", "v1", now);
    origins.note(1, first, now);
    now += 1min;
    versions.targetAdded("pool", "v2", now);
    const StreamReport report = origins.takeReport(versions, now);
    CHECK_EQUAL(1U, report.streams.size());
    CHECK_EQUAL(2U, report.versions.size());
    CHECK_TRUE(report.streams[0] == (StreamRecord{1, first, now - 1min}));
}

TEST(StreamOrigins, everyStream_isToldThreeTimes)
{
    mix();
    origins.note(1, first, now);
    for (const std::size_t expected : {1U, 1U, 1U, 0U}) {
        CHECK_EQUAL(expected, origins.takeReport(versions, now).streams.size());
    }
}

TEST(StreamOrigins, processThatStarts_isToldTheNewestStreams)
{
    mix();
    origins.note(1, first, now);
    while (!origins.takeReport(versions, now).streams.empty()) {}
    origins.receive({}, "10.0.0.2", 7, versions);
    CHECK_EQUAL(1U, origins.takeReport(versions, now).streams.size());
    while (!origins.takeReport(versions, now).streams.empty()) {}
    origins.receive({}, "10.0.0.2", 7, versions);
    CHECK_EQUAL(0U, origins.takeReport(versions, now).streams.size());
    origins.receive({}, "10.0.0.2", 8, versions);
    CHECK_EQUAL(1U, origins.takeReport(versions, now).streams.size());
}

TEST(StreamOrigins, versionThatLeft_isRememberedForTheTimeInWhichStreamsMayBeTakenUp)
{
    mix();
    versions.targetRemoved("pool", "v1", now);
    CHECK_FALSE(goesOn(1));
    now += StreamOrigins::Retention;
    CHECK_FALSE(goesOn(1));
    now += 1ms;
    CHECK_TRUE(goesOn(1));
}

TEST(StreamOrigins, streamThatIsTooOld_isForgotten)
{
    mix();
    origins.note(1, first, now);
    now += StreamOrigins::Retention;
    CHECK_TRUE(goesOn(1));
    now += 1ms;
    CHECK_FALSE(goesOn(1));
    origins.note(2, first, now);
    CHECK_EQUAL(1U, origins.size());
}

TEST(StreamOrigins, streamOfPoolThatTheRouteNoLongerHas_isNotContinuedThere)
{
    mix();
    origins.note(1, {"other", "v1"}, now);
    CHECK_FALSE(goesOn(1));
}

TEST(StreamOrigins, moreStreamsThanTheBound_dropTheOldest)
{
    mix();
    for (std::uint64_t i = 0; i <= StreamOrigins::MaxStreams; ++i) {
        now += 1ms;
        origins.note(i, first, now);
    }
    CHECK_EQUAL(StreamOrigins::MaxStreams, origins.size());
    CHECK_FALSE(goesOn(0));
    CHECK_TRUE(goesOn(1));
    CHECK_EQUAL(StreamOrigins::StreamsPerReport, origins.takeReport(versions, now).streams.size());
}

TEST(StreamOrigins, manyRollsOverALongTime_newStreamsAreStillKnown)
{
    mix();
    for (std::uint64_t i = 0; i < 2'000; ++i) {
        now += 1min;
        const StreamOrigin origin{"pool", "v" + std::to_string(i)};
        origins.note(i, origin, now);
        CHECK_TRUE(resume(i) == Resumption(ContinueStream{origin, "record"}));
    }
}

TEST(StreamOrigins, versionsRepeatedAmongEntries_expireDespiteTheDelays)
{
    PoolVersions other;
    mix();
    versions.targetRemoved("pool", "v1", now);
    bool expired = false;
    for (int i = 0; i < 700 && !expired; ++i) {
        for (PoolVersions *receiver : {&other, &versions}) {
            PoolVersions &sender = receiver == &other ? versions : other;
            for (VersionSighting sighting : sender.mixedPools(now - StreamOrigins::Retention, now)) {
                sighting.lastSeen += 500ms;
                receiver->merge(sighting);
            }
        }
        now += 1s;
        expired = versions.versions("pool", now - StreamOrigins::Retention).size() == 1;
    }
    CHECK_TRUE(expired);
}

TEST(StreamOrigins, rollOverThreeEntries_noStreamMixesVersionsAndMostGoOn)
{
    ResumptionOutcome sum;
    double leastShare = 1;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        const ResumptionOutcome outcome = ResumptionPlay(seed).run();
        CHECK_EQUAL_TEXT(0U, outcome.mixed, ("seed " + std::to_string(seed)).c_str());
        const double share = static_cast<double>(outcome.continued) / static_cast<double>(outcome.takenUp);
        leastShare = std::min(leastShare, share);
        sum.takenUp += outcome.takenUp;
        sum.continued += outcome.continued;
    }
    CHECK_TRUE(leastShare > 0.5);
    CHECK_TRUE(sum.continued * 10 > sum.takenUp * 9);
}
