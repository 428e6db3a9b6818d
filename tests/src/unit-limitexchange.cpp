#include "limitplay.h"

#include <cstdio>
#include <cstdlib>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

namespace {

struct Totals {
    double worstExcess = -1e9;
    double leastUse = 1e9;
    std::uint64_t worstSeed = 0;
};

/// @brief Number of schedules of @p entries; CELERYROUTE_LIMIT_SCHEDULES sets that of the smallest site for long runs.
std::uint64_t scheduleCount(std::size_t entries)
{
    constexpr std::uint64_t Usual = 25;
    constexpr std::uint64_t PartOfLargerSites = 20;
    const char *text = std::getenv("CELERYROUTE_LIMIT_SCHEDULES");
    const std::uint64_t count = text == nullptr ? Usual : std::strtoull(text, nullptr, 10);
    return entries == 3 ? count : 1 + count / PartOfLargerSites;
}

Totals play(const LimitPlay::Options &options, std::uint64_t seeds)
{
    Totals totals;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        LimitPlay play(options, seed);
        play.run();
        if (play.judge.worstExcess() > totals.worstExcess) {
            totals.worstExcess = play.judge.worstExcess();
            totals.worstSeed = seed;
        }
        totals.leastUse = std::min(totals.leastUse, play.use());
    }
    std::printf("\n%zu entries, limit %.1f: worst excess %.1f (seed %llu), least use %.2f",
                options.entries,
                options.perSecond,
                totals.worstExcess,
                static_cast<unsigned long long>(totals.worstSeed),
                totals.leastUse);
    return totals;
}

} // namespace

TEST_GROUP(LimitExchange){};

TEST(LimitExchange, limitedTargetWithoutTrouble_getsItsLimitAndNoMore)
{
    for (const std::size_t entries : {std::size_t{1}, std::size_t{3}, std::size_t{31}, std::size_t{68}}) {
        for (const double perSecond : {0.1, 1.2, 8.0, 50.0}) {
            LimitPlay::Options options;
            options.entries = entries;
            options.perSecond = perSecond;
            const Totals totals = play(options, entries > 10 ? 1 : 5);
            CHECK_TRUE(totals.worstExcess <= 0);
            CHECK_TRUE(totals.leastUse >= 0.9);
        }
    }
}

TEST(LimitExchange, restartsJoinsCutsFreezesAndMovingLimits_targetGetsNoMoreThanItsLimitAllows)
{
    for (const std::size_t entries : {std::size_t{3}, std::size_t{31}}) {
        for (const double perSecond : {0.1, 1.2, 8.0, 50.0}) {
            LimitPlay::Options options;
            options.entries = entries;
            options.perSecond = perSecond;
            options.lossRate = 0.05;
            options.restarts = 3;
            options.freezes = 2;
            options.cuts = 2;
            options.joins = 1;
            options.moves = 4;
            options.ends = true;
            CHECK_TRUE(play(options, scheduleCount(entries)).worstExcess <= 0);
        }
    }
}

TEST(LimitExchange, allEntriesLoseEachOther_targetGetsNoMoreThanItsLimitAllows)
{
    for (const std::size_t entries : {std::size_t{3}, std::size_t{31}}) {
        for (const double perSecond : {0.1, 1.2, 8.0, 50.0}) {
            LimitPlay::Options options;
            options.entries = entries;
            options.perSecond = perSecond;
            options.isolates = true;
            CHECK_TRUE(play(options, entries > 10 ? 1 : 10).worstExcess <= 0);
        }
    }
}

TEST(LimitExchange, entriesThatIssuePermitsEachForThemselves_failThePlay)
{
    LimitPlay::Options options;
    options.entries = 31;
    options.shares = false;
    CHECK_TRUE(play(options, 1).worstExcess > 0);
}
