// The cost of decisions and messages must not grow with the size of the installation. These tests count memory
// allocations and examined targets, so they do not depend on a clock.
#include <celeryroute/detail/allowance/entrymembership.h>
#include <celeryroute/detail/keeper/modelcontroller.h>
#include <celeryroute/detail/node/agentdirectory.h>
#include <celeryroute/detail/node/peerroster.h>
#include <celeryroute/detail/placement/enginechooser.h>
#include <celeryroute/detail/placement/plainchooser.h>

#include <gatewayworld.h>
#include <map>
#include <random>

#include <CppUTest/PlatformSpecificFunctions_c.h>
#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

namespace {

std::uint64_t allocations = 0;
void *(*usualMalloc)(std::size_t) = nullptr;

void *countingMalloc(std::size_t size)
{
    ++allocations;
    return usualMalloc(size);
}

/// Counts memory allocations during its lifetime.
class AllocationCount
{
public:
    AllocationCount()
    {
        usualMalloc = PlatformSpecificMalloc;
        allocations = 0;
        PlatformSpecificMalloc = countingMalloc;
    }
    ~AllocationCount()
    {
        PlatformSpecificMalloc = usualMalloc;
    }
    AllocationCount(const AllocationCount &) = delete;
    AllocationCount &operator=(const AllocationCount &) = delete;

    double each(int repeats) const
    {
        return static_cast<double>(allocations) / repeats;
    }
};

std::string numbered(const std::string &name, int number)
{
    return name + std::to_string(number);
}

/// A pool of engines as one entry knows it.
struct Fleet {
    Fleet(int targets, int models, int adapters)
        : adapterCount(adapters)
        , table("entry", "domain-0")
        , chooser(table, 1)
        , plain(table, 1)
    {
        spec.slots = 64;
        spec.cacheTokens = 265000;
        spec.memoryMb = 150000;
        spec.adapterSlots = 8;
        for (int i = 0; i < models; ++i) {
            // Too long for the small-string optimization, so that each copy allocates.
            spec.models.push_back({numbered("a-model-with-a-long-name-", i), 60000, 6s, 700ms, 500ms, 80, 50});
        }
        ServingState state;
        state.pools.push_back({"engines", "", 0, spec});
        table.setState(state);
        for (int i = 0; i < targets; ++i) {
            table.setRecord(record(i), now);
            TargetRecord plainTarget = record(i);
            plainTarget.id = numbered("plain-", i);
            plainTarget.pool = "plain";
            table.setRecord(plainTarget, now);
        }
    }
    TargetRecord record(int number) const
    {
        TargetRecord record;
        record.id = numbered("target-", number);
        record.pool = "engines";
        record.address = numbered("10.0.0.1:", number);
        record.domain = numbered("domain-", number % 25);
        record.slots = 64;
        record.bornMs = 1;
        record.models = {{model(number), 1, {numbered("adapter-", number % adapterCount)}},
                         {model(number * 7 + 3), 1, {}}};
        record.copies.onDisk = {model(number * 5 + 1)};
        return record;
    }
    const std::string &model(int number) const
    {
        return spec.models[static_cast<std::size_t>(number) % spec.models.size()].name;
    }
    EngineCall call(int number) const
    {
        EngineCall call;
        call.pool = "engines";
        call.model = model(number);
        call.adapter = number % 4 == 0 ? numbered("adapter-", number % adapterCount) : std::string();
        call.parts = {{"shared", 2000}, {numbered("subject-", number % 50), 4300}, {numbered("own-", number), 2890}};
        call.promptTokens = 9190;
        call.maxOutputTokens = 100;
        call.remaining = 5s;
        call.targetLatency = 800ms;
        return call;
    }

    int adapterCount;
    TimePoint now{};
    EngineSpec spec;
    TargetTable table;
    EngineChooser chooser;
    PlainChooser plain;
};

constexpr int Repeats = 200;

// Another round of samples and longer names at the larger size are allowed, hence the factor and the constant.
void checkNoGrowth(double few, double many)
{
    CHECK(few > 0);
    CHECK(many <= 2 * few + 8);
}

} // namespace

TEST_GROUP(DecisionCost){};

TEST(DecisionCost, fleetIsLarger_engineCallNeedsNoMoreAllocations)
{
    std::vector<double> costs;
    for (const auto &[targets, models, adapters] : {std::tuple(100, 31, 42), std::tuple(11000, 140, 12000)}) {
        Fleet fleet(targets, models, adapters);
        std::vector<EngineCall> calls;
        calls.reserve(Repeats);
        for (int i = 0; i < Repeats; ++i) {
            calls.push_back(fleet.call(i));
        }
        const AllocationCount count;
        for (const EngineCall &call : calls) {
            fleet.chooser.choose(call, fleet.now);
        }
        costs.push_back(count.each(Repeats));
    }
    checkNoGrowth(costs[0], costs[1]);
}

TEST(DecisionCost, fleetIsLarger_plainCallNeedsNoMoreAllocations)
{
    std::vector<double> costs;
    for (const int targets : {9, 11000}) {
        Fleet fleet(targets, 31, 42);
        const PlainServiceCall ask{"plain", {}, true};
        const AllocationCount count;
        for (int i = 0; i < Repeats; ++i) {
            fleet.plain.choose(ask, fleet.now);
        }
        costs.push_back(count.each(Repeats));
    }
    checkNoGrowth(costs[0], costs[1]);
}

TEST(DecisionCost, manyLoadsWereRequested_loadPlanNeedsNoMoreAllocations)
{
    std::vector<double> costs;
    for (const auto &[targets, models] : {std::pair(100, 31), std::pair(11000, 140)}) {
        Fleet fleet(targets, models, 42);
        LoadPlanner planner(fleet.table);
        TargetPool &pool = *fleet.table.pool("engines");
        const std::vector<std::string> excluded;
        const LoadConditions need{&excluded, 20, 1, false};
        for (const EngineModel &model : fleet.spec.models) {
            if (const auto plan = planner.plan(pool, model, need, fleet.now)) {
                planner.noteRequested(pool, model, *plan, fleet.now);
            }
        }
        const EngineModel unasked{"unasked", 60000, 6s, 700ms, 500ms, 80, 50};
        const AllocationCount count;
        for (int i = 0; i < Repeats; ++i) {
            planner.plan(pool, unasked, need, fleet.now);
        }
        costs.push_back(count.each(Repeats));
    }
    checkNoGrowth(costs[0], costs[1]);
}

TEST(DecisionCost, ringIsLarge_sampleIsNoLargerThanItsLimit)
{
    for (const int targets : {9, 16, 100, 1000, 11000}) {
        Fleet fleet(targets, 31, 42);
        std::vector<KnownTarget *> sample;
        for (std::uint64_t key = 0; key < 20; ++key) {
            fleet.table.pool("engines")->accepting.sample(key, ~key, 16, sample);
            CHECK(sample.size() <= 16);
            CHECK(targets > 16 || sample.size() == static_cast<std::size_t>(targets));
        }
    }
}

TEST(DecisionCost, manyEntriesReport_agentDecisionNeedsNoMoreAllocations)
{
    std::vector<double> costs;
    for (const int entries : {3, 1900}) {
        Fleet fleet(1, 140, 42);
        ModelController keeper({"host", {}, fleet.now, 1'000'000, true, false});
        keeper.setSpec(fleet.spec);
        keeper.setFence(1);
        keeper.setInstance("target");
        TargetReport report;
        report.bornMs = 1;
        report.models = {{"model-0", 1, {"a", "b"}}};
        keeper.noteReport(report, fleet.now, fleet.now);
        const EntryDemand demand{11000, {{"model-0", 1}, {"model-0/a", 1}}, {}};
        for (int i = 0; i < entries; ++i) {
            keeper.noteUsage(numbered("10.0.0.", i), demand, fleet.now);
        }
        const AllocationCount count;
        for (int i = 0; i < Repeats; ++i) {
            keeper.noteUsage("10.0.0.1", demand, fleet.now);
            keeper.nextOrder(fleet.now);
            keeper.status(fleet.now);
        }
        costs.push_back(count.each(Repeats));
    }
    checkNoGrowth(costs[0], costs[1]);
}

TEST(DecisionCost, manyModelsAndNoWaitingCall_changedTargetNeedsNoAllocation)
{
    GatewayWorld world(1);
    ServingPool pool{"engines", "", 0, EngineSpec()};
    for (int i = 0; i < 140; ++i) {
        pool.engine->models.push_back({numbered("a-model-with-a-long-name-", i), 60000, 6s, 700ms, 500ms, 80, 50});
    }
    world.state.pools.push_back(pool);
    world.apply();
    const ChangedModels changed{pool.engine->models[0].name, pool.engine->models[1].name};
    const AllocationCount count;
    world.gateway.targetsChanged(changed);
    DOUBLES_EQUAL(0, count.each(1), 0);
}

TEST(DecisionCost, entriesJoinAndLeave_memberCountMatchesAllReports)
{
    std::mt19937_64 random(7);
    TimePoint now(100s);
    EntryMembership members("entry-0", 1, now);
    std::map<std::string, std::pair<TimePoint, std::vector<MemberAcknowledgement>>> heard;
    for (std::uint64_t step = 1; step <= 500; ++step) {
        now += random() % 20 == 0 ? 20s : 100ms;
        EntryReport report{numbered("entry-", 1 + static_cast<int>(random() % 8)), 1, step, {}, {}};
        for (std::uint64_t i = 0; i < random() % 5; ++i) {
            report.members.push_back({numbered("entry-", static_cast<int>(random() % 30)), 1, 1, false});
        }
        members.advance(now);
        members.receive(report, now);
        std::erase_if(heard, [now](const auto &entry) { return now - entry.second.first > 30s; });
        heard[report.sender] = {now, report.members};
        std::set<std::string> named{"entry-0"};
        for (const auto &[sender, said] : heard) {
            named.insert(sender);
            for (const MemberAcknowledgement &mark : said.second) {
                named.insert(mark.address);
            }
        }
        LONGS_EQUAL(named.size(), members.memberCount());
    }
}

TEST(DecisionCost, manyEntriesReport_messagesNameAllOfThemInTurn)
{
    constexpr std::size_t Limit = 32;
    for (const int entries : {0, 1, 26, 32, 33, 1900}) {
        PeerRoster roster(4s);
        for (int i = 0; i < entries; ++i) {
            roster.recordMessage(numbered("10.0.0.", i), 1, 1, TimePoint(100s));
        }
        std::set<std::string> named;
        for (std::size_t turn = 0; turn <= static_cast<std::size_t>(entries) / Limit; ++turn) {
            const std::vector<std::string> some = roster.nextSenders(Limit);
            CHECK(some.size() == std::min(Limit, static_cast<std::size_t>(entries)));
            CHECK(std::set<std::string>(some.begin(), some.end()).size() == some.size());
            named.insert(some.begin(), some.end());
        }
        LONGS_EQUAL(entries, named.size());
    }
}

TEST(DecisionCost, targetChanges_directoryNeedsNoMoreAllocationsWithManyTargets)
{
    std::vector<double> costs;
    for (const int targets : {9, 11000}) {
        const Fleet fleet(targets, 31, 42);
        AgentDirectory directory(9000);
        for (int i = 0; i < targets; ++i) {
            directory.noteTarget(fleet.record(i));
            directory.addAgent(fleet.record(i));
        }
        const TargetRecord record = fleet.record(5);
        const AllocationCount count;
        for (int i = 0; i < Repeats; ++i) {
            directory.forgetTarget(record.id);
            directory.noteTarget(record);
            directory.addAgent(record);
        }
        costs.push_back(count.each(Repeats));
    }
    checkNoGrowth(costs[0], costs[1]);
}

TEST(DecisionCost, targetsJoinAndLeave_directoryMarksSuccessorsAtTheSameAddress)
{
    AgentDirectory directory(9000);
    std::mt19937_64 random(7);
    std::map<std::string, TargetRecord> present;
    std::set<std::string> successors; // Computed from all targets after each change.
    for (int step = 0; step < 2000; ++step) {
        TargetRecord record;
        record.id = numbered("t", static_cast<int>(random() % 12));
        record.address = numbered("10.0.0.1:", static_cast<int>(1 + random() % 4));
        record.bornMs = static_cast<std::int64_t>(random() % 6);
        if (random() % 3 == 0) {
            present.erase(record.id);
            successors.erase(record.id);
            directory.forgetTarget(record.id);
        } else {
            present[record.id] = record;
            directory.noteTarget(record);
            CHECK(directory.addAgent(record));
        }
        for (const auto &[id, target] : present) {
            for (const auto &[otherId, other] : present) {
                if (other.address == target.address && other.bornMs < target.bornMs) {
                    successors.insert(id);
                }
            }
        }
        for (int i = 0; i < 12; ++i) {
            const KnownAgent *agent = directory.agent(numbered("t", i));
            CHECK_EQUAL(present.contains(numbered("t", i)), agent != nullptr);
            CHECK(agent == nullptr || agent->successor == successors.contains(numbered("t", i)));
        }
    }
}
