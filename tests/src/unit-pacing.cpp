#include <celeryroute/detail/residency/pacingpolicy.h>

#include <string>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

TEST_GROUP(PacingPolicy)
{
    TimePoint now{1h};
    PacingPolicy policy{StoreLimits{2, 3, 2}};

    SlotRequest model(const std::string &id, int priority, Duration left = 60s) const
    {
        return SlotRequest{id, false, LoadDemand{priority, now + left}, 1s};
    }

    SlotRequest adapter(const std::string &id) const
    {
        return SlotRequest{id, true, LoadDemand{1, now + 60s}, 10ms};
    }

    using Ids = std::vector<std::string>;
};

TEST(PacingPolicy, modelsWait_areGrantedByUrgencyThenDeadlineAtTheStoresRate)
{
    policy.request(model("bulk", 2));
    policy.request(model("late", 0, 50s));
    policy.request(model("soon", 0, 10s));
    CHECK(policy.grant(now) == Ids{"soon"});
    CHECK(policy.grant(now).empty());
    CHECK(now + 500ms == policy.nextGrant(now));
    now += 500ms;
    CHECK(policy.grant(now) == Ids{"late"});
    now += 500ms;
    CHECK(policy.grant(now) == Ids{"bulk"});
}

TEST(PacingPolicy, allSlotsInUse_nextStartsWhenOneIsReturned)
{
    for (const char *id : {"a", "b", "c", "d"}) {
        policy.request(model(id, 1));
    }
    for (int i = 0; i < 4; ++i) {
        policy.grant(now);
        now += 500ms;
    }
    CHECK_EQUAL(3U, policy.inFlight(false));
    policy.finish("b");
    CHECK(policy.grant(now) == Ids{"d"});
}

TEST(PacingPolicy, adapters_areLimitedInNumberOnlyAndDoNotWaitForModels)
{
    policy.request(model("m1", 0));
    policy.request(model("m2", 0));
    for (const char *id : {"x", "y", "z"}) {
        policy.request(adapter(id));
    }
    CHECK(policy.grant(now) == (Ids{"m1", "x", "y"}));
}

TEST(PacingPolicy, slotHolderCrashes_slotIsFreeAfterItExpires)
{
    policy = PacingPolicy(StoreLimits{0, 1, 1});
    policy.request(model("dead", 0));
    policy.grant(now);
    policy.request(model("next", 0));
    CHECK(policy.grant(now + 4s).empty());
    CHECK(policy.grant(policy.nextGrant(now)) == Ids{"next"});
}

TEST(PacingPolicy, requestSentTwice_getsOneSlot)
{
    policy.request(model("a", 0));
    policy.request(model("a", 0));
    policy.grant(now);
    policy.request(model("a", 0));
    CHECK_EQUAL(1U, policy.inFlight(false));
    CHECK_EQUAL(0U, policy.waiting());
}

TEST(PacingPolicy, deadlinePassedWhileWaiting_isDropped)
{
    policy.request(model("a", 0, 1s));
    CHECK(policy.grant(now + 1s).empty());
    CHECK_EQUAL(0U, policy.waiting());
}

TEST(PacingPolicy, pacerDoesNotAnswer_sharesOfAllAgentsStayWithinTheRate)
{
    const StoreLimits share = staticShare(StoreLimits{4, 4, 30}, 18);
    DOUBLES_EQUAL(4.0, share.loadsPerSecond * 18, 1e-9);
    CHECK_EQUAL(1U, share.parallelLoads);
    CHECK_EQUAL(1U, share.adaptersInFlight);
}
