// EngineChooser: single decisions for calls to model engines, and simulated fleets in virtual time.
#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/placement/enginechooser.h>

#include <iostream>
#include <placementsimulation.h>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

namespace {

constexpr int Targets = 6;

/// An entry with six targets. All instances get the same reports; no target holds the model "wanted" at the start.
struct TestEntry {
    explicit TestEntry(const std::string &name)
        : table(name, "here")
        , chooser(table, stableHash(name))
    {
        ServingState state;
        EngineSpec spec;
        spec.slots = 8;
        spec.cacheTokens = 50000;
        spec.memoryMb = 100;
        spec.adapterSlots = 2;
        for (const std::string model : {"wanted", "base", "other"}) {
            spec.models.push_back({model, 60, 6s, 700ms, 500ms, 4, 1});
        }
        spec.models.push_back({"huge", 200, 6s, 700ms, 500ms, 0, 0});
        state.pools.push_back({"engines", "", 0, spec});
        table.setState(state);
        for (int i = 0; i < Targets; ++i) {
            TargetRecord record;
            record.id = std::to_string(i);
            record.pool = "engines";
            record.domain = "here";
            record.bornMs = 1;
            table.setRecord(record, now);
            views.emplace_back();
            views.back().bornMs = 1;
            report(i);
        }
    }

    void report(int target)
    {
        table.setView(std::to_string(target), views[static_cast<std::size_t>(target)], now);
    }
    TargetView &view(int target)
    {
        return views[static_cast<std::size_t>(target)];
    }
    void addModel(int target, const std::string &model, std::uint64_t version = 1)
    {
        view(target).models.push_back({model, version, {}});
        report(target);
    }
    EngineVerdict verdict(const EngineCall &call)
    {
        return chooser.choose(call, now).verdict;
    }
    std::string chosenTarget(const EngineCall &call)
    {
        const EngineVerdict chosen = verdict(call);
        const auto *send = std::get_if<SendTo>(&chosen);
        return send != nullptr ? send->target : "";
    }
    WaitForLoad awaitedLoad(const EngineCall &call)
    {
        const EngineVerdict chosen = verdict(call);
        const auto *wait = std::get_if<WaitForLoad>(&chosen);
        return wait != nullptr ? *wait : WaitForLoad{};
    }

    TimePoint now{};
    std::vector<TargetView> views;
    TargetTable table;
    EngineChooser chooser;
};

EngineCall callFor(const std::string &model, const std::string &subject = "subject", const std::string &adapter = "")
{
    EngineCall call;
    call.pool = "engines";
    call.model = model;
    call.adapter = adapter;
    call.parts = {{"all", 2000}, {subject, 4000}, {"own", 3000}};
    call.promptTokens = 9000;
    call.maxOutputTokens = 100;
    call.remaining = 5s;
    call.targetLatency = 1s;
    return call;
}

} // namespace

TEST_GROUP(EngineChooser)
{
    TestEntry front{"entry-0"};
    TestEntry other{"entry-1"};
};

TEST(EngineChooser, holderWithALimit_getsTheCallOnlyForAPermit)
{
    front.addModel(0, "wanted");
    front.table.limits().noteAnswer("0", {1, 2, front.now});
    CHECK_TRUE(std::get<WaitForRoom>(front.verdict(callFor("wanted"))).permitTarget == "0");
    front.table.limits().addPermits("0", 1, front.now + 500ms);
    STRCMP_EQUAL("0", front.chosenTarget(callFor("wanted")).c_str());
    front.table.limits().use("0", front.now);
    front.table.limits().expectPermit("0", front.now + 8s);
    CHECK_TRUE(std::get<Refuse>(front.verdict(callFor("wanted"))) == (Refuse{8s, RefuseReason::TargetLimit, "0"}));
}

TEST(EngineChooser, holderWithALimitBesideOneWithout_isPassedOver)
{
    front.addModel(0, "wanted");
    front.addModel(1, "wanted");
    front.table.limits().noteAnswer("0", {1, 2, front.now});
    for (int i = 0; i < 10; ++i) {
        STRCMP_EQUAL("1", front.chosenTarget(callFor("wanted", std::to_string(i))).c_str());
    }
}

TEST(EngineChooser, modelCannotBeServed_refusesWithReason)
{
    EngineCall call = callFor("unheard");
    CHECK(std::get<Refuse>(front.verdict(call)).reason == RefuseReason::UnknownModel);
    call.pool = "nowhere";
    CHECK(std::get<Refuse>(front.verdict(call)).reason == RefuseReason::NoTargets);
    CHECK(std::get<Refuse>(front.verdict(callFor("huge"))).reason == RefuseReason::TooLarge);
    front.addModel(1, "base", 4);
    call = callFor("base");
    call.weightsVersion = 3;
    CHECK(std::get<Refuse>(front.verdict(call)).reason == RefuseReason::VersionUnavailable);
    call.weightsVersion = 4;
    CHECK_EQUAL(std::string("1"), front.chosenTarget(call));
    call.excluded = {"1"};
    CHECK(front.chosenTarget(call).empty());
}

TEST(EngineChooser, adapterCanNeverBeLoaded_refusesAtOnce)
{
    for (int i = 0; i < Targets; ++i) {
        front.addModel(i, "base");
    }
    EngineSpec spec = *front.table.pool("engines")->engine;
    spec.models[1].memoryMb = 99.5; // An adapter of 1 MB does not fit beside it.
    ServingState state;
    state.pools.push_back({"engines", "", 0, spec});
    front.table.setState(state);
    CHECK(std::get<Refuse>(front.verdict(callFor("base", "subject", "a1"))).reason == RefuseReason::TooLarge);
    CHECK(!front.chosenTarget(callFor("base")).empty());
    spec.models[1].memoryMb = 60;
    spec.adapterSlots = 0;
    state.pools.front().engine = spec;
    front.table.setState(state);
    CHECK(std::get<Refuse>(front.verdict(callFor("base", "subject", "a1"))).reason == RefuseReason::TooLarge);
    front.view(3).models.front().adapters = {"a1"};
    front.report(3);
    CHECK_EQUAL(std::string("3"), front.chosenTarget(callFor("base", "subject", "a1")));
}

TEST(EngineChooser, agentsReportStoreWaits_requestsFromAgentThatMayLoadNow)
{
    for (int i = 0; i < Targets; ++i) {
        front.view(i).storeWait = i == 4 ? 0s : 20s;
        front.report(i);
    }
    EngineCall call = callFor("wanted");
    call.remaining = 10s;
    CHECK_EQUAL(std::string("4"), front.awaitedLoad(call).target);
    CHECK(front.awaitedLoad(call).expected <= 6s);
}

TEST(EngineChooser, prefixWasSentToTarget_laterCallsGoThere)
{
    std::set<std::string> homes;
    for (int i = 0; i < Targets; ++i) {
        front.addModel(i, "base");
        other.addModel(i, "base");
    }
    for (int i = 0; i < 20; ++i) {
        EngineCall call = callFor("base", "subject-" + std::to_string(i));
        call.parts.erase(call.parts.begin());
        const std::string home = front.chosenTarget(call);
        CHECK_EQUAL(home, other.chosenTarget(call)); // The entries do not communicate.
        homes.insert(home);
        EngineCall moved = call;
        moved.excluded = {home};
        const std::string second = front.chosenTarget(moved);
        const CallTicket ticket = front.table.noteSent(second, moved, front.now);
        front.table.noteFirstEvent(ticket, front.now + 300ms);
        front.table.noteEnded(ticket, CallEnd::Answered, front.now + 400ms);
        CHECK_EQUAL(second, front.chosenTarget(call));
    }
    CHECK(homes.size() >= 4);
}

TEST(EngineChooser, modelNotResident_allEntriesRequestFromFastestSource)
{
    struct Row {
        std::vector<int> inMemory;
        std::vector<int> onDisk;
        std::vector<int> full; ///< Targets with a model in use.
        std::vector<int> declining;
        std::set<std::string> expected;
        Duration ready;
    };
    const Row rows[] = {
        {{}, {}, {}, {}, {"0", "1", "2", "3", "4", "5"}, 6s},
        {{}, {3, 4}, {}, {}, {"3", "4"}, 700ms},
        {{2}, {3}, {}, {}, {"2", "3"}, 500ms},
        {{}, {3, 4}, {3}, {}, {"4"}, 700ms},
        {{}, {3, 4}, {}, {4}, {"3"}, 700ms},
        {{}, {4}, {}, {4}, {"4"}, 1700ms},
    };
    for (const Row &row : rows) {
        std::set<std::string> asked;
        for (const std::string name : {"a", "b", "c", "d"}) {
            TestEntry entry(name);
            for (const int target : row.inMemory) {
                entry.view(target).copies.inMemory = {"wanted"};
            }
            for (const int target : row.onDisk) {
                entry.view(target).copies.onDisk = {"wanted"};
            }
            for (const int target : row.declining) {
                entry.view(target).declined = {"wanted"};
            }
            for (const int target : row.full) {
                entry.addModel(target, "base");
            }
            for (int i = 0; i < Targets; ++i) {
                entry.report(i);
            }
            for (int i = 0; i < 20 && !row.full.empty(); ++i) {
                entry.chosenTarget(callFor("base"));
            }
            EngineCall call = callFor("wanted");
            call.remaining = 10s;
            const WaitForLoad wait = entry.awaitedLoad(call);
            CHECK_EQUAL(std::string("wanted"), wait.item);
            CHECK(row.expected.contains(wait.target));
            CHECK(wait.expected <= row.ready + 1ms);
            asked.insert(wait.target);
        }
        CHECK_EQUAL(1, static_cast<int>(asked.size()));
    }
}

TEST(EngineChooser, loadUnderWay_waitsForIt)
{
    front.view(2).copies.onDisk = {"wanted"};
    front.report(2);
    const std::string asked = front.awaitedLoad(callFor("wanted")).target;
    CHECK_EQUAL(std::string("2"), asked);
    front.view(4).copies.inMemory = {"wanted"};
    front.report(4);
    CHECK_EQUAL(asked, front.awaitedLoad(callFor("wanted")).target);
    front.view(5).loading = {{"wanted", 200ms}};
    front.report(5);
    CHECK(front.awaitedLoad(callFor("wanted")) == (WaitForLoad{"wanted", "5", 200ms}));
    front.now += 100ms;
    CHECK(front.awaitedLoad(callFor("wanted")).expected == 100ms);
    front.view(5).loading.clear();
    front.report(5);
    front.now += 3s; // The agent that was asked first reports no load.
    for (int i = 0; i < Targets; ++i) {
        front.report(i);
    }
    CHECK_EQUAL(std::string("4"), front.awaitedLoad(callFor("wanted")).target);
}

TEST(EngineChooser, loadTakesTooLong_refusesAtOnceAndRequestsLoad)
{
    front.view(2).copies.onDisk = {"wanted"};
    front.report(2);
    EngineCall call = callFor("wanted");
    call.remaining = 800ms;
    const EngineDecision decision = front.chooser.choose(call, front.now);
    CHECK(std::get<Refuse>(decision.verdict) == (Refuse{700ms, RefuseReason::TooLate}));
    CHECK(decision.extraLoad == LoadRequest({"wanted", "2"}));
}

TEST(EngineChooser, severalLoadsRequestedFromOneTarget_eachIsReadyOneLoadAfterTheOneBefore)
{
    constexpr int Models = 12;
    EngineSpec spec = *front.table.pool("engines")->engine;
    for (int i = 0; i < Models; ++i) {
        spec.models.push_back({"model-" + std::to_string(i), 5, 6s, 700ms, 500ms, 0, 0});
    }
    ServingState state;
    state.pools.push_back({"engines", "", 0, spec});
    front.table.setState(state);
    for (int i = 0; i < Models; ++i) {
        EngineCall call = callFor("model-" + std::to_string(i));
        call.excluded = {"1", "2", "3", "4", "5"};
        CHECK(std::get<Refuse>(front.verdict(call)) == (Refuse{(i + 1) * 6s, RefuseReason::TooLate}));
    }
}

TEST(EngineChooser, adapterNotLoaded_isRequestedFromFewHolders)
{
    std::set<std::string> asked;
    for (int i = 0; i < Targets; ++i) {
        front.addModel(i, "base");
        other.addModel(i, "base");
    }
    for (int i = 0; i < 10; ++i) {
        const EngineCall call = callFor("base", "subject-" + std::to_string(i), "a1");
        const WaitForLoad wait = front.awaitedLoad(call);
        CHECK_EQUAL(std::string("base/a1"), wait.item);
        CHECK(wait.expected <= 10ms);
        asked.insert(wait.target);
        asked.insert(other.awaitedLoad(call).target);
    }
    CHECK(asked.size() <= 3);
    const int holder = std::stoi(*asked.begin());
    front.view(holder).models.front().adapters = {"a1"};
    front.report(holder);
    CHECK_EQUAL(std::to_string(holder), front.chosenTarget(callFor("base", "subject-0", "a1")));
}

TEST(EngineChooser, holderLoadsModel_adaptersAreRequestedElsewhereOrRefused)
{
    front.addModel(0, "base");
    front.addModel(1, "base");
    for (int busy = 0; busy < 2; ++busy) {
        front.view(busy).loading = {{"other", 5s}};
        front.report(busy);
        front.view(1 - busy).loading.clear();
        front.report(1 - busy);
        for (int i = 0; i < 10; ++i) {
            const EngineCall call = callFor("base", "subject", "a" + std::to_string(i % 4));
            CHECK_EQUAL(std::to_string(1 - busy), front.awaitedLoad(call).target);
        }
    }
    front.view(0).loading = {{"other", 5s}};
    front.report(0);
    EngineCall call = callFor("base", "subject", "a1");
    call.remaining = 10s;
    CHECK(front.awaitedLoad(call).expected >= 5s);
    call.remaining = 3s;
    CHECK(std::holds_alternative<Refuse>(front.verdict(call)));
}

TEST(EngineChooser, holdersFull_waitsForRoomAndLargestCallIsServed)
{
    front.addModel(1, "base");
    EngineCall large = callFor("base");
    large.promptTokens = 49000;
    std::vector<CallTicket> tickets;
    for (std::string target = front.chosenTarget(callFor("base")); !target.empty();
         target = front.chosenTarget(callFor("base"))) {
        tickets.push_back(front.table.noteSent(target, callFor("base"), front.now));
        front.table.noteFirstEvent(tickets.back(), front.now);
    }
    CHECK_EQUAL(5, static_cast<int>(tickets.size())); // Each needs 9,100 of the 50,000 tokens.
    CHECK(std::holds_alternative<WaitForRoom>(front.verdict(callFor("base"))));
    CHECK(std::holds_alternative<WaitForRoom>(front.verdict(large)));
    for (const CallTicket ticket : tickets) {
        CHECK(front.table.noteEnded(ticket, CallEnd::Answered, front.now) == ChangedModels({"base"}));
    }
    CHECK_EQUAL(std::string("1"), front.chosenTarget(large));
}

TEST(EngineChooser, holderOverloaded_requestsFurtherReplicaOnce)
{
    front.addModel(1, "base");
    front.view(2).copies.onDisk = {"base"};
    front.report(2);
    std::vector<LoadRequest> wants;
    for (int i = 0; i < 20; ++i) {
        front.now += 10ms;
        const EngineCall call = callFor("base", "subject-" + std::to_string(i));
        const EngineDecision decision = front.chooser.choose(call, front.now);
        if (const auto *send = std::get_if<SendTo>(&decision.verdict)) {
            front.table.noteSent(send->target, call, front.now);
        } else if (const auto *wait = std::get_if<WaitForLoad>(&decision.verdict)) {
            CHECK_EQUAL(std::string("2"), wait->target);
        }
        if (decision.extraLoad) {
            wants.push_back(*decision.extraLoad);
        }
    }
    CHECK(wants == std::vector<LoadRequest>({{"base", "2"}}));
}

TEST(EngineChooser, onlyHolderEjected_anotherTargetLoadsOrHolderIsProbed)
{
    front.addModel(1, "wanted");
    front.table.noteEnded(front.table.noteSent("1", callFor("wanted"), front.now), CallEnd::Unreachable, front.now);
    CHECK(front.verdict(callFor("wanted"))
          == EngineVerdict(WaitForRoom{300ms})); // A load from the weight store is expensive.
    front.view(3).copies.onDisk = {"wanted"};
    front.report(3);
    CHECK_EQUAL(std::string("3"), front.awaitedLoad(callFor("wanted")).target);
    front.now += 400ms;
    front.report(1);
    CHECK_EQUAL(std::string("1"), front.chosenTarget(callFor("wanted")));
}

TEST(EngineChooser, agentSaysThatTheHolderLeaves_allEntriesRequestTheModelElsewhere)
{
    for (TestEntry *entry : {&front, &other}) {
        entry->view(3).copies.onDisk = {"wanted"};
        entry->report(3);
        entry->addModel(0, "wanted");
        CHECK_EQUAL(std::string("0"), entry->chosenTarget(callFor("wanted")));
        entry->view(0).leaving = true;
        entry->report(0);
        CHECK_EQUAL(std::string("3"), entry->awaitedLoad(callFor("wanted")).target);
    }
}

TEST_GROUP(PlacementRun)
{
    simulation::EngineFleet fleet;

    simulation::PlacementOutcome play(simulation::PlacementStrategy strategy = simulation::PlacementStrategy::Chooser)
    {
        fleet.strategy = strategy;
        const simulation::PlacementOutcome outcome = simulation::PlacementRun(fleet).run();
        std::cout << "seed " << fleet.seed;
        for (const auto &[name, of] : outcome.classes) {
            std::cout << ", " << name << " in time " << outcome.inTime(name) << " served " << outcome.served(name);
        }
        std::cout << ", loads " << outcome.loads << " from the store " << outcome.storeLoads << '\n';
        return outcome;
    }
};

TEST(PlacementRun, usualTraffic_nearlyAllInTimeAndNoLoadFromStore)
{
    for (fleet.seed = 1; fleet.seed <= 3; ++fleet.seed) {
        fleet.classes[1].shiftEvery = 20;
        fleet.classes[1].shiftOver = fleet.models;
        const simulation::PlacementOutcome outcome = play();
        CHECK(outcome.inTime("rare") > 0.98);
        CHECK(outcome.inTime("busy") > 0.92);
        CHECK(outcome.inTime("chat") > 0.98);
        CHECK_EQUAL(0, outcome.storeLoads);
        for (const auto &[item, calls] : outcome.items) {
            CHECK(calls.second > 0);
        }
    }
}

TEST(PlacementRun, threefoldTraffic_moreInTimeThanBaselines)
{
    fleet.scale = 3;
    fleet.seconds = 60;
    const simulation::PlacementOutcome ours = play();
    CHECK(ours.served("busy") > 0.98);
    for (const auto strategy : {simulation::PlacementStrategy::Random, simulation::PlacementStrategy::LeastLoaded}) {
        const simulation::PlacementOutcome baseline = play(strategy);
        CHECK(ours.inTime("busy") > baseline.inTime("busy") + 0.1);
        CHECK(ours.inTime("rare") > baseline.inTime("rare") - 0.02);
    }
}

TEST(PlacementRun, sixfoldTraffic_noModelStarves)
{
    fleet.scale = 6;
    fleet.seconds = 60;
    const simulation::PlacementOutcome outcome = play();
    CHECK(outcome.inTime("chat") > 0.9); // The most urgent class.
    CHECK(outcome.served("busy") > 0.3);
    for (const auto &[item, calls] : outcome.items) {
        CHECK(calls.second > 0);
    }
    const auto share = [&outcome](const std::string &size) {
        const auto &[calls, served] = outcome.sizes.at(size);
        return static_cast<double>(served) / calls;
    };
    CHECK(share("large") > share("usual") / 2);
}

TEST(PlacementRun, targetSlowFailingOrCrashed_getsFewCallsAndOthersAreServed)
{
    struct Row {
        double slow;
        double failing;
        double crashAt;
        double mostSends; ///< Upper bound of the share of calls that go to the bad target.
    };
    const Row rows[] = {{6, 0, 0, 0.06}, {1, 0.5, 0, 0.04}, {1, 0, 30, 0.01}};
    for (const Row &row : rows) {
        fleet.slowTarget = row.slow;
        fleet.failingTarget = row.failing;
        fleet.crashAt = row.crashAt;
        fleet.seconds = 60;
        const simulation::PlacementOutcome outcome = play();
        std::cout << "share of the bad target " << static_cast<double>(outcome.onBadTarget) / outcome.sends << '\n';
        CHECK(outcome.onBadTarget <= row.mostSends * outcome.sends);
        CHECK(outcome.served("rare") > 0.98);
        CHECK(outcome.inTime("busy") > 0.93);
    }
}
