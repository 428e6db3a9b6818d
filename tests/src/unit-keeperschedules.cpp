#include <celeryroute/detail/keeper/modelkeeper.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

namespace {

using Action = std::function<void()>;

/// Virtual time and chance.
struct World {
    explicit World(std::uint64_t seed)
        : random(seed)
    {
        for (int i = 0; i < 8; ++i) {
            const std::string name = "m" + std::to_string(i);
            spec.models.push_back({name, i % 3 == 0 ? 42.0 : 72.0, 6s, 800ms, 500ms, i % 2 == 0 ? 6U : 0U, 1});
        }
        spec.memoryMb = 200;
        spec.adapterSlots = 4;
        spec.loadsPerSecond = 1.6;
    }
    void after(Duration delay, Action action)
    {
        events.emplace(now + delay, std::move(action));
    }
    void run(Duration time)
    {
        const TimePoint end = now + time;
        while (!events.empty() && events.begin()->first <= end) {
            now = std::max(now, events.begin()->first);
            const Action action = std::move(events.begin()->second);
            events.erase(events.begin());
            action();
        }
        now = end;
    }
    bool chance(double share)
    {
        return std::uniform_real_distribution<>(0, 1)(random) < share;
    }
    Duration upTo(Duration most)
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(0, most.count())(random));
    }
    std::int64_t wallMs() const
    {
        return 1'700'000'000'000 + toMilliseconds(now.time_since_epoch());
    }
    std::string item()
    {
        const EngineModel &model = spec.models[random() % spec.models.size()];
        const bool adapter = model.adapters > 0 && chance(0.5);
        return model.name + (adapter ? "/a" + std::to_string(random() % model.adapters) : "");
    }

    EngineSpec spec;
    std::mt19937_64 random;
    TimePoint now = TimePoint(1000s);
    std::multimap<TimePoint, Action> events;
};

/// A model engine as far as orders and reports go.
struct Engine {
    Engine(World &in, std::string name)
        : world(in)
        , id(std::move(name))
    {}

    World &world;
    std::string id;
    bool checksFences = false;
    bool up = false;
    std::uint64_t lives = 0;
    std::uint64_t fence = 0;
    TargetReport state;
    std::set<std::string> disk;
    std::map<std::string, int> calls; ///< Running, by model.
    std::optional<TargetOrder> running;
    std::vector<TimePoint> storeLoads;
    std::string fault;

    void start()
    {
        ++lives;
        up = true;
        state = {};
        state.bornMs = world.wallMs();
        state.copies.onDisk.assign(disk.begin(), disk.end());
        running.reset();
        calls.clear();
        fence = 0;
    }
    void later(Duration delay, Action action)
    {
        world.after(delay, [this, life = lives, action = std::move(action)] {
            if (life == lives && up) {
                action();
            }
        });
    }
    ResidentModel *resident(const std::string &name)
    {
        const auto named = [&name](const ResidentModel &model) { return model.name == name; };
        const auto found = std::find_if(state.models.begin(), state.models.end(), named);
        return found == state.models.end() ? nullptr : &*found;
    }
    bool holds(const ItemName &item)
    {
        const ResidentModel *model = resident(item.model);
        return model != nullptr
            && (item.adapter.empty() || std::count(model->adapters.begin(), model->adapters.end(), item.adapter) > 0);
    }
    void checkLimit()
    {
        std::size_t slots = state.pendingAdapters.size();
        double held = running && running->kind == OrderKind::Load ? world.spec.model(running->model)->memoryMb : 0;
        for (const ResidentModel &model : state.models) {
            held += world.spec.model(model.name)->memoryMb;
            slots += model.adapters.size();
        }
        if (held + static_cast<double>(slots) > world.spec.memoryMb || slots > world.spec.adapterSlots) {
            fault = "over the limit: " + std::to_string(held) + " MB, " + std::to_string(slots) + " slots";
        }
    }
    OrderAnswer take(const TargetOrder &order)
    {
        const ItemName item = itemOf(order);
        if (order.instance != id || (!item.adapter.empty() && resident(item.model) == nullptr)) {
            return OrderAnswer::Rejected;
        }
        if (checksFences && order.fence < fence) {
            return OrderAnswer::Fenced;
        }
        fence = std::max(fence, order.fence);
        if (order.expectedSequence != state.sequence || (item.adapter.empty() && running)) {
            return OrderAnswer::Conflict;
        }
        if (holds(item) == (order.kind == OrderKind::Load)) {
            return OrderAnswer::AlreadyHolds;
        }
        ++state.sequence;
        return item.adapter.empty() ? takeModel(order) : takeAdapter(order);
    }
    OrderAnswer takeModel(const TargetOrder &order)
    {
        running = order;
        state.busy = true;
        if (order.kind == OrderKind::Unload) {
            finishUnload(order);
            return OrderAnswer::Accepted;
        }
        checkLimit();
        const bool copied = disk.contains(order.model);
        if (!copied) {
            storeLoads.push_back(world.now);
        }
        later(copied ? 800ms : world.spec.models[0].storeLoad, [this, order] {
            disk.insert(order.model);
            state.copies.onDisk.assign(disk.begin(), disk.end());
            state.models.push_back({order.model, 1, {}});
            running.reset();
            state.busy = false;
        });
        return OrderAnswer::Accepted;
    }
    void finishUnload(const TargetOrder &order)
    {
        if (calls[order.model] > 0) {
            later(20ms, [this, order] { finishUnload(order); });
            return;
        }
        std::erase_if(state.models, [&order](const ResidentModel &model) { return model.name == order.model; });
        running.reset();
        state.busy = false;
    }
    OrderAnswer takeAdapter(const TargetOrder &order)
    {
        if (order.kind == OrderKind::Unload) {
            std::erase(resident(order.model)->adapters, order.adapter);
            return OrderAnswer::AlreadyHolds;
        }
        state.pendingAdapters.push_back(toString(itemOf(order)));
        checkLimit();
        later(10ms, [this, order] {
            std::erase(state.pendingAdapters, toString(itemOf(order)));
            if (ResidentModel *model = resident(order.model)) {
                model->adapters.push_back(order.adapter);
            }
        });
        return OrderAnswer::Accepted;
    }
};

struct Rates {
    double lost = 0; ///< Orders whose answer is lost.
    double late = 0; ///< Orders without an answer that are carried out late or never.
    double restarts = 0; ///< Of a target, a second.
    double sameName = 0.5; ///< Restarts that keep the name.
    double agentRestarts = 0; ///< A second.
    double wants = 1.5; ///< A second at each target.
    bool copies = true; ///< Targets begin with all models on their disks.
    bool checksFences = false;
};

/// One target with its agent and what its callers want.
struct Cell {
    Cell(World &in, const Rates &with, int number, std::uint32_t poolTargets)
        : world(in)
        , rates(with)
        , targets(poolTargets)
        , engine(in, "w" + std::to_string(number))
    {
        for (const EngineModel &model : world.spec.models) {
            if (rates.copies) {
                engine.disk.insert(model.name);
            }
        }
        engine.checksFences = rates.checksFences;
        engine.start();
        engine.state.models.push_back({"m0", 1, {}});
        startAgent(true);
        repeat(rates.wants, [this] { want(world.item()); });
        repeat(rates.restarts, [this] { restartTarget(); });
        repeat(rates.agentRestarts, [this] { restartAgent(); });
        tellRegularly();
    }
    void calm()
    {
        rates = {.wants = 0};
    }
    void want(const std::string &item)
    {
        wanted[item] = world.now;
        tell();
    }

    World &world;
    Rates rates;
    std::uint32_t targets;
    Engine engine;
    std::unique_ptr<ModelKeeper> keeper;
    std::uint64_t agentLife = 0;
    std::uint64_t fence = 0;
    bool inTransit = false;
    TimePoint nextRead;
    std::map<std::string, TimePoint> wanted;
    std::map<std::string, std::uint32_t> inFlight;
    EntryDemand told; ///< What the agent knows.
    std::string fault;
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;

    void repeat(const double &rate, const Action &action)
    {
        world.after(100ms, [this, &rate, action] {
            if (world.chance(rate * 0.1)) {
                action();
            }
            repeat(rate, action);
        });
    }
    void agentAfter(Duration delay, Action action)
    {
        world.after(delay, [this, life = agentLife, action = std::move(action)] {
            if (life == agentLife && keeper) {
                action();
            }
        });
    }
    void startAgent(bool first)
    {
        ++agentLife;
        KeeperSettings settings;
        settings.holder = "agent" + engine.id;
        settings.started = world.now;
        settings.startedMs = world.wallMs();
        settings.firstStart = first;
        keeper = std::make_unique<ModelKeeper>(settings);
        keeper->useSpec(world.spec);
        inTransit = false;
        told = {};
        agentAfter(50ms, [this] { keeper->useFence(++fence); });
        decide();
    }
    void restartAgent()
    {
        if (keeper) {
            keeper.reset();
            world.after(200ms + world.upTo(1s), [this] { startAgent(false); });
        }
    }
    void restartTarget()
    {
        if (engine.up) {
            engine.up = false;
            inFlight.clear();
            engine.id += world.chance(rates.sameName) ? "" : "x";
            world.after(200ms + world.upTo(3s), [this] { engine.start(); });
        }
    }
    void decide()
    {
        keeper->useInstance(engine.id);
        if (const auto order = keeper->nextOrder(world.now)) {
            send(*order);
        }
        const TimePoint next = keeper->nextReportAt(world.now);
        nextRead = next;
        agentAfter(next - world.now, [this, next] {
            if (next == nextRead) {
                nextRead = TimePoint::max();
                read();
            }
        });
    }
    void read()
    {
        const TimePoint began = world.now;
        agentAfter(1ms, [this, began] {
            engine.state.active = static_cast<std::uint32_t>(inFlight.size());
            agentAfter(1ms, [this, began, up = engine.up, report = engine.state] {
                if (up) {
                    keeper->noteReport(report, began, world.now);
                } else {
                    keeper->noteUnreachable(world.now);
                }
                decide();
            });
        });
    }
    void check(const TargetOrder &order)
    {
        const auto concerns = [item = itemOf(order), &order](const std::string &name) {
            const ItemName other = parseItem(name);
            return order.kind == OrderKind::Unload
                && (other == item || (item.adapter.empty() && other.model == item.model));
        };
        for (const ItemCalls &calls : told.inFlight) {
            fault = concerns(calls.item) ? "an unload of what is in use" : fault;
        }
        for (const ItemWant &want : told.wants) {
            fault = concerns(want.item) ? "an unload of what is wanted" : fault;
        }
        fault = inTransit ? "two orders in transit" : fault;
        fault = order.fence == 0 || order.fence != fence ? "an order without the fence" : fault;
    }
    void send(const TargetOrder &order)
    {
        check(order);
        inTransit = true;
        const auto answer = [this, order](OrderAnswer outcome) {
            inTransit = false;
            accepted += outcome == OrderAnswer::Accepted ? 1 : 0;
            refused += outcome == OrderAnswer::Conflict || outcome == OrderAnswer::Rejected ? 1 : 0;
            keeper->noteOutcome(order, outcome, world.now);
            decide();
        };
        const bool late = world.chance(rates.late);
        const bool lost = late || world.chance(rates.lost);
        if (lost) {
            agentAfter(800ms, [answer] { answer(OrderAnswer::InDoubt); });
        }
        if (late && world.chance(0.2)) {
            return;
        }
        world.after(late ? world.upTo(12s) : Duration(1ms), [this, order, lost, answer] {
            const OrderAnswer outcome = engine.up ? engine.take(order) : OrderAnswer::InDoubt;
            if (!lost) {
                agentAfter(1ms, [answer, outcome] { answer(outcome); });
            }
        });
    }
    void tellRegularly()
    {
        tell();
        world.after(200ms, [this] { tellRegularly(); });
    }
    void tell()
    {
        serve();
        EntryDemand demand{.poolTargets = targets, .inFlight = {}, .wants = {}};
        for (const auto &[item, calls] : inFlight) {
            demand.inFlight.push_back({item, calls});
        }
        for (const auto &[item, since] : wanted) {
            demand.wants.push_back({item, 1, static_cast<std::uint32_t>(item.size() % 2), world.now - since});
        }
        agentAfter(1ms, [this, demand] {
            told = demand;
            keeper->noteUsage("entry", demand, world.now);
            decide();
        });
    }
    /// Runs calls whose item is there, and drops those that waited too long.
    void serve()
    {
        std::erase_if(wanted, [this](const auto &want) {
            const ItemName item = parseItem(want.first);
            const bool unloading = engine.running && engine.running->kind == OrderKind::Unload;
            if (!engine.up || !engine.holds(item) || unloading) {
                return world.now - want.second > 4s;
            }
            ++inFlight[want.first];
            ++engine.calls[item.model];
            engine.later(100ms + world.upTo(1500ms), [this, name = want.first, model = item.model] {
                --engine.calls[model];
                if (--inFlight[name] == 0) {
                    inFlight.erase(name);
                }
            });
            return true;
        });
    }
};

void check(const Cell &cell, std::uint64_t seed, const std::string &found = {})
{
    const std::string fault = cell.fault + cell.engine.fault + found;
    if (!fault.empty()) {
        FAIL(("seed " + std::to_string(seed) + ": " + fault).c_str());
    }
}

/// Plays a minute of faults; afterwards a wanted item is there within its load time and a little.
std::uint64_t play(const Rates &rates, std::uint64_t seed, const std::function<void(World &)> &change = {})
{
    World world(seed);
    if (change) {
        change(world);
    }
    Cell cell(world, rates, 0, 1);
    world.run(60s);
    check(cell, seed);
    CHECK(cell.accepted > 10);
    cell.calm();
    world.run(20s);
    const std::string item = world.item();
    cell.want(item);
    world.run(800ms + 300ms);
    check(cell, seed, cell.engine.holds(parseItem(item)) ? "" : item + " is not there");
    return cell.refused;
}

} // namespace

TEST_GROUP(KeeperSchedules){};

TEST(KeeperSchedules, noFaults_everyOrderIsTaken)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        LONGS_EQUAL(0, play({}, seed));
    }
}

TEST(KeeperSchedules, faults_limitsFencesAndRecoveryHold)
{
    const Rates rows[] = {
        {.lost = 0.2, .late = 0.3},
        {.lost = 0.2, .late = 0.3, .restarts = 0.1},
        {.lost = 0.2, .late = 0.4, .restarts = 0.4, .sameName = 1},
        {.lost = 0.2, .late = 0.3, .agentRestarts = 0.2},
        {.lost = 0.2, .late = 0.3, .restarts = 0.1, .sameName = 0.2, .agentRestarts = 0.1, .checksFences = true},
        {.lost = 0.1, .late = 0.3, .restarts = 0.1, .sameName = 1, .agentRestarts = 0.1, .wants = 4},
    };
    for (const Rates &row : rows) {
        for (std::uint64_t seed = 1; seed <= 150; ++seed) {
            play(row, seed);
        }
    }
}

TEST(KeeperSchedules, oneModelFitsAndThereAreNoAdapters_limitsAndRecoveryHold)
{
    const auto small = [](World &world) {
        world.spec.memoryMb = 72;
        world.spec.adapterSlots = 0;
        for (EngineModel &model : world.spec.models) {
            model.adapters = 0;
        }
    };
    // Restarts are rare: where one model fits, an order that may still come from before one leaves no room for a load.
    const Rates rows[] = {
        {},
        {.lost = 0.2, .late = 0.3},
        {.lost = 0.2, .late = 0.3, .restarts = 0.02},
        {.lost = 0.2, .late = 0.3, .agentRestarts = 0.02},
    };
    for (const Rates &row : rows) {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            play(row, seed, small);
        }
    }
}

TEST(KeeperSchedules, severalAgents_loadsFromTheStoreStayBelowItsRate)
{
    constexpr int Targets = 9;
    constexpr std::size_t Ceiling = 11; // 1.6 a second in 5 s, a tenth over, and 3
    const Rates rates{.lost = 0.1, .late = 0.3, .restarts = 0.05, .agentRestarts = 0.05, .wants = 3, .copies = false};
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        World world(seed);
        for (EngineModel &model : world.spec.models) {
            model.storeLoad = 1500ms; // shorter than a share, so that only the share holds loads back
        }
        std::vector<std::unique_ptr<Cell>> cells;
        cells.reserve(Targets);
        for (int i = 0; i < Targets; ++i) {
            cells.push_back(std::make_unique<Cell>(world, rates, i, Targets));
        }
        world.run(60s);
        std::multiset<TimePoint> loads;
        for (const auto &cell : cells) {
            check(*cell, seed);
            loads.insert(cell->engine.storeLoads.begin(), cell->engine.storeLoads.end());
        }
        CHECK(loads.size() > Targets);
        for (const TimePoint first : loads) {
            const auto within = std::distance(loads.lower_bound(first), loads.lower_bound(first + 5s));
            check(*cells[0],
                  seed,
                  within > static_cast<std::ptrdiff_t>(Ceiling) ? std::to_string(within) + " loads in 5 s" : "");
        }
    }
}
