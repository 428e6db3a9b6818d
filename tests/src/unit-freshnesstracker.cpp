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

    bool isFreshAt(double seconds) const
    {
        return at(seconds) < tracker.freshUntil();
    }

    void recordHeartbeatsOfAllDomains(double seconds)
    {
        for (const char *domain : {"a", "b", "c"}) {
            tracker.recordHeartbeat(domain, at(seconds));
        }
    }
};

TEST(FreshnessTracker, noConfirmation_isNotFresh)
{
    CHECK_FALSE(isFreshAt(0));
}

TEST(FreshnessTracker, recentLogRead_isFreshRegardlessOfPeers)
{
    tracker.recordLogRead(at(0));
    CHECK(isFreshAt(2.9));
    CHECK_FALSE(isFreshAt(3));
}

TEST(FreshnessTracker, logUnreachable_staysFreshWhileAllDomainsAnswer)
{
    tracker.recordLogRead(at(0));
    for (int second = 1; second <= 3600; ++second) {
        recordHeartbeatsOfAllDomains(second);
        CHECK(isFreshAt(second + 1));
    }
}

TEST(FreshnessTracker, logAndOneDomainSilent_isNotFreshAfterLimit)
{
    tracker.recordLogRead(at(0));
    recordHeartbeatsOfAllDomains(1);
    for (int second = 2; second <= 10; ++second) {
        tracker.recordHeartbeat("a", at(second));
        tracker.recordHeartbeat("b", at(second));
    }
    CHECK(isFreshAt(3.9));
    CHECK_FALSE(isFreshAt(4.1));
    tracker.recordHeartbeat("c", at(11));
    CHECK_FALSE(isFreshAt(13.5));
    recordHeartbeatsOfAllDomains(13);
    CHECK(isFreshAt(13.5));
}

TEST(FreshnessTracker, silentDomainRemovedFromHostList_isFreshAgain)
{
    recordHeartbeatsOfAllDomains(0);
    tracker.recordHeartbeat("a", at(10));
    tracker.recordHeartbeat("b", at(10));
    CHECK_FALSE(isFreshAt(10));
    tracker.setLiveDomains({"a", "b"});
    CHECK(isFreshAt(10));
}

TEST(FreshnessTracker, pauseBeyondLimit_requiresReadStartedAfterPause)
{
    tracker.recordLogRead(at(0));
    recordHeartbeatsOfAllDomains(0);
    CHECK_FALSE(isFreshAt(60));
    // A response that was buffered in a socket during the pause says nothing about the present.
    tracker.recordLogRead(at(0.5));
    CHECK_FALSE(isFreshAt(60));
    tracker.recordLogRead(at(60));
    CHECK(isFreshAt(60.1));
}

TEST(FreshnessTracker, peerAheadWhileLogSilent_isNotFreshUntilCaughtUp)
{
    recordHeartbeatsOfAllDomains(0);
    tracker.setOffsets(10, 12, at(0));
    recordHeartbeatsOfAllDomains(2);
    CHECK(isFreshAt(2.9));
    recordHeartbeatsOfAllDomains(4);
    CHECK_FALSE(isFreshAt(4));
    tracker.setOffsets(12, 12, at(4));
    CHECK(isFreshAt(4.5));
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
