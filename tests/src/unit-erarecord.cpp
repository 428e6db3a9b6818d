#include <celeryroute/detail/feed/erarecord.h>

#include "nodeworld.h"

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

TEST_GROUP(EraRecord)
{
    TimePoint now{1h};
    bool mayRecord = false;
    EraRecord record{TopicFollowerSettings::forState({}), 1, [this](TimePoint) { return mayRecord; }};

    std::optional<FeedCall> call()
    {
        const FeedStep step = record.next(now);
        const auto *begin = std::get_if<BeginCall>(&step);
        return begin == nullptr ? std::nullopt : std::optional(begin->call);
    }
    void answerRead(const std::string &value)
    {
        CHECK_TRUE(*call() == FeedCall(ReadNewest{FeedTopic::Eras, ""}));
        record.answered(NewestPage{{{"settled", value, 3}, {"other", "99", 4}}, false, 5}, now, now);
    }
};

TEST(EraRecord, eraThatIsRecorded_isSettled)
{
    record.begin(7);
    CHECK_FALSE(record.isSettled());
    answerRead("7");
    CHECK_TRUE(record.isSettled());
    CHECK_FALSE(call().has_value());
}

TEST(EraRecord, earlierOrUnreadableRecord_doesNotSettleTheEra)
{
    for (const char *value : {"6", "", "x7", "7x", "-7", "18446744073709551616", "7 "}) {
        EraRecord other(TopicFollowerSettings::forState({}), 1, [](TimePoint) { return false; });
        other.begin(7);
        (void)other.next(now);
        other.answered(NewestPage{{{"settled", value, 3}}, false, 5}, now, now);
        CHECK_FALSE_TEXT(other.isSettled(), value);
    }
}

TEST(EraRecord, storeThatWasNeverRestored_isNotAsked)
{
    record.begin(0);
    CHECK_TRUE(record.isSettled());
    CHECK_FALSE(call().has_value());
}

TEST(EraRecord, eraThatHasSettled_isRecordedOnce)
{
    record.begin(7);
    answerRead("6");
    CHECK_FALSE(call().has_value());
    mayRecord = true;
    now += 1s;
    CHECK_TRUE(*call() == FeedCall(AppendRecord{FeedTopic::Eras, "7", "settled"}));
    record.timedOut(now);
    CHECK_FALSE(record.isSettled());
    now += 1min;
    CHECK_TRUE(*call() == FeedCall(AppendRecord{FeedTopic::Eras, "7", "settled"}));
    record.answered(RecordAppended{9}, now, now);
    CHECK_TRUE(record.isSettled());
    now += 1min;
    CHECK_FALSE(call().has_value());
    record.begin(8);
    CHECK_FALSE(record.isSettled());
    CHECK_TRUE(*call() == FeedCall(AppendRecord{FeedTopic::Eras, "8", "settled"}));
}

/// An entry that starts over a store in an era above 0.
TEST_GROUP(EntryInALaterEra)
{
    NodeWorld world;

    void setup() override
    {
        world.registerApp("i-1", world.app);
        world.app.answerEveryRequest(httpAnswer(200, "paid", "X-Request-Id: {id}\r\nX-Server-Signature: s\r\n"));
        world.publish();
    }
    int pay()
    {
        return statusOf(world.call(world.callerEndpoint(0),
                                   "/pay/a",
                                   "r1",
                                   "Authorization: Bearer key-a\r\nX-Deadline-Ms: 900\r\n"));
    }
    /// @brief Removes the key of the customer, as operators do.
    void removeKey()
    {
        world.state["tenants"][0]["api_keys"] = nlohmann::json::array({"key-new"});
        world.publish();
    }
};

// A process that started after the store had come back from a copy took an older state for the newest: calls with a
// withdrawn key ran until the operator had written again.
TEST(EntryInALaterEra, startedBeforeTheOperatorWroteAgain_doesNotUseTheKeysOfTheCopy)
{
    world.store.put("keyed.celeryroute.eras", "settled", "0");
    world.store.restore(0);
    world.startEntry();
    const TimePoint started = world.loop.now();
    while (world.loop.now() - started < 1500ms) {
        CHECK_EQUAL(503, pay());
        world.loop.turn(20ms);
    }
    removeKey();
    CHECK(world.runUntilReadiness(0, 200));
    CHECK_EQUAL(401, pay());
    CHECK_EQUAL(0U, world.app.requests().size());
    CHECK(turnUntil(world.loop, [&] { return world.loop.now() - started > 3500ms; }));
    CHECK_EQUAL(401, pay());
}

TEST(EntryInALaterEra, eraThatIsSettled_isReadyWithoutAWait)
{
    world.store.restore(0);
    world.store.put("keyed.celeryroute.eras", "settled", "1");
    world.startEntry();
    const TimePoint started = world.loop.now();
    CHECK(world.runUntilReadiness(0, 200));
    CHECK_TRUE(world.loop.now() - started < 1s);
    CHECK_EQUAL(200, pay());
}

TEST(EntryInALaterEra, settledEra_isRecordedForProcessesThatStartLater)
{
    world.store.restore(0);
    world.startEntry();
    CHECK(world.runUntilReadiness(0, 200));
    const TimePoint ready = world.loop.now();
    CHECK(turnUntil(world.loop, [&] { return world.loop.now() - ready > 1500ms; }));
    world.startEntry();
    const TimePoint started = world.loop.now();
    CHECK(world.runUntilReadiness(1, 200));
    CHECK_TRUE(world.loop.now() - started < 1s);
}
