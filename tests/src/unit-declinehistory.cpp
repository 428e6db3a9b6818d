#include <celeryroute/detail/keeper/declinehistory.h>
#include <celeryroute/detail/keeper/declinereasons.h>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;
using namespace declinereasons;

TEST_GROUP(DeclineHistory)
{
    DeclineHistory history;

    // The reported items with their reasons and counts.
    std::string update(Duration at, const std::vector<DeclinedItem> &declined)
    {
        std::string text;
        for (const DeclineNotice &notice : history.update(declined, TimePoint(at))) {
            text += notice.declined.item + ":" + std::string(notice.declined.reason) + ":"
                + std::to_string(notice.count) + " ";
        }
        return text;
    }
};

TEST(DeclineHistory, itemComesAndGoes_isReportedOnceAndCounted)
{
    STRCMP_EQUAL("m1:store_rate:1 ", update(1s, {{"m1", StoreRate}}).c_str());
    for (int i = 1; i <= 19; ++i) {
        STRCMP_EQUAL("", update(1s + i * 50ms, {}).c_str());
        STRCMP_EQUAL("", update(1s + i * 50ms + 20ms, {{"m1", StoreRate}}).c_str());
    }
    STRCMP_EQUAL("m1:no_room:20 ", update(3s, {{"m1", NoRoom}}).c_str());
    STRCMP_EQUAL("", update(4s, {}).c_str());
    STRCMP_EQUAL("m1:no_room:1 ", update(14s, {{"m1", NoRoom}}).c_str());
}

TEST(DeclineHistory, reasonAlternates_isReportedOnceASecond)
{
    std::string reported;
    for (int i = 0; i < 100; ++i) {
        reported += update(1s + i * 50ms, {{"m1", i % 2 == 0 ? StoreRate : NoRoom}});
    }
    STRCMP_EQUAL("m1:store_rate:1 m1:no_room:21 m1:store_rate:21 m1:no_room:21 m1:store_rate:21 ", reported.c_str());
}

TEST(DeclineHistory, itemIsDeclinedThroughout_isReportedOnce)
{
    STRCMP_EQUAL("m1:store_rate:1 ", update(1s, {{"m1", StoreRate}}).c_str());
    for (int i = 1; i <= 60; ++i) {
        STRCMP_EQUAL("", update(1s + i * 1s, {{"m1", StoreRate}}).c_str());
    }
}

TEST(DeclineHistory, modelsWait_areCountedOnceWithTheLongestWait)
{
    (void)update(1s, {{"m1", StoreRate}, {"m1/a1", StoreRate}, {"m2", NoRoom}});
    CHECK((WaitingModels{1, 0s}) == history.waitingModels(StoreRate, TimePoint(1s)));
    (void)update(1500ms, {});
    CHECK(WaitingModels() == history.waitingModels(StoreRate, TimePoint(1500ms)));
    (void)update(2s, {{"m3", StoreRate}, {"m1", StoreRate}});
    CHECK((WaitingModels{2, 2s}) == history.waitingModels(StoreRate, TimePoint(3s)));
    (void)update(3s, {{"m3", StoreRate}});
    (void)update(5s, {{"m1", StoreRate}});
    CHECK((WaitingModels{1, 1s}) == history.waitingModels(StoreRate, TimePoint(6s)));
}

TEST(DeclineHistory, manyItems_onlyTheNewestAreRemembered)
{
    for (std::size_t i = 0; i <= DeclineHistory::MaxItems; ++i) {
        const std::string item = "m" + std::to_string(i);
        CHECK_EQUAL(item + ":store_rate:1 ", update(1s + i * 1ms, {{item, StoreRate}}));
    }
    STRCMP_EQUAL("", update(2s, {{"m1", StoreRate}}).c_str());
    STRCMP_EQUAL("m0:store_rate:1 ", update(2s, {{"m0", StoreRate}}).c_str());
}
