#include <celeryroute/detail/cli/explaincommand.h>
#include <celeryroute/detail/cli/explaintext.h>
#include <celeryroute/detail/telemetry/decisionlog.h>
#include <celeryroute/detail/telemetry/reasonnames.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using Json = nlohmann::ordered_json;

namespace {

// Writes the log of one process whose calendar clock is skewMs behind.
class ProcessLog
{
public:
    ProcessLog(std::string host, std::string role, std::uint64_t incarnation, std::int64_t skewMs = 0)
        : m_host(std::move(host))
        , m_role(std::move(role))
        , m_incarnation(incarnation)
        , m_skewMs(skewMs)
    {}

    void add(std::int64_t atMs, const char *event, const std::string &request, const Json &fields)
    {
        Json line = {{"t", 1'700'000'000'000 + atMs - m_skewMs},
                     {"m", 1000 * static_cast<std::int64_t>(m_incarnation) + atMs},
                     {"host", m_host},
                     {"role", m_role},
                     {"inc", m_incarnation},
                     {"event", event}};
        if (!request.empty()) {
            line["request"] = request;
        }
        line.update(fields);
        m_text += line.dump() + "\n";
    }
    const std::string &text() const
    {
        return m_text;
    }

private:
    const std::string m_host;
    const std::string m_role;
    const std::uint64_t m_incarnation;
    const std::int64_t m_skewMs;
    std::string m_text;
};

} // namespace

TEST_GROUP(Explain)
{
    std::vector<ExplainProcess> processes;
    Story story;

    // The events of the story, `HOST EVENT`, in order.
    std::vector<std::string> explain(const std::string &request, const std::vector<std::string> &texts)
    {
        ExplainLog log;
        for (const std::string &text : texts) {
            std::istringstream in(text);
            log.read(in);
        }
        processes = log.takeProcesses();
        story = orderLines(processes, selectLines(processes, request));
        std::vector<std::string> events;
        for (const StoryLine &entry : story.lines) {
            const ExplainProcess &process = processes[entry.selected.process];
            events.push_back(process.host + " " + process.lines[entry.selected.line].event);
        }
        return events;
    }
    static std::string joined(const std::vector<std::string> &events)
    {
        std::string text;
        for (const std::string &event : events) {
            text += event + "\n";
        }
        return text;
    }
    // An entry, the agent of the target that it waits for, and another entry whose gossip it uses.
    static std::vector<std::string> threeProcesses(std::int64_t agentSkewMs, std::int64_t otherSkewMs)
    {
        ProcessLog entry("front-a", "entry", 17);
        ProcessLog agent("side-3", "agent", 40, agentSkewMs);
        ProcessLog other("front-b", "entry", 18, otherSkewMs);
        entry.add(0, "store.lost", "", {{"topic", "desired"}});
        entry.add(100, "store.regained", "", {{"topic", "desired"}});
        entry.add(110, "target.shunned", "", {{"target", "i-9"}, {"reason", "target_silent"}});
        other.add(900, "allowance.changed", "", {{"customer", "yard"}, {"share", 0.5}, {"msg", 6}});
        other.add(950, "allowance.changed", "", {{"customer", "other"}, {"share", 0.1}, {"msg", 7}});
        entry.add(1000, "allowance.changed", "", {{"customer", "yard"}, {"heard_inc", 18}, {"heard_msg", 7}});
        entry.add(1100, "request.queued", "r1", {{"customer", "yard"}, {"item", "ash"}, {"target", "i-3"}});
        agent.add(1110, "agent.order", "", {{"target", "i-3"}, {"item", "ash"}, {"msg", 11}});
        agent.add(1120, "agent.order", "", {{"target", "i-3"}, {"item", "elm"}, {"msg", 12}});
        agent.add(1800, "agent.outcome", "", {{"target", "i-3"}, {"item", "ash"}, {"msg", 19}});
        const Json sent = {{"attempt", 1}, {"target", "i-3"}, {"heard_inc", 40}, {"heard_msg", 19}};
        entry.add(1810, "request.sent", "r1", sent);
        entry.add(1815, "request.sent", "r2", sent);
        entry.add(1900, "request.cut", "r1", {{"attempt", 1}, {"target", "i-3"}, {"reason", "connection_lost"}});
        agent.add(9000, "target.lost", "", {{"target", "i-3"}, {"msg", 25}});
        return {agent.text(), entry.text(), other.text()};
    }
};

TEST(Explain, threeProcessesWithSkewedClocks_tellOneStoryByCause)
{
    const char *expected = "front-a store.regained\n"
                           "front-b allowance.changed\n"
                           "front-a allowance.changed\n"
                           "front-a request.queued\n"
                           "side-3 agent.order\n"
                           "side-3 agent.order\n"
                           "side-3 agent.outcome\n"
                           "front-a request.sent\n"
                           "front-a request.cut\n";
    STRCMP_EQUAL(expected, joined(explain("r1", threeProcesses(0, 0))).c_str());
    CHECK(story.lags.empty());
    // A clock that is ahead contradicts the causes, so that the story knows the host for late.
    const std::vector<std::string> skewed = explain("r1", threeProcesses(-1500, 300));
    CHECK_FALSE(story.contradictory);
    LONGS_EQUAL(1, story.lags.size());
    STRCMP_EQUAL("front-a", story.lags[0].host.c_str());
    LONGS_EQUAL(1490, story.lags[0].ms);
    const auto place = [&skewed](const std::string &event) {
        return std::ranges::find(skewed, event) - skewed.begin();
    };
    CHECK(place("front-b allowance.changed") < place("front-a allowance.changed"));
    CHECK(place("side-3 agent.outcome") < place("front-a request.sent"));
    LONGS_EQUAL(9, skewed.size());
}

TEST(Explain, anySkew_neverPutsAnEffectBeforeItsCauseNorALineOutOfItsProcessOrder)
{
    constexpr std::uint32_t Seed = 3;
    std::mt19937 random(Seed);
    std::uniform_int_distribution<std::int64_t> skew(-1900, 1900);
    for (int round = 0; round < 500; ++round) {
        (void)explain("r1", threeProcesses(skew(random), skew(random)));
        std::vector<std::int64_t> newest(processes.size(), -1);
        for (std::size_t place = 0; place < story.lines.size(); ++place) {
            const SelectedLine &selected = story.lines[place].selected;
            const auto line = static_cast<std::int64_t>(selected.line);
            CHECK_TEXT(line > newest[selected.process], "seed 3");
            newest[selected.process] = line;
            CHECK_TEXT(std::ranges::all_of(story.lines[place].causes, [place](std::size_t at) { return at < place; }),
                       "seed 3");
        }
        CHECK_TEXT(!story.contradictory, "seed 3");
    }
}

TEST(Explain, circleOfCauses_isToldAsItIs)
{
    ProcessLog one("a", "entry", 1);
    ProcessLog two("b", "entry", 2);
    one.add(0, "request.sent", "r", {{"msg", 1}, {"heard_inc", 2}, {"heard_msg", 1}});
    two.add(0, "request.suspected", "r", {{"msg", 1}, {"heard_inc", 1}, {"heard_msg", 1}});
    LONGS_EQUAL(2, explain("r", {one.text(), two.text()}).size());
    CHECK(story.contradictory);
    CHECK(storyText(processes, story, "r").find("circle") != std::string::npos);
}

TEST(Explain, processEndedInMidStream_showsItsNextStart)
{
    ProcessLog ended("front-a", "entry", 17);
    ProcessLog next("front-a", "entry", 18);
    ended.add(0, "request.sent", "r", {{"attempt", 1}, {"target", "i-3"}});
    ended.add(40, "request.sent", "r2", {{"attempt", 1}, {"target", "i-3"}});
    next.add(300, "process.start", "", Json::object());
    STRCMP_EQUAL("front-a request.sent\nfront-a process.start\n",
                 joined(explain("r", {next.text(), ended.text()})).c_str());
    const std::string text = storyText(processes, story, "r");
    CHECK(text.find("no line tells the end: the newest line of front-a (entry) came 40 ms after") != std::string::npos);
}

TEST(Explain, allowanceSpentHere_showsWhoHeldTheRest)
{
    ProcessLog entry("front-a", "entry", 17);
    ProcessLog other("front-b", "entry", 18);
    other.add(0, "allowance.changed", "", {{"customer", "yard"}, {"share", 0.5}});
    other.add(10, "allowance.changed", "", {{"customer", "yard"}, {"share", 0.9}});
    other.add(20, "allowance.changed", "", {{"customer", "else"}, {"share", 0.9}});
    entry.add(60'000, "request.refused", "r", {{"reason", "allowance"}, {"customer", "yard"}});
    entry.add(60'001, "request.refused", "r2", {{"reason", "no_target"}, {"customer", "yard"}});
    const std::vector<std::string> logs{entry.text(), other.text()};
    STRCMP_EQUAL("front-b allowance.changed\nfront-a request.refused\n", joined(explain("r", logs)).c_str());
    LONGS_EQUAL(1, story.lines[0].selected.line);
    STRCMP_EQUAL("front-a request.refused\n", joined(explain("r2", logs)).c_str());
}

TEST(Explain, lineAboutAllAllowances_belongsToEveryCustomerAndFromOtherEntriesOnlyToOneThatSpentIt)
{
    ProcessLog entry("front-a", "entry", 17, 1200);
    ProcessLog other("front-b", "entry", 18, -900);
    other.add(59'000, "allowance.changed", "", {{"share", 0.5}, {"msg", 6}});
    entry.add(59'900, "allowance.changed", "", {{"share", 1}, {"heard_inc", 18}, {"heard_msg", 7}});
    entry.add(60'000, "request.refused", "r", {{"reason", "allowance"}, {"customer", "yard"}});
    entry.add(60'001, "request.refused", "r2", {{"reason", "no_target"}, {"customer", "yard"}});
    entry.add(60'002, "request.refused", "r3", {{"reason", "malformed"}});
    const std::vector<std::string> logs{entry.text(), other.text()};
    STRCMP_EQUAL("front-b allowance.changed\nfront-a allowance.changed\nfront-a request.refused\n",
                 joined(explain("r", logs)).c_str());
    STRCMP_EQUAL("front-a allowance.changed\nfront-a request.refused\n", joined(explain("r2", logs)).c_str());
    STRCMP_EQUAL("front-a request.refused\n", joined(explain("r3", logs)).c_str());
}

// What one topic of the store does must not hide another, and only what came before the refusal counts.
TEST(Explain, refusalForStaleKeys_leadsBackToTheTopicThatWasLost)
{
    ProcessLog entry("front-a", "entry", 17, -700);
    ProcessLog agent("side-3", "agent", 40, 1800);
    entry.add(0, "state.applied", "", {{"state_version", 7}});
    entry.add(10, "keys.fresh", "", {{"age_ms", 3}, {"state_version", 7}});
    entry.add(500, "store.lost", "", {{"topic", "desired"}, {"status", 503}, {"silent_ms", 2000}});
    entry.add(520, "store.lost", "", {{"topic", "targets"}, {"status", 0}, {"silent_ms", 900}});
    entry.add(900, "store.regained", "", {{"topic", "targets"}, {"lost_ms", 1280}});
    agent.add(600, "store.lost", "", {{"topic", "desired"}, {"status", 503}});
    agent.add(700, "target.lost", "", {{"target", "i-3"}, {"msg", 4}});
    entry.add(4500, "keys.stale", "", {{"age_ms", 4500}, {"bound_ms", 4500}, {"state_version", 7}});
    entry.add(4600, "request.refused", "r", {{"reason", "keys_stale"}, {"keys_age_ms", 4600}});
    entry.add(4700, "store.regained", "", {{"topic", "desired"}, {"lost_ms", 6200}});
    entry.add(4710, "keys.fresh", "", {{"age_ms", 2}});
    STRCMP_EQUAL("front-a state.applied\nfront-a store.lost\nfront-a store.regained\nfront-a keys.stale\n"
                 "front-a request.refused\n",
                 joined(explain("r", {agent.text(), entry.text()})).c_str());
    const std::string text = storyText(processes, story, "r");
    CHECK(text.find("topic=desired status=503 silent_ms=2000") != std::string::npos);
    CHECK(text.find("see store.lost, keys.stale; keys_age_ms") != std::string::npos);
}

// A queued request whose agent could not load is told by both, whatever their clocks say.
TEST(Explain, declinedItem_standsBetweenTheWaitAndTheRefusal)
{
    for (const std::int64_t skew : {-1900, 0, 1900}) {
        ProcessLog entry("front-a", "entry", 17);
        ProcessLog agent("side-3", "agent", 40, skew);
        ProcessLog other("front-b", "entry", 18, -skew);
        entry.add(0, "peer.lost", "", {{"peer", "10.0.0.9"}});
        entry.add(100, "request.queued", "r", {{"item", "huge"}, {"target", "i-3"}, {"msg", 8}});
        Json declined = {{"target", "i-3"}, {"item", "huge"}, {"reason", "no_room"}, {"msg", 5}};
        declined.update({{"heard_inc", 17}, {"heard_msg", 9}});
        agent.add(110, "agent.declined", "", declined);
        other.add(110, "target.shunned", "", {{"target", "i-8"}, {"reason", "unreachable"}});
        entry.add(120, "peer.lost", "", {{"peer", "10.0.0.8"}});
        const Json refused = {{"reason", "too_late"}, {"target", "i-3"}, {"heard_inc", 40}, {"heard_msg", 5}};
        entry.add(130, "request.refused", "r", refused);
        const std::string events = joined(explain("r", {other.text(), agent.text(), entry.text()}));
        CHECK(events.find("front-a request.queued\n") == 0);
        CHECK(events.find("side-3 agent.declined\n") < events.find("front-a request.refused\n"));
        CHECK(events.find("front-a peer.lost\n") != std::string::npos);
        CHECK_EQUAL(4U, story.lines.size());
        CHECK_FALSE(story.contradictory);
    }
}

TEST(Explain, text_marksRequestLinesAndExplainsTheEnd)
{
    (void)explain("r1", threeProcesses(-1500, 0));
    const std::string text = storyText(processes, story, "r1");
    for (const char *part : {"The clock of front-a is at least 1490 ms behind.",
                             "request.cut        attempt=1 target=i-3 reason=connection_lost",
                             "+800 ms  front-a  entry  request.cut",
                             "end: request.cut at front-a, reason connection_lost",
                             "the request may have run; see target.lost"}) {
        CHECK_TEXT(text.find(part) != std::string::npos, part);
    }
    std::istringstream lines(storyJsonLines(processes, story));
    std::size_t count = 0;
    for (std::string line; std::getline(lines, line);) {
        LONGS_EQUAL(++count, Json::parse(line)["place"].get<std::size_t>());
    }
    LONGS_EQUAL(9, count);
}

TEST(Explain, command_readsRealLogsAndNamesWhatItCouldNotRead)
{
    std::array<char, 32> name{"/tmp/unit-explain-XXXXXX"};
    const int file = mkstemp(name.data());
    CHECK(file >= 0);
    CHECK(write(file, "{\"ready\": true}\nnoise\n", 22) == 22);
    const std::string id = "odd \xFF id " + std::string(300, 'x');
    {
        DecisionLog log({"front-a", "entry", 1}, file);
        log.write(DecisionEvent::RequestRefused, TimePoint(), id, {{"reason", reasons::KeysStale}});
    }
    (void)close(file);
    std::ostringstream out;
    std::ostringstream err;
    LONGS_EQUAL(0, static_cast<int>(runExplain({id, {name.data()}, false}, out, err)));
    CHECK(out.str().find("reason keys_stale") != std::string::npos);
    STRCMP_EQUAL("2 of 3 lines are not of this format and were left out\n", err.str().c_str());
    LONGS_EQUAL(1, static_cast<int>(runExplain({id, {name.data(), "/missing"}, true}, out, err)));
    CHECK(err.str().find("/missing cannot be read") != std::string::npos);
    LONGS_EQUAL(1, static_cast<int>(runExplain({"unknown", {name.data()}, false}, out, err)));
    CHECK(err.str().find("no line is about request unknown") != std::string::npos);
    (void)unlink(name.data());
}

// The page is the operators' only description of the lines.
TEST(Explain, operationsPage_namesEveryEventAndReason)
{
    std::ifstream page(std::string(CELERYROUTE_SOURCE_DIR) + "/docs/OPERATIONS.md");
    std::stringstream text;
    text << page.rdbuf();
    for (const EventDescription &event : EventDescriptions) {
        const std::string row = "| `" + std::string(event.name) + "` |";
        CHECK_TEXT(text.str().find(row) != std::string::npos, row.c_str());
    }
    for (const ReasonDescription &reason : ReasonDescriptions) {
        const std::string row = "| `" + std::string(reason.name) + "` |";
        CHECK_TEXT(text.str().find(row) != std::string::npos, row.c_str());
    }
}
