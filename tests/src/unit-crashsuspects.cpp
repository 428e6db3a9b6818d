#include <celeryroute/detail/gateway/crashsuspects.h>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

TEST_GROUP(CrashSuspects)
{
    static constexpr std::uint64_t Guilty = 7;
    static constexpr std::uint64_t Innocent = 8;
    TimePoint now{1h};
    CrashSuspects suspects;

    void crash(const std::string &target, std::initializer_list<std::uint64_t> requests)
    {
        for (const std::uint64_t request : requests) {
            suspects.noteUnanswered(request, target, now);
        }
        now += 1s;
        suspects.targetDied(target, now);
    }
};

TEST(CrashSuspects, requestOfThreeDeadTargets_isQuarantinedAndItsNeighbourIsNot)
{
    crash("a", {Guilty, Innocent});
    suspects.noteAnswered(Innocent, now);
    crash("b", {Guilty, Innocent});
    CHECK_FALSE(suspects.quarantined(Guilty, now));
    suspects.noteAnswered(Innocent, now);
    crash("c", {Guilty, Innocent});
    CHECK_TRUE(suspects.quarantined(Guilty, now));
    CHECK_FALSE(suspects.quarantined(Innocent, now));
}

TEST(CrashSuspects, lostAnswersOfLivingTargets_countForNothing)
{
    for (const char *target : {"a", "b", "c", "d"}) {
        suspects.noteUnanswered(Guilty, target, now);
        now += 10s;
        suspects.targetDied(target, now);
    }
    CHECK_FALSE(suspects.quarantined(Guilty, now));
}

TEST(CrashSuspects, oneCrashToldByManyEntries_countsOnce)
{
    for (int i = 0; i < 5; ++i) {
        suspects.merge({Guilty, "a"}, now);
        suspects.merge({Guilty, "b"}, now);
    }
    CHECK_FALSE(suspects.quarantined(Guilty, now));
    suspects.merge({Guilty, "c"}, now);
    CHECK_TRUE(suspects.quarantined(Guilty, now));
    UNSIGNED_LONGS_EQUAL(3, suspects.marks().size());
}

TEST(CrashSuspects, answeredRequest_isNotMarkedAgainByTheSameCrashes)
{
    for (const char *target : {"a", "b", "c"}) {
        suspects.merge({Guilty, target}, now);
    }
    suspects.noteAnswered(Guilty, now);
    for (const char *target : {"a", "b", "c"}) {
        suspects.merge({Guilty, target}, now);
    }
    CHECK_FALSE(suspects.quarantined(Guilty, now));
    CHECK_TRUE(suspects.marks().empty());
}

TEST(CrashSuspects, oldCrashes_areForgotten)
{
    crash("a", {Guilty});
    crash("b", {Guilty});
    now += 3min;
    crash("c", {Guilty});
    CHECK_FALSE(suspects.quarantined(Guilty, now));
}
