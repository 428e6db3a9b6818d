#include "feedsimulation.h"
#include "nodeworld.h"

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1000s};
constexpr Duration Tick = 5ms;
/// Within this time after the store came back, operators and targets write again what it has lost.
constexpr Duration RewriteTime = 1900ms;

/// A follower of the desired state and the store's topic in simulated time.
struct StateWorld {
    ServingBounds bounds{};
    Topic topic{};
    DesiredStateFeed feed{TopicFollowerSettings::forKeys(bounds), bounds.keyRevocation, readVersion, 1};
    Driver<DesiredStateFeed> driver{feed, topic};
    TimePoint now = Start;

    void run(Duration duration)
    {
        for (const TimePoint end = now + duration; now < end; now += Tick) {
            driver.step(now,
                        [this](FeedAnswer answer, TimePoint began) { feed.answered(std::move(answer), began, now); });
        }
    }
};

/// A follower of the registry and the store's topic in simulated time.
struct TargetsWorld {
    ServingBounds bounds{};
    Topic topic{};
    TargetsFeed feed{TopicFollowerSettings::forTargets(bounds), 1200ms, readTarget, 1};
    Driver<TargetsFeed> driver{feed, topic};
    TimePoint now = Start;

    void run(Duration duration)
    {
        for (const TimePoint end = now + duration; now < end; now += Tick) {
            feed.expire(now);
            driver.step(now,
                        [this](FeedAnswer answer, TimePoint began) { feed.answered(std::move(answer), began, now); });
        }
    }
    std::string addressOf(const std::string &id) const
    {
        const auto known = feed.targets().find(id);
        return known == feed.targets().end() ? "(none)" : known->second.address;
    }
};

} // namespace

TEST_GROUP(StoreRestore){};

TEST(StoreRestore, eraOfAnswers_onlyRises)
{
    StoreEra era;
    CHECK(era.note(std::nullopt) == StoreEra::Change::None);
    CHECK(era.note(3) == StoreEra::Change::First);
    CHECK(era.note(3) == StoreEra::Change::None);
    CHECK(era.note(4) == StoreEra::Change::Newer);
    CHECK(era.note(3) == StoreEra::Change::Older);
    CHECK(era.note(std::nullopt) == StoreEra::Change::None);
    CHECK_EQUAL(4U, era.value());
}

TEST(StoreRestore, fencingTokens_riseOverErasAlsoWithLowerOffsets)
{
    CHECK(fencingToken(2, 0) > fencingToken(1, 1'000'000));
    CHECK(fencingToken(2, 1) > fencingToken(2, 0));
    CHECK_EQUAL(8U, fencingToken(0, 7));
}

// Offsets that the follower has read before were given out again, so it read on behind what was written there.
TEST(StoreRestore, stateWrittenAtReusedOffset_isApplied)
{
    StateWorld world;
    for (const std::string version : {"1", "2", "3", "4"}) {
        world.topic.write("config", version);
    }
    world.run(1s);
    CHECK_EQUAL(4U, world.feed.state()->version);
    world.topic.restore(1);
    for (const std::string version : {"2", "3", "4", "5"}) {
        world.topic.write("config", version);
    }
    world.run(2s);
    CHECK_EQUAL(5U, world.feed.state()->version);
    world.topic.restore(1);
    world.topic.write("config", "6");
    world.run(2s);
    CHECK_EQUAL(6U, world.feed.state()->version);
}

TEST(StoreRestore, stateThatWentBack_staysInForceAndIsNotConfirmed)
{
    StateWorld world;
    world.topic.write("config", "1");
    world.topic.write("config", "2");
    world.run(1s);
    world.topic.restore(1);
    world.run(3s);
    CHECK_EQUAL(2U, world.feed.state()->version);
    world.run(3s);
    CHECK_FALSE(world.feed.freshness().areKeyedCallsAllowed(world.now));
    world.topic.write("config", "2");
    world.run(1s);
    CHECK_TRUE(world.feed.freshness().areKeyedCallsAllowed(world.now));
}

TEST(StoreRestore, drainingTargetThatWentBack_staysDrainingUntilItIsWrittenAgain)
{
    TargetsWorld world;
    world.topic.write("a", "ready");
    world.topic.write("a", "draining");
    world.run(1s);
    world.topic.restore(1);
    world.run(1s);
    STRCMP_EQUAL("draining", world.addressOf("a").c_str());
    world.topic.write("a", "ready again");
    world.run(1s);
    STRCMP_EQUAL("ready again", world.addressOf("a").c_str());
}

// Of the targets that were removed, the oldest beyond 4,096 were forgotten.
TEST(StoreRestore, thousandsOfRemovedTargetsThatCameBack_stayRemoved)
{
    constexpr int Count = 5'000;
    constexpr Duration ReadTime = 14s; ///< Reads return few records each.
    TargetsWorld world;
    for (int number = 0; number < Count; ++number) {
        world.topic.write("i-" + std::to_string(number), "first");
    }
    world.run(ReadTime);
    CHECK_EQUAL(static_cast<std::size_t>(Count), world.feed.targets().size());
    for (int number = 0; number < Count; ++number) {
        world.topic.write("i-" + std::to_string(number), "");
    }
    world.run(ReadTime);
    CHECK_EQUAL(0U, world.feed.targets().size());
    world.topic.restore(Count);
    world.run(ReadTime);
    CHECK_EQUAL(0U, world.feed.targets().size());
}

TEST(StoreRestore, removedTargetThatCameBack_staysRemovedUntilItIsWrittenAgain)
{
    TargetsWorld world;
    world.topic.write("a", "first");
    world.run(1s);
    world.topic.write("a", "");
    world.run(1s);
    world.topic.restore(1);
    world.run(1s);
    STRCMP_EQUAL("(none)", world.addressOf("a").c_str());
    world.topic.write("a", "second");
    world.run(1s);
    STRCMP_EQUAL("second", world.addressOf("a").c_str());
}

TEST(StoreRestore, targetThatTheCopyLacks_staysKnownUntilItIsWrittenAgain)
{
    TargetsWorld world;
    world.topic.write("a", "first");
    world.topic.write("b", "first");
    world.run(1s);
    world.topic.restore(1);
    world.run(1s);
    STRCMP_EQUAL("first", world.addressOf("b").c_str());
    world.run(3s);
    STRCMP_EQUAL("(none)", world.addressOf("b").c_str());
    world.topic.write("b", "first");
    world.run(1s);
    STRCMP_EQUAL("first", world.addressOf("b").c_str());
}

TEST(StoreRestore, randomRestores_stateNeverGoesBackAndKeysAreNeverAdmittedOnStaleState)
{
    constexpr std::uint64_t Seeds = 2000;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        std::mt19937_64 random(seed);
        const std::string name = "seed " + std::to_string(seed);
        StateWorld world;
        world.topic.write("config", "1");
        std::vector<TimePoint> written{TimePoint{}, Start}; ///< Time at which each version was first written.
        std::vector<std::pair<TimePoint, std::string>> rewrites;
        std::uint64_t version = 0;
        TimePoint up = Start;
        for (int tick = 0; tick < 8'000; ++tick, world.now += Tick) {
            const bool faults = tick < 5'000;
            if (faults && random() % 400 == 0) {
                world.driver.lost = random() % 3 == 0 ? 0.4 : 0;
                world.driver.latency = random() % 3 == 0 ? 300ms : 4ms;
                world.now += random() % 8 == 0 ? 3s : 0s; // The process is suspended.
            } else if (!faults) {
                world.driver.lost = 0;
                world.driver.latency = 4ms;
            }
            if (faults && rewrites.empty() && world.now >= up && random() % 500 == 0) {
                const std::size_t kept = 1 + random() % world.topic.records.size();
                up = world.now + std::chrono::milliseconds(random() % 1'500);
                const Duration late = RewriteTime * static_cast<std::int64_t>(random() % 100) / 100;
                for (std::size_t i = kept; i < world.topic.records.size(); ++i) {
                    rewrites.emplace_back(up + late, world.topic.records[i].value);
                }
                if (random() % 2 == 0) {
                    std::shuffle(rewrites.begin(), rewrites.end(), random);
                }
                world.topic.restore(kept);
            }
            world.driver.down = world.now < up;
            while (!rewrites.empty() && rewrites.front().first <= world.now) {
                world.topic.write("config", rewrites.front().second);
                rewrites.erase(rewrites.begin());
            }
            // The operators' tools write the newest version last.
            const std::string newest = std::to_string(written.size() - 1);
            if (rewrites.empty() && !world.driver.down && world.topic.records.back().value != newest) {
                world.topic.write("config", newest);
            }
            if (rewrites.empty() && !world.driver.down && tick < 7'000 && random() % 150 == 0) {
                world.topic.write("config", std::to_string(written.size()));
                written.push_back(world.now);
            }
            world.driver.step(world.now, [&world](FeedAnswer answer, TimePoint began) {
                world.feed.answered(std::move(answer), began, world.now);
            });
            CHECK_TEXT(!world.feed.state() || world.feed.state()->version >= version, name.c_str());
            version = world.feed.state() ? world.feed.state()->version : 0;
            const bool replaced = version + 1 < written.size()
                && world.now - written[version + 1] > world.bounds.keyRevocation;
            CHECK_TEXT(!world.feed.freshness().areKeyedCallsAllowed(world.now) || !replaced, name.c_str());
        }
        CHECK_EQUAL_TEXT(written.size() - 1, version, name.c_str());
        CHECK_TEXT(world.feed.freshness().areKeyedCallsAllowed(world.now), name.c_str());
    }
}

TEST(StoreRestore, entry_appliesStateThatReusesAnOffset)
{
    NodeWorld world;
    world.publish();
    world.publish();
    NodeWorld::Entry &entry = world.startEntry();
    CHECK(world.runUntilReadiness(0, 200));
    CHECK_EQUAL(2U, entry.log.linesOf("state.applied").back()["state_version"].get<std::uint64_t>());
    world.store.restore(2);
    world.publish();
    CHECK(world.runUntilLogged(entry.log, "state.applied", 1));
    CHECK_EQUAL(3U, entry.log.linesOf("state.applied").back()["state_version"].get<std::uint64_t>());
    CHECK_EQUAL(1U, entry.log.linesOf("store.restored").size());
}

TEST(StoreRestore, agentThatStartsAfterwards_hasAHigherFencingTokenThanAllBefore)
{
    NodeWorld world;
    world.publish();
    world.registerEngine();
    const auto fenceOf = [&world](NodeWorld::Agent &agent) {
        CHECK(world.runUntilLogged(agent.log, "agent.fenced"));
        return agent.log.linesOf("agent.fenced").back()["fence"].get<std::uint64_t>();
    };
    const std::uint64_t before = fenceOf(world.startAgent());
    world.agents.clear();
    world.store.restore(1);
    CHECK(fenceOf(world.startAgent()) > before);
}
