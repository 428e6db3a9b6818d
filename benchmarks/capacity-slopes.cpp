#include <celeryroute/detail/allowance/customerratelimiter.h>
#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/node/gossipmessages.h>
#include <celeryroute/detail/placement/targettable.h>
#include <celeryroute/detail/platform/hostlistformat.h>
#include <celeryroute/detail/state/snapshot.h>

#include <nlohmann/json.hpp>
#include <peer.pb.h>
#include <records.pb.h>
#include <serving.pb.h>

#include <cstdio>
#include <malloc.h>

using namespace celeryroute;

// Prints the sizes that docs/CAPACITY.md rests on, as JSON. They depend on the message formats and on
// nothing else, so that a check can compare them exactly. With `--memory` it prints the heap bytes of
// the agreed state per adapter instead, with `--serving-memory` those of an entry's parts: they depend on
// the allocator.
namespace {

constexpr int FewAdapters = 1'000;
constexpr int ManyAdapters = 2'000;
constexpr int FewItems = 100;
constexpr int ManyItems = 200;

const std::string &sampleIncarnation()
{
    static const std::string Incarnation = "host-1234.0123456789ab";
    return Incarnation;
}

proto::Envelope envelope()
{
    proto::Envelope made;
    made.set_sender(sampleIncarnation());
    made.set_state_offset(1'000'000);
    made.set_logical_time(1'000'000'000);
    return made;
}

std::size_t heartbeatBytes()
{
    proto::Envelope message = envelope();
    message.mutable_heartbeat()->set_sequence(1'000'000);
    message.mutable_heartbeat()->set_confirmed_age_ms(500);
    return message.ByteSizeLong();
}

std::size_t heartbeatReplyBytes(int models)
{
    proto::Envelope message = envelope();
    proto::HeartbeatReply &reply = *message.mutable_heartbeat_reply();
    reply.set_sequence(1'000'000);
    reply.set_host("host-1234");
    reply.set_domain("domain-12");
    reply.set_pool("pool-123");
    proto::TargetLoad &load = *reply.mutable_load();
    load.set_running(30);
    load.set_queued(10);
    load.set_max_concurrent(64);
    load.set_tokens_per_second(2000);
    load.set_queued_tokens(10'000);
    load.set_memory_mb(80'000);
    load.set_memory_used_mb(70'000);
    load.set_target_healthy(true);
    for (int i = 0; i < models; ++i) {
        proto::ModelResidency &item = *load.add_models();
        item.set_model("model-123/adapter-12345");
        item.set_phase(proto::ModelResidency::RESIDENT);
        item.set_memory_mb(64);
        item.set_expected_load_ms(1000);
    }
    return message.ByteSizeLong();
}

proto::LogRecord record()
{
    proto::LogRecord made;
    made.set_id(std::string(24, 'a'));
    made.set_format(1);
    made.set_author(sampleIncarnation());
    made.set_wall_time_ms(1'800'000'000'000);
    return made;
}

std::size_t routeChangeBytes()
{
    proto::LogRecord made = record();
    proto::ItemChange &change = *made.mutable_declaration_change()->add_changes();
    change.set_base_revision(1'000'000);
    proto::Route &route = *change.mutable_route();
    route.set_name("route-1234");
    route.set_pool("pool-123");
    route.add_models("*");
    for (int i = 0; i < 3; ++i) {
        route.add_customers("customer-123");
    }
    route.set_urgency(proto::INTERACTIVE);
    route.set_deadline_ms(30'000);
    route.set_repeatable(true);
    return made.ByteSizeLong();
}

std::size_t authorityChangeBytes(int items)
{
    proto::LogRecord made = record();
    for (int i = 0; i < items; ++i) {
        proto::AuthorityItem &item = *made.mutable_authority_change()->add_items();
        item.set_pool("pool-123");
        item.set_model("model-123/adapter-12345");
        item.set_host("host-1234");
        item.set_incarnation(sampleIncarnation());
        item.set_action(proto::GRANT);
        item.set_base_revision(1'000'000);
    }
    return made.ByteSizeLong();
}

std::size_t claimBatchBytes(int items)
{
    proto::LogRecord made = record();
    for (int i = 0; i < items; ++i) {
        proto::ClaimItem &item = *made.mutable_claim_batch()->add_items();
        item.set_action(proto::CLAIM);
        item.set_customer("customer-123");
        item.set_route("route-1234");
        item.set_key_digest(std::string(32, 'k'));
        item.set_request_digest(std::string(32, 'r'));
        item.set_claim_id(std::string(24, 'c'));
        item.set_entry(sampleIncarnation());
        item.set_wall_time_ms(1'800'000'000'000);
    }
    return made.ByteSizeLong();
}

std::size_t shareDivisionBytes(int entries)
{
    proto::LogRecord made = record();
    for (int i = 0; i < entries; ++i) {
        proto::EntryShare &share = *made.mutable_share_division()->add_shares();
        share.set_incarnation(sampleIncarnation());
        share.set_fraction(0.01);
    }
    return made.ByteSizeLong();
}

// One pool with the given number of adapters, each granted to two hosts.
FleetState stateWith(int adapters)
{
    StateTables tables;
    PoolSpec pool;
    pool.name = "pool-123";
    pool.models.push_back({"model-123", 16'000, 4, 1, {}});
    for (int i = 0; i < adapters; ++i) {
        const std::string adapter = "adapter-" + std::to_string(10'000 + i);
        pool.models.back().adapters.push_back({adapter, 64, 2, 1});
        const std::string name = "model-123/" + adapter;
        Authority authority{pool.name, name, 1'000'000, {}};
        for (const char *host : {"host-1234", "host-1235"}) {
            authority.holders.push_back({host, sampleIncarnation(), 1'000'000, false});
        }
        tables.authorities.insertOrAssign(authorityKey(pool.name, name), authority);
    }
    tables.pools.edit()[pool.name] = {pool, 1};
    return FleetState(std::move(tables));
}

std::size_t snapshotBytes(int adapters)
{
    std::size_t bytes = 0;
    for (const proto::StateSnapshot &part : toSnapshot(stateWith(adapters), "snapshot")) {
        bytes += part.ByteSizeLong();
    }
    return bytes;
}

std::size_t heapBytes(int adapters)
{
    const std::size_t before = mallinfo2().uordblks;
    const FleetState state = stateWith(adapters);
    return mallinfo2().uordblks - before;
}

constexpr std::int64_t WallMs = 1'800'000'000'000;

wire::Envelope servingEnvelope()
{
    wire::Envelope made;
    made.set_sender("10.123.123.123");
    made.set_incarnation(WallMs);
    made.set_sequence(1'000'000);
    return made;
}

std::size_t entryUsageBytes(int items)
{
    wire::Envelope message = servingEnvelope();
    wire::EntryUsage &usage = *message.mutable_usage();
    usage.set_instance("target-12345-0123456789ab");
    usage.set_pool_targets(11'000);
    usage.set_state(WallMs);
    for (int i = 0; i < items; ++i) {
        wire::EntryUsage::InFlight &calls = *usage.add_in_flight();
        calls.set_item("model-123/adapter-12345");
        calls.set_calls(3);
    }
    return message.ByteSizeLong();
}

std::size_t agentStateBytes(int models, int entries)
{
    wire::Envelope message = servingEnvelope();
    wire::AgentState &state = *message.mutable_agent();
    state.set_instance("target-12345-0123456789ab");
    state.set_born_ms(WallMs);
    state.set_reachable(true);
    state.set_ordering(true);
    state.set_active(30);
    state.set_cache_used(200'000);
    state.set_cache_total(265'000);
    state.set_state(WallMs);
    for (int i = 0; i < models; ++i) {
        wire::ResidentModel &model = *state.add_models();
        model.set_name("model-123");
        model.set_version(1);
        model.add_adapters("adapter-12345");
        model.add_adapters("adapter-12346");
        state.add_on_disk("model-124");
    }
    for (int i = 0; i < entries; ++i) {
        state.add_entries("10.123.123.123");
    }
    return message.ByteSizeLong();
}

std::size_t agentLoadBytes()
{
    wire::Envelope message = servingEnvelope();
    wire::AgentLoad &load = *message.mutable_load();
    load.set_instance("target-12345-0123456789ab");
    load.set_state(WallMs);
    load.set_active(30);
    load.set_cache_used(200'000);
    return message.ByteSizeLong();
}

EntryReport gossipReport(int sender, int members, int customers)
{
    EntryReport report;
    report.sender = "10.123.123." + std::to_string(100 + sender);
    report.incarnation = WallMs;
    report.sequence = 1'000'000;
    report.base = 1'000'000;
    report.urgent = true;
    for (int i = 0; i < members; ++i) {
        report.members.push_back({"10.123.123." + std::to_string(100 + i), WallMs, 1'000'000, true});
    }
    for (int i = 0; i < customers; ++i) {
        report.spent.push_back({"customer-" + std::to_string(10'000 + i), 1e9});
    }
    return report;
}

std::size_t gossipBytes(int members, int customers)
{
    wire::Envelope message = servingEnvelope();
    writeReport(gossipReport(0, members, customers), *message.mutable_gossip());
    return message.ByteSizeLong();
}

std::size_t targetsHeapBytes(int targets)
{
    const std::size_t before = mallinfo2().uordblks;
    TargetTable table("entry", "domain-12");
    for (int i = 0; i < targets; ++i) {
        TargetRecord record{"target-12345-" + std::to_string(100'000'000'000 + i),
                            "engines",
                            "10.123.123.123:9000",
                            "domain-12",
                            "v1",
                            64,
                            false,
                            {},
                            WallMs,
                            1'000,
                            {{"model-123", 1, {"adapter-12345"}}, {"model-124", 1, {}}},
                            {{}, {"model-125"}}};
        table.setRecord(record, TimePoint());
        TargetView view;
        view.bornMs = WallMs;
        view.models = record.models;
        view.copies = record.copies;
        table.setView(record.id, view, TimePoint());
    }
    return mallinfo2().uordblks - before;
}

std::size_t allowancesHeapBytes(int peers, int customers)
{
    const std::size_t before = mallinfo2().uordblks;
    CustomerRateLimiter pool("10.123.123.99", WallMs, {}, TimePoint());
    for (int i = 0; i < peers; ++i) {
        pool.receive(gossipReport(i, 0, customers), TimePoint());
    }
    return mallinfo2().uordblks - before;
}

double slope(std::size_t few, std::size_t many, int fewCount, int manyCount)
{
    return static_cast<double>(many - few) / (manyCount - fewCount);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc > 1 && std::string(argv[1]) == "--serving-memory") {
        const nlohmann::json heap = {
            {"entry_heap_bytes_per_target",
             slope(targetsHeapBytes(FewAdapters), targetsHeapBytes(ManyAdapters), FewAdapters, ManyAdapters)},
            {"entry_heap_bytes_per_customer_and_peer",
             slope(allowancesHeapBytes(FewItems, FewItems),
                   allowancesHeapBytes(FewItems, ManyItems),
                   FewItems * FewItems,
                   FewItems * ManyItems)},
        };
        std::printf("%s\n", heap.dump(4).c_str());
        return 0;
    }
    if (argc > 1) {
        const double bytes = slope(heapBytes(FewAdapters), heapBytes(ManyAdapters), FewAdapters, ManyAdapters);
        std::printf("%.0f\n", bytes);
        return 0;
    }
    const HostEntry host{"host-1234", "10.12.34.56:7070", "domain-12", HostRole::Agent, "pool-123", HostState::Live};
    const nlohmann::json slopes = {
        {"heartbeat_bytes", heartbeatBytes()},
        {"heartbeat_reply_bytes", heartbeatReplyBytes(0)},
        {"heartbeat_reply_bytes_per_model", slope(heartbeatReplyBytes(0), heartbeatReplyBytes(FewItems), 0, FewItems)},
        {"route_change_bytes", routeChangeBytes()},
        {"authority_item_bytes",
         slope(authorityChangeBytes(FewItems), authorityChangeBytes(ManyItems), FewItems, ManyItems)},
        {"claim_item_bytes", slope(claimBatchBytes(FewItems), claimBatchBytes(ManyItems), FewItems, ManyItems)},
        {"share_bytes_per_entry",
         slope(shareDivisionBytes(FewItems), shareDivisionBytes(ManyItems), FewItems, ManyItems)},
        {"snapshot_bytes_per_adapter",
         slope(snapshotBytes(FewAdapters), snapshotBytes(ManyAdapters), FewAdapters, ManyAdapters)},
        {"entry_usage_bytes", entryUsageBytes(0)},
        {"entry_usage_bytes_per_item", slope(entryUsageBytes(0), entryUsageBytes(FewItems), 0, FewItems)},
        {"agent_load_bytes", agentLoadBytes()},
        {"agent_state_bytes", agentStateBytes(0, 0)},
        {"agent_state_bytes_per_model", slope(agentStateBytes(0, 0), agentStateBytes(FewItems, 0), 0, FewItems)},
        {"agent_state_bytes_per_entry_named", slope(agentStateBytes(0, 0), agentStateBytes(0, FewItems), 0, FewItems)},
        {"gossip_bytes", gossipBytes(0, 0)},
        {"gossip_bytes_per_member", slope(gossipBytes(0, 0), gossipBytes(FewItems, 0), 0, FewItems)},
        {"gossip_bytes_per_customer", slope(gossipBytes(0, 0), gossipBytes(0, FewItems), 0, FewItems)},
        {"host_list_bytes_per_host", encodeHostEntry(host).size()},
    };
    std::printf("%s\n", slopes.dump(4).c_str());
    return 0;
}
