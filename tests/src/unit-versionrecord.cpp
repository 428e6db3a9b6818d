#include <celeryroute/detail/gateway/versionrecord.h>

#include "nodeworld.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

namespace {

using Versions = std::vector<std::string>;

constexpr Duration Retention = 10min;
constexpr Duration Lifetime = 30s;

} // namespace

TEST_GROUP(VersionRecord)
{
    TimePoint now{1h};
    PoolVersions versions;
    bool isWriter = true;
    VersionRecord record{TopicFollowerSettings::forState({}), 1, versions, Retention, [this](const std::string &) {
                             return isWriter;
                         }};

    void setup() override
    {
        record.usePools({"pool"});
    }
    /// @brief The call that is wanted now, if there is one.
    std::optional<FeedCall> call()
    {
        const FeedStep step = record.next(now);
        const auto *begin = std::get_if<BeginCall>(&step);
        return begin == nullptr ? std::nullopt : std::optional(begin->call);
    }
    void answerRead(const Versions &keys, bool more = false)
    {
        CHECK_TRUE(std::holds_alternative<ReadNewest>(*call()));
        NewestPage page{{}, more, 9};
        for (const std::string &key : keys) {
            page.records.push_back({key, "1", 8});
        }
        record.answered(page, now, now);
    }
    /// @brief Answers the write that is wanted now and returns its key, or nothing if none is wanted.
    std::string answerWrite(const std::string &value = "1")
    {
        const auto wanted = call();
        if (!wanted) {
            return {};
        }
        const auto append = std::get<AppendRecord>(*wanted);
        CHECK_EQUAL(value, append.value);
        record.answered(RecordAppended{10}, now, now);
        return append.key;
    }
    bool isUnknown() const
    {
        return !record.earlier("pool", Lifetime, now);
    }
};

TEST(VersionRecord, processThatStarts_knowsVersionsOfBeforeOnceRegistryAndRecordAreRead)
{
    CHECK_TRUE(isUnknown());
    answerRead({"pool\nv1", "pool\nv2", "other\nv3"});
    CHECK_TRUE(isUnknown());
    record.registryKnown(now);
    CHECK_TRUE(record.earlier("pool", Lifetime, now) == Versions({"v1", "v2"}));
    CHECK_TRUE(record.earlier("other", Lifetime, now) == Versions({"v3"}));
}

TEST(VersionRecord, poolThatNobodyRecorded_isUnknownUntilItWasObservedForALifetime)
{
    versions.targetAdded("pool", "v1", now);
    answerRead({"other\nv3"});
    record.registryKnown(now);
    CHECK_EQUAL(std::string("pool\nv1"), answerWrite());
    now += Lifetime - 1ms;
    CHECK_TRUE(isUnknown());
    now += 1ms;
    CHECK_TRUE(record.earlier("pool", Lifetime, now) == Versions());
}

TEST(VersionRecord, firstStartOfAll_hasNoVersionsOfBefore)
{
    CHECK_TRUE(call().has_value());
    record.answered(NewestPage{{}, false, 0}, now, now);
    record.registryKnown(now);
    CHECK_TRUE(record.earlier("pool", Lifetime, now) == Versions());
}

TEST(VersionRecord, versionsOfBefore_countForALifetimeOnly)
{
    answerRead({"pool\nv1"});
    record.registryKnown(now);
    now += Lifetime;
    CHECK_TRUE(record.earlier("pool", Lifetime, now) == Versions());
    CHECK_TRUE(record.earlier("pool", Lifetime + 1ms, now) == Versions({"v1"}));
}

TEST(VersionRecord, severalPages_areAllRead)
{
    answerRead({"pool\nv1"}, true);
    CHECK_TRUE(*call() == FeedCall(ReadNewest{FeedTopic::Versions, "pool\nv1"}));
    NewestPage last{{{"pool\nv2", "1", 3}}, false, 9};
    record.answered(last, now, now);
    record.registryKnown(now);
    CHECK_TRUE(record.earlier("pool", Lifetime, now) == Versions({"v1", "v2"}));
}

TEST(VersionRecord, pageThatDoesNotAdvance_isNotRequestedForever)
{
    CHECK_TRUE(call().has_value());
    record.answered(NewestPage{{}, true, 9}, now, now);
    CHECK_FALSE(call().has_value());
    now += 1min;
    CHECK_TRUE(*call() == FeedCall(ReadNewest{FeedTopic::Versions, ""}));
}

TEST(VersionRecord, newVersion_isWrittenOnceByWritersOnly)
{
    answerRead({"pool\nv1"});
    record.registryKnown(now);
    versions.targetAdded("pool", "v1", now);
    versions.targetAdded("plain", "v7", now);
    CHECK_EQUAL(std::string(), answerWrite());
    versions.targetAdded("pool", "v2", now);
    record.versionsChanged();
    isWriter = false;
    CHECK_EQUAL(std::string(), answerWrite());
    isWriter = true;
    record.versionsChanged();
    CHECK_EQUAL(std::string("pool\nv2"), answerWrite());
    CHECK_EQUAL(std::string(), answerWrite());
}

TEST(VersionRecord, writeWithoutAnswer_isRepeated)
{
    answerRead({});
    versions.targetAdded("pool", "v1", now);
    for (int i = 0; i < 3; ++i) {
        CHECK_TRUE(*call() == FeedCall(AppendRecord{FeedTopic::Versions, "1", "pool\nv1"}));
        if (i % 2 == 0) {
            record.timedOut(now);
        } else {
            record.answered(FeedUnavailable{503}, now, now);
        }
        now += 1min;
    }
    CHECK_EQUAL(std::string("pool\nv1"), answerWrite());
}

TEST(VersionRecord, versionThatHasLeft_isRemovedAfterTheRetention)
{
    versions.targetAdded("pool", "v1", now);
    versions.targetAdded("pool", "v2", now);
    answerRead({"pool\nv1", "pool\nv2"});
    record.registryKnown(now);
    now += 1h;
    versions.targetRemoved("pool", "v1", now);
    record.versionsChanged();
    CHECK_EQUAL(std::string(), answerWrite());
    now += Retention;
    CHECK_EQUAL(std::string(), answerWrite());
    now += 1s;
    CHECK_EQUAL(std::string("pool\nv1"), answerWrite(""));
    CHECK_EQUAL(std::string(), answerWrite());
}

// A process that has just started doesn't know when the version was in use.
TEST(VersionRecord, versionOfBefore_isNotRemovedByAProcessThatHasJustStarted)
{
    answerRead({"pool\nv1"});
    record.registryKnown(now);
    now += Retention - 1s;
    CHECK_EQUAL(std::string(), answerWrite());
    now += 2s;
    CHECK_EQUAL(std::string("pool\nv1"), answerWrite(""));
}

TEST(VersionRecord, gapInTheRegistryOrRestoredStore_readsTheRecordAgain)
{
    for (const bool isRestored : {false, true}) {
        answerRead({"pool\nv1"});
        record.registryKnown(now);
        now += 1h;
        CHECK_TRUE(record.earlier("pool", Lifetime, now) == Versions());
        if (isRestored) {
            record.beginEra(now);
        } else {
            record.registryUnknown();
        }
        CHECK_TRUE(isUnknown());
        record.registryKnown(now);
        CHECK_TRUE(isUnknown());
        now += 1min;
        answerRead({"pool\nv1", "pool\nv2"});
        record.registryKnown(now);
        CHECK_TRUE(record.earlier("pool", 2min, now) == Versions({"v1", "v2"}));
        record.beginEra(now);
        now += 1s;
    }
}

TEST(VersionRecord, longVersion_isRecordedCutAndRemovedWhenItHasLeft)
{
    const std::string version(1'000, 'v');
    versions.targetAdded("pool", version, now);
    answerRead({});
    record.registryKnown(now);
    const std::string key = answerWrite();
    CHECK_EQUAL(MaxKeyBytes, key.size());
    CHECK_EQUAL(std::string(), answerWrite());
    now += 1h;
    CHECK_EQUAL(std::string(), answerWrite());
    versions.targetRemoved("pool", version, now);
    now += Retention + 1s;
    CHECK_EQUAL(key, answerWrite(""));
}

/// An entry that starts after all others were lost.
TEST_GROUP(VersionsAfterTheLossOfAllEntries)
{
    NodeWorld world;

    void setup() override
    {
        world.publish();
        world.secondApp.answerEveryRequest(
            httpAnswer(200,
                       "id: 2\ndata: x\n\n",
                       "X-Request-Id: {id}\r\nX-Server-Signature: s\r\nContent-Type: text/event-stream\r\n"));
    }
    void registerVersion(const std::string &id, const ScriptedTarget &target, const std::string &version)
    {
        world.store.put("keyed.servers", id, plainRecord(target.address(), 8, version).dump());
    }
    void record(const std::string &version)
    {
        world.store.put("keyed.celeryroute.versions", "app\n" + version, "1");
    }
    NodeLog &startEntry()
    {
        NodeLog &log = world.startEntry().log;
        const TimePoint started = world.loop.now();
        CHECK(world.runUntilReadiness(0, 200));
        CHECK(turnUntil(world.loop, [&] { return world.loop.now() - started >= 3500ms; }));
        return log;
    }
    int resume()
    {
        return statusOf(world.call(world.callerEndpoint(0),
                                   "/feed/a",
                                   "second",
                                   "Last-Event-Id: 1\r\nResumes: first\r\nX-Deadline-Ms: 3000\r\n"));
    }
};

// A stream went on at another software version after all entries had been lost at the end of a release.
TEST(VersionsAfterTheLossOfAllEntries, streamOfAVersionThatLeft_isNotContinuedAtAnother)
{
    registerVersion("i-2", world.secondApp, "v2");
    record("v1");
    record("v2");
    const NodeLog &log = startEntry();
    CHECK_EQUAL(503, resume());
    CHECK_EQUAL(0U, world.secondApp.requests().size());
    CHECK_EQUAL(2, log.linesOf("versions.read").at(0).at("versions").get<int>());
}

TEST(VersionsAfterTheLossOfAllEntries, streamOfTheOnlyVersion_goesOn)
{
    registerVersion("i-2", world.secondApp, "v2");
    record("v2");
    startEntry();
    CHECK_EQUAL(200, resume());
}

TEST(VersionsAfterTheLossOfAllEntries, streamOfAPoolThatNobodyRecorded_isNotContinued)
{
    registerVersion("i-2", world.secondApp, "v2");
    world.store.put("keyed.celeryroute.versions", "other\nv1", "1");
    startEntry();
    CHECK_EQUAL(503, resume());
    CHECK_EQUAL(0U, world.secondApp.requests().size());
}

TEST(VersionsAfterTheLossOfAllEntries, streamAtTheFirstStartOfAll_goesOn)
{
    registerVersion("i-2", world.secondApp, "v2");
    startEntry();
    CHECK_EQUAL(200, resume());
}

TEST(VersionsAfterTheLossOfAllEntries, versionsThatServe_areRecordedForLaterProcesses)
{
    registerVersion("i-1", world.app, "v1");
    const NodeLog &log = startEntry();
    CHECK(world.runUntilLogged(log, "version.recorded"));
    registerVersion("i-2", world.secondApp, "v2");
    CHECK(world.runUntilLogged(log, "version.recorded", 1));
    STRCMP_EQUAL("v1", log.linesOf("version.recorded").at(0).value("software", "").c_str());
    STRCMP_EQUAL("v2", log.linesOf("version.recorded").at(1).value("software", "").c_str());
}
