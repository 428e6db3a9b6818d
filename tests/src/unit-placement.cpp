// TargetTable, PlainChooser and CallQueue: what an entry knows of targets, and its choice for plain services.
#include <celeryroute/detail/placement/agentstateview.h>
#include <celeryroute/detail/placement/callqueue.h>
#include <celeryroute/detail/placement/plainchooser.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <serving.pb.h>
#include <tuple>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

namespace {

TargetRecord record(int number, const std::string &pool, const std::string &domain = "here")
{
    TargetRecord record;
    record.id = "target-" + std::to_string(number);
    record.pool = pool;
    record.domain = domain;
    record.slots = 6;
    record.bornMs = 1;
    return record;
}

TargetView view(std::int64_t born, const std::vector<std::string> &models)
{
    TargetView view;
    view.bornMs = born;
    for (const std::string &model : models) {
        view.models.push_back({model, 1, {}});
    }
    return view;
}

EngineCall engineCall(const std::string &model, std::uint64_t tokens)
{
    EngineCall call;
    call.pool = "engines";
    call.model = model;
    call.parts = {{"shared", tokens / 2}, {std::to_string(tokens), tokens - tokens / 2}};
    call.promptTokens = tokens;
    call.maxOutputTokens = 10;
    return call;
}

} // namespace

TEST_GROUP(TargetTable)
{
    TargetTable table{"entry", "here"};
    TimePoint now{};

    bool holds(const std::string &model) const
    {
        return table.target("target-1")->model(model, now) != nullptr;
    }
};

TEST(TargetTable, agentAndRegistryDiffer_agentReportIsUsedUntilAgentIsSilent)
{
    TargetRecord said = record(1, "engines");
    said.models = {{"old", 1, {}}};
    table.setRecord(said, now);
    CHECK(holds("old"));
    CHECK(table.setView("target-1", view(1, {"new"}), now) == ChangedModels({"new", "old"}));
    CHECK(holds("new") && !holds("old"));
    CHECK(table.setView("target-1", view(1, {"new"}), now).empty());
    now += 2s;
    CHECK(!holds("new") && holds("old"));
}

TEST(TargetTable, loadMessage_updatesTheReportOfTheSameStateOnly)
{
    table.setRecord(record(1, "engines"), now);
    TargetView told = view(1, {"m"});
    told.state = 7;
    told.loading = {{"n", 900ms}};
    table.setView("target-1", told, now);
    now += 400ms;
    table.setViewLoad("target-1", {6, 9, 9, 9, 9s}, now);
    CHECK(*table.target("target-1")->view == told);
    table.setViewLoad("target-1", {7, 2, 5, 100, 90ms}, now);
    const KnownTarget &target = *table.target("target-1");
    CHECK_EQUAL(2U, target.view->queued);
    CHECK_EQUAL(5U, target.view->active);
    CHECK_EQUAL(100U, target.view->cacheUsed);
    CHECK(target.storeWait(now) == 90ms);
    CHECK(target.loadingFor("n", now) == 500ms);
    CHECK(target.isViewFresh(now + 1900ms) && holds("m"));
    CHECK(table.setViewLoad("unknown", {7, 2, 5, 100, 90ms}, now).empty());
}

TEST(TargetTable, targetRestarts_dataOfPreviousLifetimeIsDiscarded)
{
    struct Row {
        std::int64_t recordBorn;
        std::int64_t viewBorn;
        bool registryModel;
        bool agentModel;
    };
    // Before, the table got a record with start time 1 and model "old", and a view with start time 1 and model "new".
    const Row rows[] = {{1, 1, false, true}, {2, 1, true, false}, {1, 2, false, true}, {2, 0, true, false}};
    for (const Row &row : rows) {
        TargetTable fresh("entry", "here");
        TargetRecord said = record(1, "engines");
        said.models = {{"old", 1, {}}};
        fresh.setRecord(said, now);
        fresh.setView("target-1", view(1, {"new"}), now);
        const CallTicket ticket = fresh.noteSent("target-1", engineCall("new", 100), now);
        said.bornMs = row.recordBorn;
        fresh.setRecord(said, now);
        if (row.viewBorn != 0) {
            fresh.setView("target-1", view(row.viewBorn, {"new"}), now);
        }
        fresh.setRecord(said, now);
        const KnownTarget &target = *fresh.target("target-1");
        CHECK_EQUAL(row.registryModel, target.model("old", now) != nullptr);
        CHECK_EQUAL(row.agentModel, target.model("new", now) != nullptr);
        CHECK_EQUAL(row.recordBorn == 1 && row.viewBorn < 2 ? 1 : 0, static_cast<int>(target.own.calls));
        fresh.noteEnded(ticket, CallEnd::Failed, now);
        CHECK_EQUAL(0, static_cast<int>(target.own.calls));
    }
}

TEST(TargetTable, agentStateMessage_allFieldsAreConverted)
{
    wire::AgentState state;
    state.set_born_ms(7);
    state.set_reachable(true);
    wire::ResidentModel &model = *state.add_models();
    model.set_name("m");
    model.set_version(3);
    model.add_adapters("a1");
    wire::AgentState::Loading &loading = *state.add_loading();
    loading.set_item("n");
    loading.set_remaining_ms(600);
    state.add_on_disk("d");
    state.add_in_memory("h");
    state.set_store_wait_ms(90);
    state.set_queued(2);
    state.set_active(5);
    state.set_cache_used(100);
    state.set_cache_total(1000);
    state.add_declined("x");
    state.set_state(9);
    state.set_leaving(true);
    const TargetView expected{7,
                              true,
                              false,
                              {{"m", 3, {"a1"}}},
                              {{"n", 600ms}},
                              {{"h"}, {"d"}},
                              90ms,
                              2,
                              5,
                              100,
                              1000,
                              {"x"},
                              9,
                              true};
    CHECK(toTargetView(state) == expected);
}

// After each step, the index must equal what the targets hold. After all calls have ended, no load may remain.
TEST(TargetTable, randomEvents_indexAndLoadsStayConsistent)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        TargetTable played("entry", "here");
        std::mt19937_64 random(seed);
        std::vector<CallTicket> open;
        std::int64_t born = 1;
        const auto models = [&random] {
            std::vector<std::string> names;
            for (int i = 0; i < 4; ++i) {
                if (random() % 2 == 0) {
                    names.push_back("m" + std::to_string(i));
                }
            }
            return names;
        };
        for (int step = 0; step < 600; ++step) {
            now += 10ms;
            const int number = static_cast<int>(random() % 5);
            const std::string id = "target-" + std::to_string(number);
            TargetRecord said = record(number, random() % 20 == 0 ? "others" : "engines");
            switch (random() % 7) {
            case 0:
                said.bornMs = random() % 8 == 0 ? ++born : born;
                said.draining = random() % 8 == 0;
                for (const std::string &name : models()) {
                    said.models.push_back({name, 1, {}});
                }
                played.setRecord(said, now);
                break;
            case 1:
                if (random() % 6 == 0) {
                    played.removeRecord(id, now);
                }
                break;
            case 2:
                played.setView(id, view(born, models()), now);
                break;
            case 3:
            case 4:
                if (const CallTicket ticket = played.noteSent(id, engineCall("m1", random() % 9000), now)) {
                    open.push_back(ticket);
                }
                break;
            default:
                if (!open.empty()) {
                    std::swap(open[random() % open.size()], open.back());
                    if (random() % 2 == 0) {
                        played.noteFirstEvent(open.back(), now);
                    } else {
                        played.noteEnded(open.back(), static_cast<CallEnd>(random() % 6), now);
                        open.pop_back();
                    }
                }
            }
            std::map<std::string, std::size_t> holders;
            std::size_t usable = 0;
            for (int i = 0; i < 5; ++i) {
                const KnownTarget *target = played.target("target-" + std::to_string(i));
                if (target != nullptr && target->acceptsCalls() && target->record.pool == "engines") {
                    ++usable;
                    for (const std::string &name : target->indexedModels) {
                        ++holders[name];
                    }
                }
            }
            const TargetPool *pool = played.pool("engines");
            bool same = pool == nullptr || (pool->accepting.size() == usable && pool->holders.size() == holders.size());
            for (const auto &[name, count] : holders) {
                same = same && pool->holdersOf(name)->size() == count;
            }
            if (!same) {
                std::cout << "seed " << seed << " step " << step << '\n';
            }
            CHECK(same);
        }
        for (const CallTicket ticket : open) {
            played.noteEnded(ticket, CallEnd::Abandoned, now);
        }
        for (int i = 0; i < 5; ++i) {
            const KnownTarget *target = played.target("target-" + std::to_string(i));
            const OwnLoad none;
            CHECK(target == nullptr || (target->registered && target->own == none));
        }
        CHECK_EQUAL(0, static_cast<int>(played.pool("engines")->waiting));
        DOUBLES_EQUAL(0, played.pool("engines")->waitingTokens.total(), 1e-6);
    }
}

TEST_GROUP(PlainChooser)
{
    TargetTable table{"entry", "here"};
    PlainChooser chooser{table, 5};
    TimePoint now{};

    void add(int targets, const std::string &domain = "here")
    {
        for (int i = 0; i < targets; ++i) {
            table.setRecord(record(static_cast<int>(table.size()), "plain", domain), now);
        }
    }
    std::string pick(bool repeatable = true, const std::vector<std::string> &excluded = {})
    {
        const PlainVerdict verdict = chooser.choose({"plain", excluded, repeatable}, now);
        const auto *send = std::get_if<SendTo>(&verdict);
        return send != nullptr ? send->target : "";
    }
    /// Sends @p calls calls, one every 50 ms; `answer(target)` returns how each ends and how long it takes.
    /// Returns the number of calls by target.
    std::map<std::string, int> play(int calls,
                                    const std::function<std::pair<CallEnd, Duration>(const std::string &)> &answer)
    {
        std::map<std::string, int> sent;
        for (int i = 0; i < calls; ++i) {
            const std::string target = pick();
            ++sent[target];
            const CallTicket ticket = table.noteSent(target, now);
            const auto [end, time] = answer(target);
            table.noteEnded(ticket, end, now + time);
            now += 50ms;
        }
        return sent;
    }
    static std::pair<CallEnd, Duration> well(const std::string &)
    {
        return {CallEnd::Answered, 30ms};
    }
};

TEST(PlainChooser, noHealthyTarget_refusesOnlyWithoutAnyTarget)
{
    CHECK(std::holds_alternative<Refuse>(chooser.choose({"plain", {}, true}, now)));
    add(1);
    CHECK(std::holds_alternative<Refuse>(chooser.choose({"plain", {"target-0"}, true}, now)));
    table.noteEnded(table.noteSent("target-0", now), CallEnd::Unreachable, now);
    CHECK_EQUAL(std::string("target-0"), pick());
    TargetRecord leaving = record(0, "plain");
    leaving.draining = true;
    table.setRecord(leaving, now);
    CHECK(std::holds_alternative<Refuse>(chooser.choose({"plain", {}, true}, now)));
}

TEST(PlainChooser, targetUnreachable_getsSingleProbesWithExponentialBackoff)
{
    add(3);
    std::vector<TimePoint> probes;
    const TimePoint begin = now;
    play(400, [&](const std::string &target) -> std::pair<CallEnd, Duration> {
        if (target != "target-1") {
            return well(target);
        }
        probes.push_back(now);
        return {CallEnd::Unreachable, 1ms};
    });
    CHECK(probes.size() >= 8 && probes.size() <= 11); // In 20 s, with a backoff that doubles from 0.3 s to 3 s.
    CHECK(probes.back() - probes[probes.size() - 2] >= 3s);
    CHECK(probes.front() - begin < 1s);
    now += 4s;
    const CallTicket probe = table.noteSent(pick(), now);
    for (int i = 0; i < 20; ++i) {
        CHECK(pick() != "target-1"); // The probe is still in flight.
    }
    table.noteEnded(probe, CallEnd::Answered, now);
    CHECK(play(200, well)["target-1"] > 20);
}

TEST(PlainChooser, callNotRepeatable_isNotUsedAsProbe)
{
    add(2);
    table.noteEnded(table.noteSent("target-0", now), CallEnd::Unreachable, now);
    now += 1s;
    for (int i = 0; i < 50; ++i) {
        CHECK_EQUAL(std::string("target-1"), pick(false));
    }
    CHECK_EQUAL(std::string("target-0"), pick(true));
}

TEST(PlainChooser, targetFailsOrIsSlow_isUsedLessUntilItRecovers)
{
    std::mt19937_64 random(3);
    add(3);
    const auto failing = [&](const std::string &target) -> std::pair<CallEnd, Duration> {
        return target == "target-1" && random() % 2 == 0 ? std::pair<CallEnd, Duration>(CallEnd::Failed, 5ms)
                                                         : well(target);
    };
    play(100, failing);
    const int bad = play(400, failing)["target-1"];
    CHECK(bad > 0 && bad < 60);
    play(600, well);
    CHECK(play(300, well)["target-1"] > 60);
    const auto slow = [](const std::string &target) -> std::pair<CallEnd, Duration> {
        return {CallEnd::Answered, target == "target-2" ? 400ms : 30ms};
    };
    play(50, slow);
    CHECK(play(400, slow)["target-2"] < 30);
    play(500, well);
    CHECK(play(300, well)["target-2"] > 60);
}

TEST(PlainChooser, loadsDiffer_lessLoadedAndNearerTargetIsPreferred)
{
    add(1, "here");
    add(1, "there");
    for (int i = 0; i < 20; ++i) {
        CHECK_EQUAL(std::string("target-0"), pick());
    }
    table.noteLoad("target-0", {4, 0, 6}, now);
    CHECK_EQUAL(std::string("target-1"), pick());
    table.noteLoad("target-0", {6, 3, 6}, now);
    table.noteLoad("target-1", {6, 3, 6}, now);
    CHECK(std::holds_alternative<WaitForRoom>(chooser.choose({"plain", {}, true}, now)));
    now += 5s; // The reported loads have decayed.
    CHECK_EQUAL(std::string("target-0"), pick());
}

TEST(PlainChooser, largePool_oneOfManyEntriesUsesASubsetAndASingleEntryNearlyAll)
{
    add(1000);
    table.setEntries(400);
    const std::map<std::string, int> few = play(2000, well);
    CHECK(few.size() >= 12 && few.size() <= 16);
    for (const auto &[target, calls] : few) {
        CHECK(calls < 2000 / 5);
    }
    table.setEntries(1);
    CHECK(play(20000, well).size() > 700);
}

TEST_GROUP(CallQueue)
{
    CallQueue queue;
};

TEST(CallQueue, randomCalls_orderIndexAndExpiryMatchReferenceModel)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CallQueue played;
        std::mt19937_64 random(seed);
        std::vector<WaitingCall> model; // In the order of arrival.
        TimePoint now{};
        const auto before = [](const WaitingCall &left, const WaitingCall &right) {
            return std::tie(left.priority, left.deadline) < std::tie(right.priority, right.deadline);
        };
        for (std::uint64_t step = 1; step <= 500; ++step) {
            now += 1ms;
            const std::uint64_t number = random() % 3 == 0 ? random() % step : step;
            const auto same = [number](const WaitingCall &call) { return call.call == number; };
            const auto known = std::find_if(model.begin(), model.end(), same);
            if (random() % 4 == 0) {
                CHECK_EQUAL(known != model.end(), played.remove(number));
                std::erase_if(model, same);
            } else {
                const std::string item = "m" + std::to_string(random() % 3) + (random() % 2 == 0 ? "/a1" : "");
                const WaitingCall call{number,
                                       "engines",
                                       item,
                                       random() % 2 == 0 ? "" : "target-" + std::to_string(random() % 2),
                                       static_cast<std::uint32_t>(random() % 3),
                                       now,
                                       now + std::chrono::milliseconds(random() % 100)};
                played.put(call);
                if (known != model.end()) {
                    *known = call;
                } else {
                    model.push_back(call);
                }
            }
            std::vector<WaitingCall> expired = played.takeExpired(now);
            const auto gone = std::erase_if(model, [now](const WaitingCall &call) { return call.deadline <= now; });
            CHECK_EQUAL(static_cast<std::size_t>(gone), expired.size());
            std::vector<WaitingCall> ranked = model;
            std::stable_sort(ranked.begin(), ranked.end(), before);
            std::vector<std::uint64_t> all;
            std::vector<std::uint64_t> ofModel;
            std::size_t room = 0;
            std::uint32_t wanted = 0;
            for (const WaitingCall &call : ranked) {
                const bool asksModel = call.item.substr(0, 2) == "m1";
                all.push_back(call.call);
                if (asksModel) {
                    ofModel.push_back(call.call);
                }
                room += asksModel && call.loadTarget.empty() && call.priority <= 1 ? 1 : 0;
                wanted += call.loadTarget == "target-1" ? 1 : 0;
            }
            for (const DemandedItem &want : played.demandAt("target-1")) {
                wanted -= want.calls;
            }
            const bool equal = played.inOrder(1000) == all && played.waitingFor("engines", "m1", 1000) == ofModel
                && played.waitingForRoom("engines", "m1", 1) == room && wanted == 0 && played.size() == model.size();
            if (!equal) {
                std::cout << "seed " << seed << " step " << step << '\n';
            }
            CHECK(equal);
        }
    }
}

TEST(CallQueue, callsWaitForItem_demandHasHighestPriorityAndOldestArrival)
{
    const TimePoint now{};
    queue.put({1, "engines", "m/a", "target", 3, now + 1s, now + 9s});
    queue.put({2, "engines", "m/a", "target", 1, now + 2s, now + 9s});
    queue.put({3, "engines", "m", "target", 2, now, now + 9s});
    const std::vector<DemandedItem> expected = {{"m", 1, 2, now}, {"m/a", 2, 1, now + 1s}};
    CHECK(queue.demandAt("target") == expected);
    CHECK(queue.nextDeadline() == now + 9s);
    queue.put({2, "engines", "m", "other", 1, now + 2s, now + 9s});
    CHECK_EQUAL(1U, queue.demandAt("target")[1].calls);
}
