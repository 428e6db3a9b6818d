#include <celeryroute/detail/routing/suspecttable.h>

#include <algorithm>
#include <iostream>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

TEST_GROUP(SuspectTable)
{
    TimePoint now{};
    SuspectTable table;

    void check(const std::string &digest, SuspectStatus expected)
    {
        LONGS_EQUAL(static_cast<int>(expected), static_cast<int>(table.status(digest)));
    }
};

TEST(SuspectTable, targetCrashes_allRequestsInFlightBecomeSuspects)
{
    LONGS_EQUAL(2, table.recordCrash("h1", "c1", {"bad", "beside"}, now).size());
    check("bad", SuspectStatus::Suspect);
    check("beside", SuspectStatus::Suspect);
    check("elsewhere", SuspectStatus::Clear);
}

TEST(SuspectTable, secondCrashAlone_quarantinesTheRequestAndClearsOthers)
{
    table.recordCrash("h1", "c1", {"bad", "beside"}, now);
    table.recordCrash("h2", "c2", {"bad"}, now);
    check("bad", SuspectStatus::Quarantined);
    check("beside", SuspectStatus::Clear);
}

TEST(SuspectTable, suspectFinishesAlone_isCleared)
{
    table.recordCrash("h1", "c1", {"bad", "beside"}, now);
    LONGS_EQUAL(1, table.recordFinishedAlone("beside").size());
    check("beside", SuspectStatus::Clear);
    check("bad", SuspectStatus::Suspect);
    LONGS_EQUAL(0, table.recordFinishedAlone("beside").size());
}

TEST(SuspectTable, crashAlone_isNotClearedByALaterSuccess)
{
    table.recordCrash("h1", "c1", {"bad"}, now);
    table.recordFinishedAlone("bad");
    table.recordCrash("h2", "c2", {"bad"}, now);
    check("bad", SuspectStatus::Quarantined);
}

TEST(SuspectTable, twoCrashesBesideOthers_quarantinesTheRequest)
{
    table.recordCrash("h1", "c1", {"bad", "a"}, now);
    table.recordCrash("h2", "c2", {"bad", "b"}, now);
    check("bad", SuspectStatus::Quarantined);
    check("a", SuspectStatus::Suspect);
}

TEST(SuspectTable, oldCrashes_expire)
{
    table.recordCrash("h1", "c1", {"a", "b"}, now);
    table.expire(now + 1h);
    check("a", SuspectStatus::Suspect);
    table.expire(now + 3h);
    check("a", SuspectStatus::Clear);
    LONGS_EQUAL(0, table.crashes());
}

TEST(SuspectTable, manyCrashes_memoryStaysBounded)
{
    for (int i = 0; i < 6000; ++i) {
        table.recordCrash("h", "c" + std::to_string(i), {"d" + std::to_string(i)}, now + std::chrono::milliseconds(i));
    }
    LONGS_EQUAL(4096, table.crashes());
    check("d0", SuspectStatus::Clear);
    check("d5999", SuspectStatus::Suspect);
}

TEST(SuspectTable, noticesInAnyOrderAndRepeated_giveTheSameStatus)
{
    constexpr std::uint64_t Seeds = 300;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        std::mt19937_64 random(seed);
        std::vector<CrashNotice> notices;
        for (int i = 0; i < 12; ++i) {
            CrashNotice notice;
            notice.requestDigest = "d" + std::to_string(random() % 4);
            notice.crashId = "c" + std::to_string(random() % 4);
            notice.host = "h";
            notice.alone = notice.crashId == "c0";
            notice.cleared = random() % 4 == 0;
            notices.push_back(notice);
        }
        SuspectTable inOrder;
        for (const CrashNotice &notice : notices) {
            inOrder.merge(notice, now);
        }
        std::vector<CrashNotice> shuffled = notices;
        shuffled.insert(shuffled.end(), notices.begin(), notices.end());
        std::shuffle(shuffled.begin(), shuffled.end(), random);
        SuspectTable other;
        for (const CrashNotice &notice : shuffled) {
            other.merge(notice, now);
        }
        for (const std::string digest : {"d0", "d1", "d2", "d3"}) {
            CHECK(inOrder.status(digest) == other.status(digest));
        }
    }
}

// A request that crashes its target is resent repeatedly through three entries while other requests run
// beside it. At most two targets may crash, and no other request may stay a suspect.
TEST(SuspectTable, crashingRequestThroughManyEntries_crashesAtMostTwoTargets)
{
    constexpr std::uint64_t Seeds = 300;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        std::mt19937_64 random(seed);
        SuspectTable tables[3];
        int targetsDown = 0;
        std::set<std::string> innocent = {"a", "b", "c", "d"};
        for (int round = 0; round < 40; ++round) {
            SuspectTable &entry = tables[random() % 3];
            std::vector<std::string> running;
            const SuspectStatus status = entry.status("bad");
            if (status == SuspectStatus::Quarantined) {
                continue;
            }
            running.push_back("bad");
            for (const std::string &each : innocent) {
                const bool joins = status == SuspectStatus::Clear && random() % 2 == 0;
                if (joins && entry.status(each) == SuspectStatus::Clear) {
                    running.push_back(each);
                }
            }
            ++targetsDown;
            std::vector<CrashNotice> notices = entry.recordCrash("h" + std::to_string(round),
                                                                 "c" + std::to_string(round),
                                                                 running,
                                                                 now);
            std::shuffle(notices.begin(), notices.end(), random);
            for (SuspectTable &table : tables) {
                for (const CrashNotice &notice : notices) {
                    table.merge(notice, now);
                }
            }
        }
        LONGS_EQUAL(2, targetsDown);
        for (const std::string &each : innocent) {
            CHECK(tables[0].status(each) == SuspectStatus::Clear);
        }
    }
    std::cout << "crashing request: seeds 1.." << Seeds << ", two targets down in each\n";
}
