#include <celeryroute/detail/gateway/crashsuspects.h>

#include "entryexchange.h"

#include <array>
#include <set>
#include <string>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

TEST_GROUP(CrashSuspects)
{
    static constexpr std::uint64_t Guilty = 7;
    static constexpr std::uint64_t Innocent = 8;
    TimePoint now{1h};
    CrashSuspects suspects;

    void crash(const std::string &target, std::initializer_list<std::uint64_t> requests, std::int64_t bornMs = 0)
    {
        for (const std::uint64_t request : requests) {
            suspects.noteUnanswered({request, target, bornMs, now}, now);
        }
        now += 1s;
        suspects.targetDied(target, now);
    }
    std::size_t countMarks()
    {
        std::set<std::pair<std::uint64_t, std::string>> all;
        for (const CrashNews &news : suspects.news(now)) {
            const auto &mark = std::get<CrashMark>(news.body);
            all.emplace(mark.request, mark.target);
        }
        return all.size();
    }
};

TEST(CrashSuspects, threeCrashes_quarantineRequestButNotItsNeighbour)
{
    crash("a", {Guilty, Innocent});
    suspects.noteAnswered(Innocent, now);
    crash("b", {Guilty, Innocent});
    CHECK_FALSE(suspects.isQuarantined(Guilty, now));
    suspects.noteAnswered(Innocent, now);
    crash("c", {Guilty, Innocent});
    CHECK_TRUE(suspects.isQuarantined(Guilty, now));
    CHECK_FALSE(suspects.isQuarantined(Innocent, now));
}

TEST(CrashSuspects, lostAnswersOfLiveTargets_doNotCount)
{
    for (const char *target : {"a", "b", "c", "d"}) {
        suspects.noteUnanswered({Guilty, target, 0, now}, now);
        now += 10s;
        suspects.targetDied(target, now);
    }
    CHECK_FALSE(suspects.isQuarantined(Guilty, now));
}

TEST(CrashSuspects, lateDeathDetection_countsWithinHeartbeatBound)
{
    suspects.setHeartbeatInterval(3s);
    for (const char *target : {"a", "b", "c"}) {
        suspects.noteUnanswered({Guilty, target, 0, now}, now);
        now += 9500ms;
        suspects.targetDied(target, now);
    }
    CHECK_TRUE(suspects.isQuarantined(Guilty, now));
}

TEST(CrashSuspects, sendToDeadTarget_countsWhenItFails)
{
    for (const char *target : {"a", "b", "c"}) {
        const TimePoint sent = now;
        now += 4s;
        suspects.targetDied(target, now);
        suspects.noteUnanswered({Guilty, target, 0, sent}, now + 8s);
        suspects.noteUnanswered({Innocent, target, 0, now + 1s}, now + 2s); // Sent to the restarted target.
    }
    CHECK_TRUE(suspects.isQuarantined(Guilty, now));
    CHECK_FALSE(suspects.isQuarantined(Innocent, now));
}

TEST(CrashSuspects, restartedTarget_countsAsSeparateCrash)
{
    for (const std::int64_t bornMs : {1, 1, 2}) {
        crash("a", {Guilty}, bornMs);
        CHECK_FALSE(suspects.isQuarantined(Guilty, now));
    }
    crash("a", {Guilty}, 3);
    CHECK_TRUE(suspects.isQuarantined(Guilty, now));
}

TEST(CrashSuspects, crashReportedByManyEntries_countsOnce)
{
    for (int i = 0; i < 5; ++i) {
        suspects.merge({Guilty, "a", 1}, now);
        suspects.merge({Guilty, "b", 1}, now);
    }
    CHECK_FALSE(suspects.isQuarantined(Guilty, now));
    suspects.merge({Guilty, "c", 1}, now);
    CHECK_TRUE(suspects.isQuarantined(Guilty, now));
    UNSIGNED_LONGS_EQUAL(3, countMarks());
}

TEST(CrashSuspects, answeredRequest_isNotMarkedAgainForSameCrashes)
{
    for (const char *target : {"a", "b", "c"}) {
        suspects.merge({Guilty, target, 1}, now);
    }
    suspects.noteAnswered(Guilty, now);
    for (const char *target : {"a", "b", "c"}) {
        suspects.merge({Guilty, target, 1}, now);
    }
    CHECK_FALSE(suspects.isQuarantined(Guilty, now));
    UNSIGNED_LONGS_EQUAL(0, countMarks());
}

TEST(CrashSuspects, oldCrashes_expireUnlessRequestIsRepeated)
{
    crash("a", {Guilty, Innocent});
    crash("b", {Guilty, Innocent});
    crash("c", {Guilty});
    for (int minutes = 0; minutes < 60; minutes += 8) {
        now += 8min;
        CHECK_TRUE(suspects.isQuarantined(Guilty, now));
    }
    crash("d", {Innocent});
    CHECK_FALSE(suspects.isQuarantined(Innocent, now));
    now += 11min;
    crash("e", {});
    CHECK_FALSE(suspects.isQuarantined(Guilty, now));
}

TEST(CrashSuspects, unansweredSends_countUntilTargetDeathIsRuledOut)
{
    suspects.noteUnanswered({Guilty, "a", 1, now}, now);
    suspects.noteUnanswered({Guilty, "a", 1, now}, now);
    suspects.noteUnanswered({Guilty, "b", 1, now}, now);
    CHECK_FALSE(suspects.isQuarantined(Guilty, now));
    suspects.merge({Guilty, "c", 1, true}, now + 1s);
    CHECK_TRUE(suspects.isQuarantined(Guilty, now + 1s));
    UNSIGNED_LONGS_EQUAL(2, countMarks()); // Marks received from other entries are not sent on while pending.
    suspects.targetDied("c", now + 4s);
    CHECK_TRUE(suspects.isQuarantined(Guilty, now + 4s));
    CHECK_FALSE(suspects.isQuarantined(Guilty, now + 5s));
    UNSIGNED_LONGS_EQUAL(1, countMarks());
}

TEST(CrashSuspects, fullTable_keepsRequestWithMostCrashes)
{
    crash("a", {Guilty});
    crash("b", {Guilty});
    for (std::uint64_t request = 100; request < 5000; ++request) {
        suspects.merge({request, "a", 1}, now);
    }
    crash("c", {Guilty});
    CHECK_TRUE(suspects.isQuarantined(Guilty, now));
    CHECK_TRUE(countMarks() <= 1026);
}

// The caller repeats the request at random entries, and each send crashes its target. The death is detected
// later. Counts sends after the third crash and the settling time, through entries that know of it.
TEST(CrashSuspects, randomSchedules_sendCrashingRequestAtMostThreeTimesAfterThirdCrash)
{
    constexpr Duration Settling = 3s;
    constexpr std::uint64_t CrashingRequest = 7;
    constexpr std::uint64_t Seeds = 300;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        EntryExchange world(3, seed);
        world.lossRate = 0.1 * static_cast<double>(seed % 4);
        struct Death {
            std::string target;
            TimePoint shows;
        };
        std::vector<Death> deaths;
        std::vector<TimePoint> crashes;
        std::uint32_t sendsAfterThirdCrash = 0;
        std::vector<TimePoint> knowsSince(world.entries.size(), world.now);
        const TimePoint end = world.now + 90s;
        while (world.now < end) {
            world.step();
            if (world.any(1200) == 0) {
                const std::size_t index = world.any(world.entries.size());
                world.start(index); // One entry at a time, so that the two others keep their marks.
                world.entries[index].down = world.now + 1s;
                knowsSince[index] = world.now + 1s + Settling;
            }
            std::erase_if(deaths, [&world](const Death &death) {
                for (EntryExchange::Entry &entry : world.entries) {
                    if (death.shows <= world.now && world.now >= entry.down) {
                        entry.suspects.targetDied(death.target, world.now);
                    }
                }
                return death.shows <= world.now;
            });
            const std::size_t at = world.any(world.entries.size());
            EntryExchange::Entry &entry = world.entries[at];
            if (world.any(80) != 0 || world.now < entry.down
                || entry.suspects.isQuarantined(CrashingRequest, world.now)) {
                continue;
            }
            const std::string target = "i-" + std::to_string(crashes.size());
            const bool counts = crashes.size() >= 3 && world.now >= crashes[2] + Settling
                && world.now >= knowsSince[at];
            sendsAfterThirdCrash += counts ? 1 : 0;
            entry.suspects.noteUnanswered({CrashingRequest, target, 1, world.now}, world.now);
            crashes.push_back(world.now);
            deaths.push_back({target, world.now + std::chrono::milliseconds(2400 + world.any(1200))});
        }
        CHECK_TEXT(sendsAfterThirdCrash <= 3, ("seed " + std::to_string(seed)).c_str());
        for (EntryExchange::Entry &entry : world.entries) {
            CHECK_TEXT(entry.suspects.isQuarantined(CrashingRequest, world.now) || world.now < entry.down + Settling,
                       ("seed " + std::to_string(seed)).c_str());
        }
    }
}
