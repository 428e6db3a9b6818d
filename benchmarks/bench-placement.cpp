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

// Two sizes of fleets; range(0): a PlacementWay, range(1): traffic in tenths of the usual.
void report(benchmark::State &state, simulation::EngineFleet fleet)
{
    fleet.seed = Seed;
    fleet.way = static_cast<simulation::PlacementWay>(state.range(0));
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
    state.counters["spare_loads_per_s"] = outcome.spareLoads / fleet.seconds;
    state.counters["store_loads"] = outcome.storeLoads;
    state.counters["read_share"] = outcome.readTokens / outcome.promptTokens;
    state.counters["full"] = outcome.full;
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

// One call sent and answered among range(0) targets that hold 2 of 140 models each.
void engineChoice(benchmark::State &state)
{
    constexpr std::int64_t Models = 140;
    TargetBook book("entry", "domain-0");
    ServingState declared;
    EngineSpec spec;
    spec.slots = 64;
    spec.cacheTokens = 265000;
    spec.memoryMb = 150000;
    for (std::int64_t i = 0; i < Models; ++i) {
        spec.models.push_back({"model-" + std::to_string(i), 60000, 6s, 700ms, 500ms, 80, 50});
    }
    declared.pools.push_back({"engines", "", 0, spec});
    book.setState(declared);
    const TimePoint now{};
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        TargetRecord one = record(i, "engines");
        one.models = {{spec.models[static_cast<std::size_t>(i % Models)].name, 1, {}},
                      {spec.models[static_cast<std::size_t>((i * 7 + 3) % Models)].name, 1, {}}};
        one.copies.onDisk = {spec.models[static_cast<std::size_t>((i * 5 + 1) % Models)].name,
                             spec.models[static_cast<std::size_t>((i * 11 + 9) % Models)].name};
        book.setRecord(one, now);
    }
    EngineChooser chooser(book, Seed);
    std::mt19937_64 random(Seed);
    std::uint64_t sent = 0;
    while (state.KeepRunning()) {
        EngineCall call;
        call.pool = "engines";
        call.model = spec.models[random() % std::min<std::uint64_t>(Models, static_cast<std::uint64_t>(state.range(0)))]
                         .name;
        call.parts = {{"shared", 2000}, {std::to_string(random() % 500), 4300}, {std::to_string(random()), 2890}};
        call.promptTokens = 9190;
        call.maxOutputTokens = 100;
        call.remaining = 5s;
        call.targetLatency = 800ms;
        const EngineDecision decision = chooser.choose(call, now);
        if (const auto *send = std::get_if<SendTo>(&decision.verdict)) {
            const CallTicket ticket = book.noteSent(send->target, call, now);
            book.noteFirstEvent(ticket, now + 100ms);
            book.noteEnded(ticket, CallEnd::Answered, now + 500ms);
            ++sent;
        }
    }
    state.counters["sent"] = benchmark::Counter(static_cast<double>(sent) / static_cast<double>(state.iterations()));
}
BENCHMARK(engineChoice)->Arg(9)->Arg(100)->Arg(1000)->Arg(11000);

// A model that no target holds; range(0) targets.
void loadChoice(benchmark::State &state)
{
    TargetBook book("entry", "domain-0");
    ServingState declared;
    EngineSpec spec;
    spec.slots = 64;
    spec.cacheTokens = 265000;
    spec.memoryMb = 150000;
    for (int i = 0; i < 140; ++i) {
        spec.models.push_back({"model-" + std::to_string(i), 60000, 6s, 700ms, 500ms, 80, 50});
    }
    declared.pools.push_back({"engines", "", 0, spec});
    book.setState(declared);
    const TimePoint now{};
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        TargetRecord one = record(i, "engines");
        one.models = {{"model-0", 1, {}}, {"model-1", 1, {}}};
        one.copies.onDisk = {"model-2"};
        book.setRecord(one, now);
    }
    LoadPlanner planner(book);
    const std::vector<std::string> excluded;
    TargetPool &pool = *book.pool("engines");
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(planner.plan(pool, spec.models[2], {&excluded, 5, 1, false}, now));
    }
}
BENCHMARK(loadChoice)->Arg(9)->Arg(100)->Arg(1000)->Arg(11000);

void plainChoice(benchmark::State &state)
{
    TargetBook book("entry", "domain-0");
    const TimePoint now{};
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        book.setRecord(record(i, "plain"), now);
    }
    PlainChooser chooser(book, Seed);
    const PlainAsk ask{"plain", {}, true};
    while (state.KeepRunning()) {
        const PlainVerdict verdict = chooser.choose(ask, now);
        book.noteEnded(book.noteSent(std::get<SendTo>(verdict).target, now), CallEnd::Answered, now + 30ms);
    }
}
BENCHMARK(plainChoice)->Arg(9)->Arg(100)->Arg(1000)->Arg(11000);

} // namespace

BENCHMARK_MAIN();
