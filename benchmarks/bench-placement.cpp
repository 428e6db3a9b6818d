// What the entry's choice of targets earns beside random and least-loaded choice, in virtual time,
// and the time of single decisions. Run by `make bench`.
#include <celeryroute/detail/placement/enginechooser.h>
#include <celeryroute/detail/placement/plainchooser.h>

#include <benchmark/benchmark.h>
#include <placementsimulation.h>

using namespace celeryroute;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seed = 11;

// Two sizes of fleets; range(0): a PlacementStrategy, range(1): traffic in tenths of the usual.
void report(benchmark::State &state, simulation::EngineFleet fleet)
{
    fleet.seed = Seed;
    fleet.strategy = static_cast<simulation::PlacementStrategy>(state.range(0));
    fleet.scale = static_cast<double>(state.range(1)) / 10;
    simulation::PlacementOutcome outcome;
    while (state.KeepRunning()) {
        outcome = simulation::PlacementRun(fleet).run();
    }
    for (const auto &[name, result] : outcome.classes) {
        state.counters[name + "_in_time"] = outcome.inTime(name);
        state.counters[name + "_served"] = outcome.served(name);
    }
    state.counters["loads_per_s"] = outcome.loads / fleet.seconds;
    state.counters["spare_loads_per_s"] = outcome.replicaLoads / fleet.seconds;
    state.counters["store_loads"] = outcome.storeLoads;
    state.counters["read_share"] = outcome.prefillTokens / outcome.promptTokens;
    state.counters["full"] = outcome.refusedFull;
    state.counters["asked_per_s"] = outcome.loadRequests / fleet.seconds;
}

void mixOnFewLargeTargets(benchmark::State &state)
{
    report(state, {});
}
BENCHMARK(mixOnFewLargeTargets)->ArgsProduct({{0, 1, 2}, {10, 30, 60}})->Iterations(1)->Unit(benchmark::kMillisecond);

void mixOnManySmallTargets(benchmark::State &state)
{
    simulation::EngineFleet fleet;
    fleet.targets = 18;
    fleet.models = 33;
    fleet.memoryMb = 140000;
    fleet.entries = 3;
    fleet.storeLoadsPerSecond = 4.2;
    fleet.classes = {
        {"rare", 5, 6, 27, 0, 0, 6300, 2890, 52, 2.5, 15, 1, 0, 3},
        {"busy", 11.6, 0, 6, 40, 33, 6300, 2890, 52, 0.8, 5, 2, 2, 20},
        {"chat", 14.8, 0, 6, 40, 33, 198, 628, 292, 0.6, 15, 0, 0, 40},
    };
    report(state, fleet);
}
BENCHMARK(mixOnManySmallTargets)->ArgsProduct({{0, 1, 2}, {10, 30, 60}})->Iterations(1)->Unit(benchmark::kMillisecond);

// The busy models have more holders than are compared for one call.
void mixOnManyTargets(benchmark::State &state)
{
    constexpr double Times = 22;
    simulation::EngineFleet fleet;
    fleet.targets = 200;
    fleet.entries = 8;
    fleet.copies = 90;
    fleet.busyReplicas = 90;
    fleet.storeLoadsPerSecond = 35;
    fleet.seconds = 40;
    for (simulation::CallClass &kind : fleet.classes) {
        kind.perSecond *= Times;
        kind.subjects *= static_cast<int>(Times);
    }
    report(state, fleet);
}
BENCHMARK(mixOnManyTargets)->ArgsProduct({{0, 1, 2}, {10, 30, 60}})->Iterations(1)->Unit(benchmark::kMillisecond);

TargetRecord record(std::int64_t number, const std::string &pool)
{
    TargetRecord record;
    record.id = "target-" + std::to_string(number);
    record.pool = pool;
    record.domain = "domain-" + std::to_string(number % 25);
    record.slots = 64;
    record.bornMs = 1;
    return record;
}

EngineSpec specOf(std::int64_t models)
{
    EngineSpec spec;
    spec.slots = 64;
    spec.cacheTokens = 265000;
    spec.memoryMb = 150000;
    spec.adapterSlots = 8;
    for (std::int64_t i = 0; i < models; ++i) {
        spec.models.push_back({"model-" + std::to_string(i), 60000, 6s, 700ms, 500ms, 80, 50});
    }
    return spec;
}

// One call sent and answered among range(0) targets that hold 2 of range(1) models each; a quarter of
// the calls is for one of range(2) adapters, of which each target holds two.
void engineChoice(benchmark::State &state)
{
    const std::int64_t models = state.range(1);
    const std::int64_t adapters = state.range(2);
    TargetTable table("entry", "domain-0");
    ServingState declared;
    const EngineSpec spec = specOf(models);
    declared.pools.push_back({"engines", "", 0, spec});
    table.setState(declared);
    const TimePoint now{};
    const auto name = [&spec, models](std::int64_t number) {
        return spec.models[static_cast<std::size_t>(number % models)].name;
    };
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        TargetRecord one = record(i, "engines");
        one.models = {{name(i), 1, {"adapter-" + std::to_string(i % adapters)}},
                      {name(i * 7 + 3), 1, {"adapter-" + std::to_string(i * 3 % adapters)}}};
        one.copies.onDisk = {name(i * 5 + 1), name(i * 11 + 9)};
        table.setRecord(one, now);
    }
    EngineChooser chooser(table, Seed);
    std::mt19937_64 random(Seed);
    std::uint64_t sent = 0;
    while (state.KeepRunning()) {
        EngineCall call;
        call.pool = "engines";
        call.model = name(static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(state.range(0))));
        if (random() % 4 == 0) {
            call.adapter = "adapter-" + std::to_string(random() % static_cast<std::uint64_t>(adapters));
        }
        call.parts = {{"shared", 2000}, {std::to_string(random() % 500), 4300}, {std::to_string(random()), 2890}};
        call.promptTokens = 9190;
        call.maxOutputTokens = 100;
        call.remaining = 5s;
        call.targetLatency = 800ms;
        const EngineDecision decision = chooser.choose(call, now);
        if (const auto *send = std::get_if<SendTo>(&decision.verdict)) {
            const CallTicket ticket = table.noteSent(send->target, call, now);
            table.noteFirstEvent(ticket, now + 100ms);
            table.noteEnded(ticket, CallEnd::Answered, now + 500ms);
            ++sent;
        }
    }
    state.counters["sent"] = benchmark::Counter(static_cast<double>(sent) / static_cast<double>(state.iterations()));
}
BENCHMARK(engineChoice)->ArgsProduct({{9, 100, 1000, 11000}, {31, 140}, {42, 12000}});

// One of range(1) models that no target holds, in turn; range(0) targets.
void loadChoice(benchmark::State &state)
{
    TargetTable table("entry", "domain-0");
    ServingState declared;
    const EngineSpec spec = specOf(state.range(1));
    declared.pools.push_back({"engines", "", 0, spec});
    table.setState(declared);
    TimePoint now{};
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        TargetRecord one = record(i, "engines");
        one.models = {{spec.models[0].name, 1, {}}, {spec.models.back().name, 1, {}}};
        one.copies.onDisk = {spec.models[2].name};
        table.setRecord(one, now);
    }
    LoadPlanner planner(table);
    const std::vector<std::string> excluded;
    TargetPool &pool = *table.pool("engines");
    std::size_t turn = 0;
    while (state.KeepRunning()) {
        now += 10ms;
        const EngineModel &model = spec.models[1 + turn++ % (spec.models.size() - 2)];
        if (const auto plan = planner.plan(pool, model, {&excluded, 20, 1, false}, now)) {
            planner.noteRequested(pool, model, *plan, now);
        }
    }
}
BENCHMARK(loadChoice)->ArgsProduct({{9, 100, 1000, 11000}, {31, 140}});

void plainChoice(benchmark::State &state)
{
    TargetTable table("entry", "domain-0");
    const TimePoint now{};
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        table.setRecord(record(i, "plain"), now);
    }
    PlainChooser chooser(table, Seed);
    const PlainServiceCall ask{"plain", {}, true};
    while (state.KeepRunning()) {
        const PlainVerdict verdict = chooser.choose(ask, now);
        table.noteEnded(table.noteSent(std::get<SendTo>(verdict).target, now), CallEnd::Answered, now + 30ms);
    }
}
BENCHMARK(plainChoice)->Arg(9)->Arg(100)->Arg(1000)->Arg(11000);

} // namespace

BENCHMARK_MAIN();
