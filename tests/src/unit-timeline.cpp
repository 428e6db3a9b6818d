#include <celeryroute/detail/observe/timeline.h>
#include <celeryroute/detail/observe/timelineview.h>

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;

TEST_GROUP(Timeline)
{
    WallTime early{std::chrono::seconds(1000)};
    WallTime late{std::chrono::seconds(2000)};

    static TimelineEvent event(const std::string &kind, const std::string &request)
    {
        TimelineEvent made;
        made.kind = kind;
        made.requestId = request;
        return made;
    }
};

TEST(Timeline, ringFull_oldestEventsGo)
{
    Timeline timeline("p", "host", 3);
    for (int i = 0; i < 5; ++i) {
        timeline.record(event("e" + std::to_string(i), ""), early);
    }
    const auto events = timeline.select({});
    CHECK_EQUAL(3, events.size());
    STRCMP_EQUAL("e2", events[0].kind.c_str());
    STRCMP_EQUAL("e4", events[2].kind.c_str());
}

TEST(Timeline, filterAndLimit_newestMatchesAreKept)
{
    Timeline timeline("p", "host", 10);
    for (int i = 0; i < 4; ++i) {
        timeline.record(event("a" + std::to_string(i), "r1"), early);
        timeline.record(event("b", "r2"), early);
    }
    TimelineFilter filter;
    filter.requestId = "r1";
    filter.limit = 2;
    const auto events = timeline.select(filter);
    CHECK_EQUAL(2, events.size());
    STRCMP_EQUAL("a2", events[0].kind.c_str());
}

TEST(Timeline, receiverClockRunsBehind_causeStillComesFirst)
{
    Timeline entry("entry", "h1", 10);
    Timeline agent("agent", "h2", 10);
    for (int i = 0; i < 5; ++i) {
        entry.record(event("earlier", "r"), late);
    }
    entry.record(event("dispatched", "r"), late);
    agent.observe(entry.stamp());
    agent.record(event("received", "r"), early);
    std::vector<TimelineEvent> all = agent.select({});
    for (const TimelineEvent &each : entry.select({})) {
        all.push_back(each);
    }
    const auto merged = mergeTimelines(all);
    STRCMP_EQUAL("dispatched", merged[5].kind.c_str());
    STRCMP_EQUAL("received", merged[6].kind.c_str());
}

TEST(Timeline, jsonLine_comesBackEqual)
{
    Timeline timeline("p", "host", 2);
    TimelineEvent made = event("refused", "r\"1\n");
    made.code = 311;
    timeline.record(made, early);
    const TimelineEvent stored = timeline.select({})[0];
    CHECK(timelineEventFromJson(toJsonLine(stored)) == stored);
    CHECK_FALSE(timelineEventFromJson("{}").has_value());
    CHECK_FALSE(timelineEventFromJson("no json").has_value());
}

TEST(Timeline, traceFile_hasOneNamedProcessPerInstance)
{
    Timeline timeline("p", "host", 2);
    timeline.record(event("a", ""), early);
    timeline.record(event("b", ""), early);
    const auto trace = nlohmann::json::parse(timelineTrace(timeline.select({})));
    CHECK_EQUAL(3, trace["traceEvents"].size());
    STRCMP_EQUAL("process_name", trace["traceEvents"][0]["name"].get<std::string>().c_str());
}
