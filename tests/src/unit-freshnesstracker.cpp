#include <celeryroute/detail/state/freshnesstracker.h>
#include <celeryroute/detail/state/statestore.h>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;

TEST_GROUP(FreshnessTracker)
{
    const TimePoint start{std::chrono::hours(1)};
    FreshnessTracker tracker;

    void setup() override
    {
        tracker.setLiveDomains({"a", "b", "c"});
    }

    TimePoint at(double seconds) const
    {
        return start + fromSeconds(seconds);
    }

    bool freshAt(double seconds) const
    {
        return at(seconds) < tracker.freshUntil();
    }

    void hearAll(double seconds)
    {
        for (const char *domain : {"a", "b", "c"}) {
            tracker.recordHeartbeat(domain, at(seconds));
        }
    }
};

TEST(FreshnessTracker, nothingHeardYet_isNotFresh)
{
    CHECK_FALSE(freshAt(0));
}

TEST(FreshnessTracker, logReadLately_isFreshWhateverPeersSay)
{
    tracker.recordLogRead(at(0));
    CHECK(freshAt(2.9));
    CHECK_FALSE(freshAt(3));
}

TEST(FreshnessTracker, logSilentForEveryone_goesOnAsLongAsAllDomainsAnswer)
{
    tracker.recordLogRead(at(0));
    for (int second = 1; second <= 3600; ++second) {
        hearAll(second);
        CHECK(freshAt(second + 1));
    }
}

TEST(FreshnessTracker, logAndOneDomainSilent_stopsAfterTheBound)
{
    tracker.recordLogRead(at(0));
    hearAll(1);
    for (int second = 2; second <= 10; ++second) {
        tracker.recordHeartbeat("a", at(second));
        tracker.recordHeartbeat("b", at(second));
    }
    CHECK(freshAt(3.9));
    CHECK_FALSE(freshAt(4.1));
    tracker.recordHeartbeat("c", at(11));
    CHECK_FALSE(freshAt(13.5));
    hearAll(13);
    CHECK(freshAt(13.5));
}

TEST(FreshnessTracker, silentDomainLeavesTheHostList_serviceGoesOn)
{
    hearAll(0);
    tracker.recordHeartbeat("a", at(10));
    tracker.recordHeartbeat("b", at(10));
    CHECK_FALSE(freshAt(10));
    tracker.setLiveDomains({"a", "b"});
    CHECK(freshAt(10));
}

TEST(FreshnessTracker, pauseLongerThanTheBound_needsAReadBegunAfterIt)
{
    tracker.recordLogRead(at(0));
    hearAll(0);
    CHECK_FALSE(freshAt(60));
    // An answer that waited in a socket during the pause proves nothing about the present.
    tracker.recordLogRead(at(0.5));
    CHECK_FALSE(freshAt(60));
    tracker.recordLogRead(at(60));
    CHECK(freshAt(60.1));
}

TEST(FreshnessTracker, peerAheadWhileTheLogIsSilent_stopsUnlessCaughtUp)
{
    hearAll(0);
    tracker.setOffsets(10, 12, at(0));
    hearAll(2);
    CHECK(freshAt(2.9));
    hearAll(4);
    CHECK_FALSE(freshAt(4));
    tracker.setOffsets(12, 12, at(4));
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
