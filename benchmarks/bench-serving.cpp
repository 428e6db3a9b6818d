// What one message or one change costs the serving roles, at several sizes. Run by `make bench`.
#include <celeryroute/detail/allowance/customerratelimiter.h>
#include <celeryroute/detail/keeper/modelcontroller.h>
#include <celeryroute/detail/node/demandsender.h>
#include <celeryroute/detail/node/gossipmessages.h>
#include <celeryroute/detail/placement/agentstateview.h>
#include <celeryroute/detail/placement/targettable.h>

#include <benchmark/benchmark.h>
#include <serving.pb.h>

using namespace celeryroute;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start = TimePoint(100s);

std::string numbered(const std::string &name, std::int64_t number)
{
    return name + std::to_string(number);
}

EngineSpec specOf(std::int64_t models)
{
    EngineSpec spec;
    spec.slots = 64;
    spec.cacheTokens = 265000;
    spec.memoryMb = 150000;
    spec.adapterSlots = 8;
    spec.loadsPerSecond = 4;
    for (std::int64_t i = 0; i < models; ++i) {
        spec.models.push_back({numbered("model-", i), 60000, 6s, 700ms, 500ms, 80, 50});
    }
    return spec;
}

constexpr std::int64_t Wanting = 8; // Entries that want something at one target at a time.

// An agent hears range(0) entries in turn, of which each has two calls there; the pool has range(1) models.
void agentMessage(benchmark::State &state)
{
    const EngineSpec spec = specOf(state.range(1));
    TimePoint now = Start;
    ModelController keeper({"host", {}, now, 1'000'000, true, false});
    keeper.setSpec(spec);
    keeper.setFence(1);
    keeper.setInstance("target");
    TargetReport report;
    report.bornMs = 1;
    report.models = {{"model-0", 1, {"a", "b", "c", "d"}}, {"model-1", 1, {"e", "f"}}};
    report.copies.onDisk = {"model-2", "model-3", "model-4"};
    std::int64_t entry = 0;
    while (state.KeepRunning()) {
        now += 1ms;
        report.active = static_cast<std::uint32_t>(entry % 3);
        keeper.noteReport(report, now, now);
        EntryDemand demand{11000, {{"model-0", 1}, {"model-1/e", 1}}, {}};
        const std::int64_t from = entry++ % state.range(0);
        if (from < Wanting) {
            demand.waiting.push_back({"model-1/f", 1, 0, 10ms});
        }
        keeper.noteUsage(numbered("10.0.0.", from), demand, now);
        benchmark::DoNotOptimize(keeper.nextOrder(now));
        benchmark::DoNotOptimize(keeper.status(now));
    }
}
BENCHMARK(agentMessage)->ArgsProduct({{3, 26, 64, 1900}, {31, 140}});

wire::Envelope stateOf(std::int64_t target, std::uint32_t active)
{
    wire::Envelope envelope;
    wire::AgentState &state = *envelope.mutable_agent();
    state.set_instance(numbered("target-", target));
    state.set_born_ms(1);
    state.set_reachable(true);
    state.set_ordering(true);
    for (const std::int64_t model : {target % 140, (target * 7 + 3) % 140}) {
        wire::ResidentModel &resident = *state.add_models();
        resident.set_name(numbered("model-", model));
        resident.add_adapters("adapter-1");
        resident.add_adapters("adapter-2");
    }
    state.add_on_disk(numbered("model-", (target * 5 + 1) % 140));
    state.set_active(active);
    return envelope;
}

TargetRecord recordOf(std::int64_t target)
{
    TargetRecord record;
    record.id = numbered("target-", target);
    record.pool = "engines";
    record.address = "10." + std::to_string(target / 65536) + '.' + std::to_string(target / 256 % 256) + '.'
        + std::to_string(target % 256) + ":9000";
    record.domain = numbered("domain-", target % 25);
    record.slots = 64;
    record.bornMs = 1;
    record.models = {{numbered("model-", target % 140), 1, {}}};
    return record;
}

void fill(TargetTable &table, std::int64_t targets)
{
    ServingState declared;
    declared.pools.push_back({"engines", "", 0, specOf(140)});
    table.setState(declared);
    for (std::int64_t i = 0; i < targets; ++i) {
        table.setRecord(recordOf(i), Start);
    }
}

// An entry with range(0) targets takes in an agent's message with other load figures.
void agentStateHeard(benchmark::State &state)
{
    TargetTable table("entry", "domain-0");
    fill(table, state.range(0));
    TimePoint now = Start;
    std::int64_t target = 0;
    std::uint32_t active = 0;
    while (state.KeepRunning()) {
        now += 1us;
        target = (target + 7919) % state.range(0);
        const wire::Envelope envelope = stateOf(target, ++active % 60);
        benchmark::DoNotOptimize(table.setView(envelope.agent().instance(), toTargetView(envelope.agent()), now));
    }
}
BENCHMARK(agentStateHeard)->Arg(9)->Arg(100)->Arg(1000)->Arg(11000);

// One of range(0) targets leaves the registry and comes back.
void registryChange(benchmark::State &state)
{
    TargetTable table("entry", "domain-0");
    fill(table, state.range(0));
    std::int64_t target = 0;
    while (state.KeepRunning()) {
        target = (target + 7919) % state.range(0);
        const TargetRecord record = recordOf(target);
        benchmark::DoNotOptimize(table.removeRecord(record.id, Start));
        benchmark::DoNotOptimize(table.setRecord(record, Start));
    }
}
BENCHMARK(registryChange)->Arg(9)->Arg(100)->Arg(1000)->Arg(11000);

// A message for the agent of one of range(0) targets is due; the others are due later.
void demandDue(benchmark::State &state)
{
    EventLoop loop;
    std::uint64_t sent = 0;
    DemandSender sender(loop, [&sent](const std::string &) {
        ++sent;
        return false;
    });
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        sender.add(numbered("target-", i));
    }
    loop.turn(1ms);
    std::int64_t target = 0;
    while (state.KeepRunning()) {
        target = (target + 7919) % state.range(0);
        sender.changed(numbered("target-", target), true);
        loop.turn(0ms);
    }
    state.counters["sent"] = benchmark::Counter(static_cast<double>(sent) / static_cast<double>(state.iterations()));
}
BENCHMARK(demandDue)->Arg(9)->Arg(100)->Arg(1000)->Arg(11000);

std::string addressOf(std::int64_t entry)
{
    return "10.1." + std::to_string(entry / 250) + '.' + std::to_string(entry % 250);
}

EntryReport reportOf(std::int64_t sender, std::int64_t entries, std::int64_t customers, std::uint64_t sequence)
{
    EntryReport report;
    report.sender = addressOf(sender);
    report.incarnation = 1'800'000'000'000;
    report.sequence = sequence;
    for (std::int64_t i = 0; i < customers; ++i) {
        report.spent.push_back({numbered("customer-", i), static_cast<double>(sequence * 1000)});
    }
    for (std::int64_t i = 0; i < entries; ++i) {
        if (i != sender) {
            report.members.push_back({addressOf(i), 1'800'000'000'000, sequence, true});
        }
    }
    return report;
}

// An entry takes in a report of one of range(0) entries that spend for range(1) customers.
void gossipHeard(benchmark::State &state)
{
    TimePoint now = Start;
    CustomerRateLimiter pool(addressOf(0), 1'800'000'000'000, {}, now);
    std::vector<ServingCustomer> customers;
    for (std::int64_t i = 0; i < state.range(1); ++i) {
        customers.push_back({numbered("customer-", i), {}, {}, true, 1, 1e6, 1e6});
    }
    pool.setCustomers(customers, now);
    std::vector<wire::EntryGossip> messages;
    for (std::int64_t i = 1; i < state.range(0); ++i) {
        writeReport(reportOf(i, state.range(0), state.range(1), 1), messages.emplace_back());
    }
    std::uint64_t turns = 0;
    const auto hear = [&] {
        const std::size_t sender = turns++ % messages.size();
        const std::uint64_t sequence = 1 + turns / messages.size();
        now += 1us;
        if (sender == 0) {
            pool.makeReport(now);
        }
        wire::Envelope envelope;
        envelope.set_sender(addressOf(static_cast<std::int64_t>(sender) + 1));
        envelope.set_incarnation(1'800'000'000'000);
        *envelope.mutable_gossip() = messages[sender];
        envelope.mutable_gossip()->set_report(sequence);
        return pool.receive(readReport(envelope), now);
    };
    while (turns < messages.size()) {
        hear();
    }
    const std::uint64_t met = turns;
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(hear());
    }
    state.counters["met"] = static_cast<double>(met);
    state.counters["bytes"] = static_cast<double>(messages.front().ByteSizeLong());
}
BENCHMARK(gossipHeard)->ArgsProduct({{4, 26, 64, 1900}, {5, 100}});

} // namespace

BENCHMARK_MAIN();
