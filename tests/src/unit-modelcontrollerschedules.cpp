#include <celeryroute/detail/keeper/modelcontroller.h>

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

/// Virtual time, its events and the random generator.
struct Simulation {
    explicit Simulation(std::uint64_t seed)
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
    Duration randomUpTo(Duration most)
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

/// Simulates the orders and reports of a model engine.
struct SimulatedEngine {
    SimulatedEngine(Simulation &in, std::string name)
        : simulation(in)
        , id(std::move(name))
    {}

    Simulation &simulation;
    std::string id;
    bool checksFences = false;
    bool up = false;
    std::uint64_t lifetimes = 0;
    std::uint64_t fence = 0;
    TargetReport state;
    std::set<std::string> disk;
    std::map<std::string, int> calls; ///< Running calls by model.
    std::optional<TargetOrder> running;
    std::vector<TimePoint> storeLoads;
    std::string fault;

    void start()
    {
        ++lifetimes;
        up = true;
        state = {};
        state.bornMs = simulation.wallMs();
        state.copies.onDisk.assign(disk.begin(), disk.end());
        running.reset();
        calls.clear();
        fence = 0;
    }
    void afterInLifetime(Duration delay, Action action)
    {
        simulation.after(delay, [this, lifetime = lifetimes, action = std::move(action)] {
            if (lifetime == lifetimes && up) {
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
    void checkMemoryLimit()
    {
        std::size_t slots = state.pendingAdapters.size();
        double held = running && running->kind == OrderKind::Load ? simulation.spec.model(running->model)->memoryMb : 0;
        for (const ResidentModel &model : state.models) {
            held += simulation.spec.model(model.name)->memoryMb;
            slots += model.adapters.size();
        }
        if (held + static_cast<double>(slots) > simulation.spec.memoryMb || slots > simulation.spec.adapterSlots) {
            fault = "over the limit: " + std::to_string(held) + " MB, " + std::to_string(slots) + " slots";
        }
    }
    OrderAnswer handleOrder(const TargetOrder &order)
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
        return item.adapter.empty() ? handleModelOrder(order) : handleAdapterOrder(order);
    }
    OrderAnswer handleModelOrder(const TargetOrder &order)
    {
        running = order;
        state.busy = true;
        if (order.kind == OrderKind::Unload) {
            finishUnload(order);
            return OrderAnswer::Accepted;
        }
        checkMemoryLimit();
        const bool copied = disk.contains(order.model);
        if (!copied) {
            storeLoads.push_back(simulation.now);
        }
        afterInLifetime(copied ? 800ms : simulation.spec.models[0].storeLoad, [this, order] {
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
            afterInLifetime(20ms, [this, order] { finishUnload(order); });
            return;
        }
        std::erase_if(state.models, [&order](const ResidentModel &model) { return model.name == order.model; });
        running.reset();
        state.busy = false;
    }
    OrderAnswer handleAdapterOrder(const TargetOrder &order)
    {
        if (order.kind == OrderKind::Unload) {
            std::erase(resident(order.model)->adapters, order.adapter);
            return OrderAnswer::AlreadyHolds;
        }
        state.pendingAdapters.push_back(toString(itemOf(order)));
        checkMemoryLimit();
        afterInLifetime(10ms, [this, order] {
            std::erase(state.pendingAdapters, toString(itemOf(order)));
            if (ResidentModel *model = resident(order.model)) {
                model->adapters.push_back(order.adapter);
            }
        });
        return OrderAnswer::Accepted;
    }
};

struct FaultRates {
    double lost = 0; ///< Probability that the answer to an order is lost.
    double late = 0; ///< Probability that an order gets no answer and is carried out late or never.
    double restarts = 0; ///< Restarts of a target per second.
    double sameName = 0.5; ///< Probability that a restarted target keeps its name.
    double agentRestarts = 0; ///< Restarts of the agent per second.
    double callRate = 1.5; ///< Calls per second at each target.
    bool copies = true; ///< Targets start with copies of all models on their disks.
    bool checksFences = false;
};

/// One target with its agent and its waiting calls.
struct SimulatedTarget {
    SimulatedTarget(Simulation &in, const FaultRates &with, int number, std::uint32_t targetCount)
        : simulation(in)
        , rates(with)
        , poolTargets(targetCount)
        , engine(in, "w" + std::to_string(number))
    {
        for (const EngineModel &model : simulation.spec.models) {
            if (rates.copies) {
                engine.disk.insert(model.name);
            }
        }
        engine.checksFences = rates.checksFences;
        engine.start();
        engine.state.models.push_back({"m0", 1, {}});
        startAgent(true);
        repeat(rates.callRate, [this] { addWaitingCall(simulation.item()); });
        repeat(rates.restarts, [this] { restartTarget(); });
        repeat(rates.agentRestarts, [this] { restartAgent(); });
        reportRegularly();
    }
    void stopFaults()
    {
        rates = {.callRate = 0};
    }
    void addWaitingCall(const std::string &item)
    {
        waitingSince[item] = simulation.now;
        reportDemand();
    }

    Simulation &simulation;
    FaultRates rates;
    std::uint32_t poolTargets;
    SimulatedEngine engine;
    std::unique_ptr<ModelController> controller;
    std::uint64_t agentLifetime = 0;
    std::uint64_t fence = 0;
    bool inTransit = false;
    TimePoint nextRead;
    std::map<std::string, TimePoint> waitingSince;
    std::map<std::string, std::uint32_t> inFlight;
    EntryDemand reportedDemand; ///< Demand that the agent has received.
    std::string fault;
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;

    void repeat(const double &rate, const Action &action)
    {
        simulation.after(100ms, [this, &rate, action] {
            if (simulation.chance(rate * 0.1)) {
                action();
            }
            repeat(rate, action);
        });
    }
    void agentAfter(Duration delay, Action action)
    {
        simulation.after(delay, [this, lifetime = agentLifetime, action = std::move(action)] {
            if (lifetime == agentLifetime && controller) {
                action();
            }
        });
    }
    void startAgent(bool first)
    {
        ++agentLifetime;
        ModelControllerSettings settings;
        settings.holder = "agent" + engine.id;
        settings.started = simulation.now;
        settings.startedMs = simulation.wallMs();
        settings.firstStart = first;
        controller = std::make_unique<ModelController>(settings);
        controller->setSpec(simulation.spec);
        inTransit = false;
        reportedDemand = {};
        agentAfter(50ms, [this] { controller->setFence(++fence); });
        sendNextOrder();
    }
    void restartAgent()
    {
        if (controller) {
            controller.reset();
            simulation.after(200ms + simulation.randomUpTo(1s), [this] { startAgent(false); });
        }
    }
    void restartTarget()
    {
        if (engine.up) {
            engine.up = false;
            inFlight.clear();
            engine.id += simulation.chance(rates.sameName) ? "" : "x";
            simulation.after(200ms + simulation.randomUpTo(3s), [this] { engine.start(); });
        }
    }
    void sendNextOrder()
    {
        controller->setInstance(engine.id);
        if (const auto order = controller->nextOrder(simulation.now)) {
            send(*order);
        }
        const TimePoint next = controller->nextReportAt(simulation.now);
        nextRead = next;
        agentAfter(next - simulation.now, [this, next] {
            if (next == nextRead) {
                nextRead = TimePoint::max();
                read();
            }
        });
    }
    void read()
    {
        const TimePoint began = simulation.now;
        agentAfter(1ms, [this, began] {
            engine.state.active = static_cast<std::uint32_t>(inFlight.size());
            agentAfter(1ms, [this, began, up = engine.up, report = engine.state] {
                if (up) {
                    controller->noteReport(report, began, simulation.now);
                } else {
                    controller->noteUnreachable(simulation.now);
                }
                sendNextOrder();
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
        for (const ItemCalls &calls : reportedDemand.inFlight) {
            fault = concerns(calls.item) ? "unload of an item that is in use" : fault;
        }
        for (const WaitingCalls &waiting : reportedDemand.waiting) {
            fault = concerns(waiting.item) ? "unload of an item for which calls wait" : fault;
        }
        fault = inTransit ? "two orders in transit" : fault;
        fault = order.fence == 0 || order.fence != fence ? "order without the current fencing token" : fault;
    }
    void send(const TargetOrder &order)
    {
        check(order);
        inTransit = true;
        const auto answer = [this, order](OrderAnswer outcome) {
            inTransit = false;
            accepted += outcome == OrderAnswer::Accepted ? 1 : 0;
            refused += outcome == OrderAnswer::Conflict || outcome == OrderAnswer::Rejected ? 1 : 0;
            controller->noteOutcome(order, outcome, simulation.now);
            sendNextOrder();
        };
        const bool late = simulation.chance(rates.late);
        const bool lost = late || simulation.chance(rates.lost);
        if (lost) {
            agentAfter(800ms, [answer] { answer(OrderAnswer::InDoubt); });
        }
        if (late && simulation.chance(0.2)) {
            return;
        }
        simulation.after(late ? simulation.randomUpTo(12s) : Duration(1ms), [this, order, lost, answer] {
            const OrderAnswer outcome = engine.up ? engine.handleOrder(order) : OrderAnswer::InDoubt;
            if (!lost) {
                agentAfter(1ms, [answer, outcome] { answer(outcome); });
            }
        });
    }
    void reportRegularly()
    {
        reportDemand();
        simulation.after(200ms, [this] { reportRegularly(); });
    }
    void reportDemand()
    {
        startCalls();
        EntryDemand demand{.poolTargets = poolTargets, .inFlight = {}, .waiting = {}};
        for (const auto &[item, calls] : inFlight) {
            demand.inFlight.push_back({item, calls});
        }
        for (const auto &[item, since] : waitingSince) {
            demand.waiting.push_back({item, 1, static_cast<std::uint32_t>(item.size() % 2), simulation.now - since});
        }
        agentAfter(1ms, [this, demand] {
            reportedDemand = demand;
            controller->noteUsage("entry", demand, simulation.now);
            sendNextOrder();
        });
    }
    /// Starts the calls whose item is resident, and drops those that waited for too long.
    void startCalls()
    {
        std::erase_if(waitingSince, [this](const auto &waiting) {
            const ItemName item = parseItem(waiting.first);
            const bool unloading = engine.running && engine.running->kind == OrderKind::Unload;
            if (!engine.up || !engine.holds(item) || unloading) {
                return simulation.now - waiting.second > 4s;
            }
            ++inFlight[waiting.first];
            ++engine.calls[item.model];
            engine.afterInLifetime(100ms + simulation.randomUpTo(1500ms),
                                   [this, name = waiting.first, model = item.model] {
                                       --engine.calls[model];
                                       if (--inFlight[name] == 0) {
                                           inFlight.erase(name);
                                       }
                                   });
            return true;
        });
    }
};

void check(const SimulatedTarget &target, std::uint64_t seed, const std::string &found = {})
{
    const std::string fault = target.fault + target.engine.fault + found;
    if (!fault.empty()) {
        FAIL(("seed " + std::to_string(seed) + ": " + fault).c_str());
    }
}

/// Simulates a minute with faults. Afterwards an item for which a call waits must be resident within its load time and
/// 300 ms.
std::uint64_t
runSchedule(const FaultRates &rates, std::uint64_t seed, const std::function<void(Simulation &)> &change = {})
{
    Simulation simulation(seed);
    if (change) {
        change(simulation);
    }
    SimulatedTarget target(simulation, rates, 0, 1);
    simulation.run(60s);
    check(target, seed);
    CHECK(target.accepted > 10);
    target.stopFaults();
    simulation.run(20s);
    const std::string item = simulation.item();
    target.addWaitingCall(item);
    simulation.run(800ms + 300ms);
    check(target, seed, target.engine.holds(parseItem(item)) ? "" : item + " is not resident");
    return target.refused;
}

} // namespace

TEST_GROUP(ModelControllerSchedules){};

TEST(ModelControllerSchedules, noFaults_everyOrderIsAccepted)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        LONGS_EQUAL(0, runSchedule({}, seed));
    }
}

TEST(ModelControllerSchedules, faults_memoryLimitAndFencingHoldAndLoadsRecover)
{
    const FaultRates rows[] = {
        {.lost = 0.2, .late = 0.3},
        {.lost = 0.2, .late = 0.3, .restarts = 0.1},
        {.lost = 0.2, .late = 0.4, .restarts = 0.4, .sameName = 1},
        {.lost = 0.2, .late = 0.3, .agentRestarts = 0.2},
        {.lost = 0.2, .late = 0.3, .restarts = 0.1, .sameName = 0.2, .agentRestarts = 0.1, .checksFences = true},
        {.lost = 0.1, .late = 0.3, .restarts = 0.1, .sameName = 1, .agentRestarts = 0.1, .callRate = 4},
    };
    for (const FaultRates &row : rows) {
        for (std::uint64_t seed = 1; seed <= 150; ++seed) {
            runSchedule(row, seed);
        }
    }
}

TEST(ModelControllerSchedules, onlyOneModelFits_memoryLimitHoldsAndLoadsRecover)
{
    const auto shrinkMemory = [](Simulation &simulation) {
        simulation.spec.memoryMb = 72;
        simulation.spec.adapterSlots = 0;
        for (EngineModel &model : simulation.spec.models) {
            model.adapters = 0;
        }
    };
    // Restarts are rare here: where only one model fits, an order from before a restart that may still be carried out
    // leaves no memory for a load.
    const FaultRates rows[] = {
        {},
        {.lost = 0.2, .late = 0.3},
        {.lost = 0.2, .late = 0.3, .restarts = 0.02},
        {.lost = 0.2, .late = 0.3, .agentRestarts = 0.02},
    };
    for (const FaultRates &row : rows) {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            runSchedule(row, seed, shrinkMemory);
        }
    }
}

TEST(ModelControllerSchedules, severalAgents_storeLoadsStayBelowTheRate)
{
    constexpr int Targets = 9;
    constexpr std::size_t Ceiling = 11; // 1.6 per second in 5 s, 10 % more, and 3.
    const FaultRates rates{.lost = 0.1,
                           .late = 0.3,
                           .restarts = 0.05,
                           .agentRestarts = 0.05,
                           .callRate = 3,
                           .copies = false};
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        Simulation simulation(seed);
        for (EngineModel &model : simulation.spec.models) {
            model.storeLoad = 1500ms; // Shorter than the share allows, so that only the share limits the loads.
        }
        std::vector<std::unique_ptr<SimulatedTarget>> targets;
        targets.reserve(Targets);
        for (int i = 0; i < Targets; ++i) {
            targets.push_back(std::make_unique<SimulatedTarget>(simulation, rates, i, Targets));
        }
        simulation.run(60s);
        std::multiset<TimePoint> loads;
        for (const auto &target : targets) {
            check(*target, seed);
            loads.insert(target->engine.storeLoads.begin(), target->engine.storeLoads.end());
        }
        CHECK(loads.size() > Targets);
        for (const TimePoint first : loads) {
            const auto within = std::distance(loads.lower_bound(first), loads.lower_bound(first + 5s));
            check(*targets[0],
                  seed,
                  within > static_cast<std::ptrdiff_t>(Ceiling) ? std::to_string(within) + " loads in 5 s" : "");
        }
    }
}
