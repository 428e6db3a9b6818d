#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/state/fold.h>
#include <celeryroute/detail/state/snapshot.h>

#include <benchmark/benchmark.h>

using namespace celeryroute;

namespace {
constexpr int Models = 140;
constexpr int Hosts = 2000;
constexpr int KeyCount = 500;
constexpr int ModelsPerPool = 10;

// Pools of ten models each, with the adapters spread evenly; one grant for each model and adapter.
FleetState fleet(int adapters)
{
    StateTables tables;
    Revision revision = 0;
    for (int i = 0; i < Models; ++i) {
        const std::string poolName = "pool" + std::to_string(i / ModelsPerPool);
        PoolSpec &pool = tables.pools.edit()[poolName].value;
        pool.name = poolName;
        ModelSpec model{"model" + std::to_string(i), 16000, 4, 1, {}};
        for (int j = i; j < adapters; j += Models) {
            model.adapters.push_back({"adapter" + std::to_string(j), 64, 2, 1});
            const std::string name = model.name + "/" + model.adapters.back().name;
            const std::string host = "host" + std::to_string(j % Hosts);
            const AuthorityHolder holder{host, host + "-0123456789abcdef", ++revision, false};
            tables.authorities.insertOrAssign(authorityKey(poolName, name), {poolName, name, revision, {holder}});
        }
        pool.models.push_back(std::move(model));
    }
    for (int i = 0; i < Hosts / 10; ++i) {
        tables.drains.insertOrAssign("host" + std::to_string(i), {true, ++revision});
    }
    for (int i = 0; i < KeyCount; ++i) {
        tables.keys.insertOrAssign(sha256(std::to_string(i)), {{"customer", "label", false}, ++revision});
    }
    for (std::uint64_t i = 0; i < RecentIdWindow; ++i) {
        tables.recentIds.insertOrAssign(toHex(sha256(std::to_string(i))).substr(0, 24), ++revision);
    }
    tables.nextOffset = revision;
    return FleetState(std::move(tables));
}

proto::LogRecord grantRecord(std::uint64_t number, int adapters)
{
    const int adapter = static_cast<int>(number % static_cast<std::uint64_t>(adapters));
    proto::LogRecord record;
    record.set_id("record" + std::to_string(number));
    record.set_format(1);
    proto::AuthorityItem &item = *record.mutable_authority_change()->add_items();
    item.set_pool("pool" + std::to_string(adapter % Models / ModelsPerPool));
    item.set_model("model" + std::to_string(adapter % Models) + "/adapter" + std::to_string(adapter));
    item.set_host("host-x");
    item.set_incarnation("host-x-1");
    item.set_action(number % 2 == 0 ? proto::GRANT : proto::RELEASE);
    item.set_base_revision(UINT64_MAX);
    return record;
}

// Every record is published, the dearest case: each fold then copies the shards that it writes.
void foldOneRecord(benchmark::State &run)
{
    const int adapters = static_cast<int>(run.range(0));
    FleetState state = fleet(adapters);
    std::uint64_t number = 0;
    while (run.KeepRunning()) {
        const FleetState published = state;
        const std::uint64_t offset = state.nextOffset();
        proto::LogRecord record = grantRecord(number++, adapters);
        const Authority *authority = state.authority(record.authority_change().items(0).pool(),
                                                     record.authority_change().items(0).model());
        record.mutable_authority_change()->mutable_items(0)->set_base_revision(authority->revision);
        state = fold(std::move(state), record, offset).state;
        benchmark::DoNotOptimize(published.nextOffset());
    }
}
BENCHMARK(foldOneRecord)->RangeMultiplier(2)->Range(1500, 12000)->Arg(12000);

void writeSnapshot(benchmark::State &run)
{
    const FleetState state = fleet(static_cast<int>(run.range(0)));
    std::size_t bytes = 0;
    std::size_t parts = 0;
    while (run.KeepRunning()) {
        bytes = 0;
        const std::vector<proto::StateSnapshot> snapshot = toSnapshot(state, "snapshot");
        for (const proto::StateSnapshot &part : snapshot) {
            bytes += part.SerializeAsString().size();
        }
        parts = snapshot.size();
    }
    run.counters["bytes"] = static_cast<double>(bytes);
    run.counters["parts"] = static_cast<double>(parts);
}
BENCHMARK(writeSnapshot)->RangeMultiplier(2)->Range(1500, 12000)->Arg(12000)->Unit(benchmark::kMillisecond);

void readSnapshot(benchmark::State &run)
{
    std::vector<std::string> records;
    for (const proto::StateSnapshot &part : toSnapshot(fleet(static_cast<int>(run.range(0))), "snapshot")) {
        records.push_back(part.SerializeAsString());
    }
    while (run.KeepRunning()) {
        std::vector<proto::StateSnapshot> parts;
        for (const std::string &bytes : records) {
            parts.emplace_back().ParseFromString(bytes);
        }
        const std::uint64_t offset = handleErrors(
            [&parts]() -> Result<std::uint64_t> {
                BOOST_LEAF_AUTO(state, fromSnapshot(parts));
                return state.nextOffset();
            },
            [](const Error &) { return std::uint64_t{0}; });
        if (offset == 0) {
            run.SkipWithError("the snapshot cannot be read");
            break;
        }
    }
}
BENCHMARK(readSnapshot)->RangeMultiplier(2)->Range(1500, 12000)->Arg(12000)->Unit(benchmark::kMillisecond);

void copyState(benchmark::State &run)
{
    const FleetState state = fleet(12000);
    while (run.KeepRunning()) {
        FleetState copy = state;
        benchmark::DoNotOptimize(copy);
    }
}
BENCHMARK(copyState);
} // namespace

BENCHMARK_MAIN();
