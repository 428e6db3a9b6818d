#include <celeryroute/detail/state/freshnesstracker.h>
#include <celeryroute/detail/state/statestore.h>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;

TEST_GROUP(FreshnessTracker)
{
    const TimePoint start{std::chrono::hours(1)};
    FreshnessTracker rule;

    void setup() override
    {
        rule.setLiveDomains({"a", "b", "c"});
    }

    TimePoint at(double seconds) const
    {
        return start + fromSeconds(seconds);
    }

    bool freshAt(double seconds) const
    {
        return at(seconds) < rule.freshUntil();
    }

    void hearAll(double seconds)
    {
        for (const char *domain : {"a", "b", "c"}) {
            rule.heardFrom(domain, at(seconds));
        }
    }
};

TEST(FreshnessTracker, nothingHeardYet_isNotFresh)
{
    CHECK_FALSE(freshAt(0));
}

TEST(FreshnessTracker, logReadLately_isFreshWhateverPeersSay)
{
    rule.recordLogRead(at(0));
    CHECK(freshAt(2.9));
    CHECK_FALSE(freshAt(3));
}

TEST(FreshnessTracker, logSilentForEveryone_goesOnAsLongAsAllDomainsAnswer)
{
    rule.recordLogRead(at(0));
    for (int second = 1; second <= 3600; ++second) {
        hearAll(second);
        CHECK(freshAt(second + 1));
    }
}

TEST(FreshnessTracker, logAndOneDomainSilent_stopsAfterTheBound)
{
    rule.recordLogRead(at(0));
    hearAll(1);
    for (int second = 2; second <= 10; ++second) {
        rule.heardFrom("a", at(second));
        rule.heardFrom("b", at(second));
    }
    CHECK(freshAt(3.9));
    CHECK_FALSE(freshAt(4.1));
    rule.heardFrom("c", at(11));
    CHECK_FALSE(freshAt(13.5));
    hearAll(13);
    CHECK(freshAt(13.5));
}

TEST(FreshnessTracker, silentDomainLeavesTheHostList_serviceGoesOn)
{
    hearAll(0);
    rule.heardFrom("a", at(10));
    rule.heardFrom("b", at(10));
    CHECK_FALSE(freshAt(10));
    rule.setLiveDomains({"a", "b"});
    CHECK(freshAt(10));
}

TEST(FreshnessTracker, pauseLongerThanTheBound_needsAReadBegunAfterIt)
{
    rule.recordLogRead(at(0));
    hearAll(0);
    CHECK_FALSE(freshAt(60));
    // An answer that waited in a socket during the pause proves nothing about the present.
    rule.recordLogRead(at(0.5));
    CHECK_FALSE(freshAt(60));
    rule.recordLogRead(at(60));
    CHECK(freshAt(60.1));
}

TEST(FreshnessTracker, peerAheadWhileTheLogIsSilent_stopsUnlessCaughtUp)
{
    hearAll(0);
    rule.setOffsets(10, 12, at(0));
    hearAll(2);
    CHECK(freshAt(2.9));
    hearAll(4);
    CHECK_FALSE(freshAt(4));
    rule.setOffsets(12, 12, at(4));
    CHECK(freshAt(4.5));
}

TEST_GROUP(StateStore)
{
    StateStore store;

    static FleetState stateAt(std::uint64_t offset)
    {
        StateTables tables;
        tables.nextOffset = offset;
        return FleetState(std::move(tables));
    }
};

TEST(StateStore, olderState_doesNotReplaceANewerOne)
{
    store.publish(stateAt(5));
    store.publish(stateAt(4));
    LONGS_EQUAL(5, store.state()->nextOffset());
    store.publish(stateAt(6));
    LONGS_EQUAL(6, store.state()->nextOffset());
}

TEST(StateStore, newStore_isNotFresh)
{
    CHECK_FALSE(store.isFresh(TimePoint()));
    store.setFreshUntil(TimePoint(std::chrono::seconds(5)));
    CHECK(store.isFresh(TimePoint(std::chrono::seconds(4))));
    CHECK_FALSE(store.isFresh(TimePoint(std::chrono::seconds(5))));
}
