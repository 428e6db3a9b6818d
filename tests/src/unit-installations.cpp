// Simulated installations of different sizes, in virtual time: 2 to 40 targets, with much or little memory, with and
// without adapters, and with different numbers of zones and rates of the weight store.
#include <celeryroute/detail/placement/plainchooser.h>

#include <iostream>
#include <placementsimulation.h>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

TEST_GROUP(Installations)
{
    simulation::EngineFleet fleet;

    void setup() override
    {
        fleet.seconds = 60;
        fleet.shareStoreRate = true;
    }
    /// Sets the traffic: many calls for the first @p busyModels models and few for the others.
    void setTraffic(double scale, int busyModels)
    {
        const int first = fleet.models > busyModels ? busyModels : 0;
        fleet.classes[0].firstModel = first;
        fleet.classes[0].models = fleet.models - first;
        fleet.classes[1].models = busyModels;
        fleet.classes[2].models = busyModels;
        fleet.scale = scale;
    }
    simulation::PlacementOutcome play(const std::string &name)
    {
        const simulation::PlacementOutcome outcome = simulation::PlacementRun(fleet).run();
        std::cout << name << ", seed " << fleet.seed;
        for (const auto &[kind, of] : outcome.classes) {
            std::cout << ", " << kind << " in time " << outcome.inTime(kind) << " served " << outcome.served(kind);
        }
        std::cout << ", loads " << outcome.loads << " from the store " << outcome.storeLoads << ", asked "
                  << outcome.loadRequests << ", idle refusals " << outcome.refusalsWithIdleHolder << '\n';
        CHECK(outcome.maxMemoryMb <= fleet.memoryMb);
        return outcome;
    }
};

TEST(Installations, differentSizes_noModelStarvesAndNoHolderIsIdle)
{
    struct Row {
        std::string name;
        double memoryMb;
        double scale;
        double maxLoads; ///< Loads per second.
        int targets;
        int models;
        int copies;
        int zones;
        std::uint32_t adapterSlots;
        int busyModels;
    };
    const Row rows[] = {
        {"2 targets, 3 models", 200000, 0.22, 0.1, 2, 3, 2, 1, 0, 1},
        {"2 targets, 3 models, one copy each", 200000, 0.22, 0.1, 2, 3, 1, 1, 0, 1},
        {"2 targets, 3 models, memory for one", 75000, 0.22, 1, 2, 3, 2, 1, 0, 1},
        {"2 targets, 60 models", 200000, 0.15, 1, 2, 60, 2, 1, 8, 2},
        {"9 targets, 31 models, one zone, no adapters", 200000, 1, 2, 9, 31, 4, 1, 0, 5},
        {"9 targets, 31 models, memory for one", 75000, 0.5, 2, 9, 31, 9, 3, 8, 5},
        {"40 targets, 60 models", 200000, 4, 1, 40, 60, 4, 3, 8, 5},
        {"40 targets, 60 models, memory for one", 75000, 2, 4, 40, 60, 4, 1, 0, 5},
    };
    for (const Row &row : rows) {
        fleet.targets = row.targets;
        fleet.models = row.models;
        fleet.memoryMb = row.memoryMb;
        fleet.copies = row.copies;
        fleet.zones = row.zones;
        fleet.adapterSlots = row.adapterSlots;
        fleet.classes[1].adapters = row.adapterSlots > 0 ? 2 : 0;
        setTraffic(row.scale, row.busyModels);
        for (fleet.seed = 1; fleet.seed <= 2; ++fleet.seed) {
            const simulation::PlacementOutcome outcome = play(row.name);
            for (const auto &[model, calls] : outcome.items) {
                CHECK(calls.second > 0);
            }
            for (const auto &[kind, of] : outcome.classes) {
                CHECK(outcome.served(kind) > 0.98);
                CHECK(outcome.inTime(kind) > 0.9);
            }
            LONGS_EQUAL(0, outcome.refusalsWithIdleHolder);
            CHECK(outcome.loads <= row.maxLoads * fleet.seconds);
        }
    }
}

TEST(Installations, noAdapterSlots_callsForAdaptersAreRefusedAtOnce)
{
    fleet.adapterSlots = 0;
    fleet.classes[1].adapters = 2;
    setTraffic(1, 5);
    const simulation::PlacementOutcome outcome = play("no adapter slots");
    CHECK(outcome.served("busy") > 0.6); // Three quarters of the calls need no adapter.
    CHECK(outcome.served("rare") > 0.98);
    for (const auto &[model, seconds] : outcome.refusedAfter) {
        DOUBLES_EQUAL(0, seconds, 0);
    }
}

TEST(Installations, slowWeightStore_reportedWaitsReduceLoadRequests)
{
    fleet.targets = 40;
    fleet.models = 60;
    fleet.copies = 0;
    fleet.storeLoadsPerSecond = 0.2;
    fleet.seconds = 15;
    setTraffic(4, 5);
    fleet.reportStoreWaits = false;
    const simulation::PlacementOutcome unreported = play("store waits are not reported");
    fleet.reportStoreWaits = true;
    const simulation::PlacementOutcome reported = play("store waits are reported");
    CHECK(reported.loadRequests * 20 < unreported.loadRequests);
}

TEST(Installations, modelsLargerThanTarget_areRefusedAtOnceAndOthersServed)
{
    fleet.oversizedModels = 2;
    setTraffic(1, 5);
    const simulation::PlacementOutcome outcome = play("two models too large");
    for (const auto &[model, calls] : outcome.items) {
        const bool large = model == "model-29" || model == "model-30";
        CHECK_EQUAL(large, calls.second == 0);
        CHECK(!large || outcome.refusedAfter.at(model) == 0);
    }
    CHECK(outcome.served("busy") > 0.98);
    LONGS_EQUAL(0, outcome.refusalsWithIdleHolder);
}

TEST(Installations, largePlainPool_nearlyAllTargetsGetCalls)
{
    constexpr int Targets = 200;
    constexpr int Entries = 64;
    std::set<std::string> used;
    for (int entry = 0; entry < Entries; ++entry) {
        TargetTable table("entry-" + std::to_string(entry), "here");
        table.setEntries(Entries);
        for (int i = 0; i < Targets; ++i) {
            TargetRecord record;
            record.id = "target-" + std::to_string(i);
            record.pool = "plain";
            record.slots = 6;
            record.bornMs = 1;
            table.setRecord(record, {});
        }
        PlainChooser chooser(table, static_cast<std::uint64_t>(entry));
        for (int call = 0; call < 1000; ++call) {
            used.insert(std::get<SendTo>(chooser.choose({"plain", {}, true}, {})).target);
        }
    }
    CHECK(used.size() > Targets * 0.9);
}

TEST(Installations, plainPoolNearlyFull_lastTargetWithRoomIsFound)
{
    struct Row {
        int targets;
        int maxTries;
    };
    for (const auto &[targets, maxTries] : {Row{1, 0}, Row{2, 0}, Row{16, 0}, Row{17, 0}, Row{40, 0}, Row{64, 0}}) {
        TargetTable table("entry", "here");
        const TimePoint now{};
        for (int i = 0; i < targets; ++i) {
            TargetRecord record;
            record.id = std::to_string(i);
            record.pool = "plain";
            record.slots = 1;
            record.bornMs = 1;
            table.setRecord(record, now);
            if (i != targets / 2) {
                for (int call = 0; call < 2; ++call) {
                    table.noteSent(record.id, now);
                }
            }
        }
        PlainChooser chooser(table, 1);
        // In an entry, a call that finds no room waits and is decided on again every 50 ms.
        int tries = 0;
        while (!std::holds_alternative<SendTo>(chooser.choose({"plain", {}, true}, now))) {
            CHECK_TEXT(++tries <= maxTries, std::to_string(targets).c_str());
        }
    }
}
