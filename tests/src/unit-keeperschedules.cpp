#include <celeryroute/detail/keeper/modelkeeper.h>

#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t EpochMs = 1'700'000'000'000;

struct Rates {
    double lost = 0; ///< Orders whose answer is lost after they took effect.
    double late = 0; ///< Orders without an answer that are carried out late or never.
    double restarts = 0; ///< Of a target, a second.
    double sameName = 0.5; ///< Restarts that keep the name.
    double agentRestarts = 0; ///< A second.
    double wants = 1.5; ///< A second at each target.
    bool storeLoads = false; ///< Targets begin without copies.
    bool checksFences = false;
};

/// Virtual time.
class Timeline
{
public:
    void at(TimePoint time, std::function<void()> action)
    {
        m_events.push({time, m_next++, std::move(action)});
    }
    void after(Duration delay, std::function<void()> action)
    {
        at(m_now + delay, std::move(action));
    }
    TimePoint now() const
    {
        return m_now;
    }
    void runUntil(TimePoint end)
    {
        while (!m_events.empty() && m_events.top().time <= end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = std::max(m_now, event.time);
            event.action();
        }
        m_now = end;
    }

private:
    struct Event {
        TimePoint time;
        std::uint64_t number;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::tie(other.time, other.number) < std::tie(time, number);
        }
    };
    std::priority_queue<Event> m_events;
    std::uint64_t m_next = 0;
    TimePoint m_now = TimePoint(1000s);
};

EngineSpec engine()
{
    EngineSpec spec;
    spec.memoryMb = 200;
    spec.adapterSlots = 4;
    spec.loadsPerSecond = 1.6;
    for (int i = 0; i < 8; ++i) {
        spec.models.push_back(
            {"m" + std::to_string(i), i % 3 == 0 ? 42.0 : 72.0, 6s, 800ms, 500ms, i % 2 == 0 ? 6U : 0U, 1});
    }
    return spec;
}

/// A model engine as far as orders and reports go.
struct Engine {
    explicit Engine(Timeline &timeline, const EngineSpec &engineSpec, std::mt19937_64 &seeded)
        : time(timeline)
        , spec(engineSpec)
        , random(seeded)
    {}
    Timeline &time;
    const EngineSpec &spec;
    std::mt19937_64 &random;
    std::string id = "w0";
    bool up = true;
    std::uint64_t lives = 0;
    TargetReport state;
    std::set<std::string> disk;
    std::map<std::string, int> calls; ///< Running, by item.
    std::optional<TargetOrder> running;
    std::uint64_t fence = 0;
    bool checksFences = false;
    std::vector<TimePoint> storeLoads;
    std::string fault;

    ResidentModel *resident(const std::string &name)
    {
        const auto found = std::find_if(state.models.begin(), state.models.end(), [&](const ResidentModel &model) {
            return model.name == name;
        });
        return found == state.models.end() ? nullptr : &*found;
    }
    bool holds(const ItemName &item)
    {
        const ResidentModel *model = resident(item.model);
        return model != nullptr
            && (item.adapter.empty() || std::count(model->adapters.begin(), model->adapters.end(), item.adapter) > 0);
    }
    void start()
    {
        ++lives;
        up = true;
        state = {};
        state.bornMs = EpochMs + toMilliseconds(time.now().time_since_epoch());
        running.reset();
        calls.clear();
        fence = 0;
    }
    void later(Duration delay, std::function<void()> action)
    {
        time.after(delay, [this, life = lives, action = std::move(action)] {
            if (life == lives && up) {
                action();
            }
        });
    }
    void checkLimit()
    {
        double held = running && running->kind == OrderKind::Load ? spec.model(running->model)->memoryMb : 0;
        std::size_t slots = state.pendingAdapters.size();
        held += static_cast<double>(slots);
        for (const ResidentModel &model : state.models) {
            held += spec.model(model.name)->memoryMb + static_cast<double>(model.adapters.size());
            slots += model.adapters.size();
        }
        if (held > spec.memoryMb || slots > spec.adapterSlots) {
            fault = "over the limit: " + std::to_string(held) + " MB, " + std::to_string(slots) + " slots";
        }
    }
    OrderAnswer accept(const TargetOrder &order)
    {
        if (order.instance != id) {
            return OrderAnswer::Rejected;
        }
        if (checksFences && order.fence < fence) {
            return OrderAnswer::Fenced;
        }
        fence = std::max(fence, order.fence);
        const bool load = order.kind == OrderKind::Load;
        const ItemName item = itemOf(order);
        if (order.expectedSequence != state.sequence || (order.adapter.empty() && running)) {
            return OrderAnswer::Conflict;
        }
        if (holds(item) == load) {
            return OrderAnswer::AlreadyHolds;
        }
        if (!order.adapter.empty()) {
            return acceptAdapter(order);
        }
        ++state.sequence;
        running = order;
        state.busy = true;
        if (load) {
            beginLoad(order);
        } else {
            finishUnload(order);
        }
        return OrderAnswer::Accepted;
    }
    void beginLoad(const TargetOrder &order)
    {
        const EngineModel &model = *spec.model(order.model);
        const bool copied = disk.contains(order.model);
        if (!copied) {
            storeLoads.push_back(time.now());
        }
        checkLimit();
        later(copied ? model.diskLoad : model.storeLoad, [this, order] {
            disk.insert(order.model);
            state.copies.onDisk.assign(disk.begin(), disk.end());
            state.models.push_back({order.model, 1, {}});
            running.reset();
            state.busy = false;
        });
    }
    void finishUnload(const TargetOrder &order)
    {
        if (calls[order.model] > 0) {
            later(20ms, [this, order] { finishUnload(order); });
            return;
        }
        std::erase_if(state.models, [&](const ResidentModel &model) { return model.name == order.model; });
        running.reset();
        state.busy = false;
    }
    OrderAnswer acceptAdapter(const TargetOrder &order)
    {
        ResidentModel *model = resident(order.model);
        const std::string name = toString(itemOf(order));
        if (model == nullptr || state.pendingAdapters.size() >= 4) {
            return OrderAnswer::Rejected;
        }
        ++state.sequence;
        if (order.kind == OrderKind::Unload) {
            std::erase(model->adapters, order.adapter);
            return OrderAnswer::AlreadyHolds;
        }
        state.pendingAdapters.push_back(name);
        checkLimit();
        later(10ms, [this, order, name] {
            std::erase(state.pendingAdapters, name);
            if (ResidentModel *held = resident(order.model)) {
                held->adapters.push_back(order.adapter);
            }
        });
        return OrderAnswer::Accepted;
    }
};

/// One target with its agent and the entries that use it.
class Cell
{
public:
    Cell(Timeline &time,
         const EngineSpec &spec,
         std::mt19937_64 &random,
         const Rates &rates,
         int number,
         std::uint32_t targets)
        : m_time(time)
        , m_spec(spec)
        , m_random(random)
        , m_rates(rates)
        , m_number(number)
        , m_targets(targets)
        , engine(time, spec, random)
    {
        engine.id = "w" + std::to_string(number);
        engine.checksFences = rates.checksFences;
        for (const EngineModel &model : spec.models) {
            if (!rates.storeLoads) {
                engine.disk.insert(model.name);
            }
        }
        engine.start();
        engine.state.models.push_back({"m0", 1, {}});
        engine.state.copies.onDisk.assign(engine.disk.begin(), engine.disk.end());
        startAgent(true);
        plan(m_rates.wants, [this] { want(randomItem()); });
        plan(m_rates.restarts, [this] { restartTarget(); });
        plan(m_rates.agentRestarts, [this] { restartAgent(); });
        tell();
    }

    /// Callers wait for @p item until it is there or they lose patience.
    void want(const ItemName &item, Duration patience = 4s)
    {
        m_wants[toString(item)] = {m_time.now(), m_time.now() + patience};
        tellNow();
    }
    std::string randomItem()
    {
        const EngineModel &model = m_spec.models[m_random() % m_spec.models.size()];
        return model.adapters > 0 && m_random() % 2 == 0
            ? model.name + "/a" + std::to_string(m_random() % model.adapters)
            : model.name;
    }
    void want(const std::string &item)
    {
        want(parseItem(item));
    }
    void calm()
    {
        m_rates.lost = m_rates.late = m_rates.restarts = m_rates.agentRestarts = m_rates.wants = 0;
    }
    bool declines(const std::string &item) const
    {
        const KeeperView view = m_keeper->view(m_time.now());
        return std::count(view.declined.begin(), view.declined.end(), item) > 0;
    }
    const std::string &fault() const
    {
        return m_fault.empty() ? engine.fault : m_fault;
    }
    std::uint64_t refused() const
    {
        return m_refused;
    }
    std::uint64_t accepted() const
    {
        return m_accepted;
    }
    bool idle() const
    {
        return m_inFlight.empty();
    }

private:
    struct Waiting {
        TimePoint since;
        TimePoint until;
    };

    Timeline &m_time;
    const EngineSpec &m_spec;
    std::mt19937_64 &m_random;
    Rates m_rates;
    int m_number;
    std::uint32_t m_targets;
    std::unique_ptr<ModelKeeper> m_keeper;
    std::uint64_t m_agentLife = 0;
    std::uint64_t m_fence = 0;
    bool m_inTransit = false;
    TimePoint m_nextRead = TimePoint::max();
    std::map<std::string, Waiting> m_wants;
    std::map<std::string, std::uint32_t> m_inFlight;
    EntryDemand m_told; ///< What the agent knows.
    std::string m_fault;
    std::uint64_t m_refused = 0;
    std::uint64_t m_accepted = 0;

public:
    Engine engine;

private:
    bool chance(double share)
    {
        return std::uniform_real_distribution<>(0, 1)(m_random) < share;
    }
    Duration upTo(Duration most)
    {
        return Duration(static_cast<Duration::rep>(m_random() % static_cast<std::uint64_t>(most.count())));
    }

    void plan(const double &rate, std::function<void()> action)
    {
        m_time.after(100ms, [this, &rate, action] {
            if (chance(rate * 0.1)) {
                action();
            }
            plan(rate, action);
        });
    }
    void inThisLife(Duration delay, std::function<void()> action)
    {
        m_time.after(delay, [this, life = m_agentLife, action = std::move(action)] {
            if (life == m_agentLife && m_keeper) {
                action();
            }
        });
    }
    void startAgent(bool first)
    {
        ++m_agentLife;
        KeeperSettings settings;
        settings.holder = "agent" + std::to_string(m_number);
        settings.started = m_time.now();
        settings.startedMs = EpochMs + toMilliseconds(m_time.now().time_since_epoch());
        settings.firstStart = first;
        m_keeper = std::make_unique<ModelKeeper>(settings);
        m_keeper->useSpec(m_spec);
        m_inTransit = false;
        m_told = {};
        inThisLife(50ms, [this] { m_keeper->useFence(++m_fence); });
        m_nextRead = TimePoint::max();
        decide();
    }
    void restartAgent()
    {
        if (m_keeper) {
            m_keeper.reset();
            m_time.after(200ms + upTo(1s), [this] { startAgent(false); });
        }
    }
    void restartTarget()
    {
        if (!engine.up) {
            return;
        }
        engine.up = false;
        m_inFlight.clear();
        const bool same = chance(m_rates.sameName);
        m_time.after(200ms + upTo(3s), [this, same] {
            engine.id += same ? "" : "x";
            engine.start();
            engine.state.copies.onDisk.assign(engine.disk.begin(), engine.disk.end());
        });
    }
    void decide()
    {
        if (!m_keeper) {
            return;
        }
        m_keeper->useInstance(engine.id);
        if (const auto order = m_keeper->nextOrder(m_time.now())) {
            send(*order);
        }
        const TimePoint next = m_keeper->nextReportAt(m_time.now());
        if (next != m_nextRead) {
            m_nextRead = next;
            inThisLife(next - m_time.now(), [this, next] {
                if (next == m_nextRead) {
                    read();
                }
            });
        }
    }
    void read()
    {
        const TimePoint began = m_time.now();
        inThisLife(1ms, [this, began] {
            if (!engine.up) {
                m_keeper->noteUnreachable(m_time.now());
            } else {
                engine.state.active = static_cast<std::uint32_t>(m_inFlight.size());
                const TargetReport report = engine.state;
                inThisLife(1ms, [this, began, report] {
                    m_keeper->noteReport(report, began, m_time.now());
                    m_nextRead = TimePoint::max();
                    decide();
                });
                return;
            }
            m_nextRead = TimePoint::max();
            decide();
        });
    }
    void check(const TargetOrder &order)
    {
        if (m_inTransit) {
            m_fault = "two orders in transit";
        }
        if (order.fence == 0 || order.fence != m_fence) {
            m_fault = "an order without the fence";
        }
        const ItemName item = itemOf(order);
        const auto concerns = [&item](const std::string &told) {
            return parseItem(told) == item || (item.adapter.empty() && parseItem(told).model == item.model);
        };
        for (const ItemCalls &calls : m_told.inFlight) {
            m_fault = order.kind == OrderKind::Unload && concerns(calls.item) ? "an unload of what is in use" : m_fault;
        }
        for (const ItemWant &want : m_told.wants) {
            m_fault = order.kind == OrderKind::Unload && concerns(want.item) ? "an unload of what is wanted" : m_fault;
        }
    }
    void send(const TargetOrder &order)
    {
        check(order);
        m_inTransit = true;
        const auto answer = [this, order](OrderAnswer outcome) {
            m_inTransit = false;
            m_accepted += outcome == OrderAnswer::Accepted ? 1 : 0;
            m_refused += outcome == OrderAnswer::Conflict || outcome == OrderAnswer::Rejected ? 1 : 0;
            m_keeper->noteOutcome(order, outcome, m_time.now());
            decide();
        };
        const bool late = chance(m_rates.late);
        const bool lost = late || !engine.up || chance(m_rates.lost);
        if (lost) {
            inThisLife(800ms, [answer] { answer(OrderAnswer::InDoubt); });
        }
        if (late && chance(0.2)) {
            return;
        }
        m_time.after(late ? upTo(12s) : Duration(1ms), [this, order, lost, answer] {
            const OrderAnswer outcome = engine.up ? engine.accept(order) : OrderAnswer::InDoubt;
            if (!lost) {
                inThisLife(1ms, [answer, outcome] { answer(outcome); });
            }
        });
    }
    void tell()
    {
        tellNow();
        m_time.after(200ms, [this] { tell(); });
    }
    void tellNow()
    {
        serveWaiting();
        EntryDemand demand;
        demand.poolTargets = m_targets;
        for (const auto &[item, calls] : m_inFlight) {
            demand.inFlight.push_back({item, calls});
        }
        for (const auto &[item, waiting] : m_wants) {
            demand.wants.push_back(
                {item, 1, static_cast<std::uint32_t>(item.size() % 2), m_time.now() - waiting.since});
        }
        inThisLife(1ms, [this, demand] {
            m_told = demand;
            m_keeper->noteUsage("entry", demand, m_time.now());
            decide();
        });
    }
    void serveWaiting()
    {
        for (auto want = m_wants.begin(); want != m_wants.end();) {
            const std::string item = want->first;
            if (engine.up && engine.holds(parseItem(item))
                && !(engine.running && engine.running->kind == OrderKind::Unload)) {
                ++m_inFlight[item];
                ++engine.calls[parseItem(item).model];
                engine.later(100ms + upTo(1500ms), [this, item] {
                    --engine.calls[parseItem(item).model];
                    if (--m_inFlight[item] == 0) {
                        m_inFlight.erase(item);
                    }
                });
                want = m_wants.erase(want);
            } else {
                want = m_time.now() > want->second.until ? m_wants.erase(want) : std::next(want);
            }
        }
    }
};

std::size_t mostInWindow(std::vector<TimePoint> times, Duration window)
{
    std::sort(times.begin(), times.end());
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= window) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

} // namespace

TEST_GROUP(KeeperSchedules)
{
    EngineSpec spec = engine();

    void failWith(const Cell &cell, std::uint64_t seed)
    {
        if (!cell.fault().empty()) {
            FAIL(("seed " + std::to_string(seed) + ": " + cell.fault()).c_str());
        }
    }
    /// After all faults, a wanted model with a copy is there within its load time and a little.
    void checkRecovery(Timeline & time, Cell & cell, std::mt19937_64 & random, std::uint64_t seed)
    {
        cell.calm();
        time.runUntil(time.now() + 20s);
        const std::string item = cell.randomItem();
        cell.want(item);
        time.runUntil(time.now() + 800ms + 300ms);
        (void)random;
        if (!cell.engine.holds(parseItem(item))) {
            FAIL(("seed " + std::to_string(seed) + ": " + item + " is not there").c_str());
        }
    }
    std::uint64_t play(const Rates &rates, std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        Timeline time;
        Cell cell(time, spec, random, rates, 0, 1);
        time.runUntil(time.now() + 60s);
        failWith(cell, seed);
        checkRecovery(time, cell, random, seed);
        failWith(cell, seed);
        CHECK(cell.accepted() > 10);
        return cell.refused();
    }
};

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
        {.lost = 0.2, .late = 0.3, .restarts = 0.1, .sameName = 0.5},
        {.lost = 0.2, .late = 0.4, .restarts = 0.4, .sameName = 1},
        {.lost = 0.2, .late = 0.3, .agentRestarts = 0.2},
        {.lost = 0.2, .late = 0.3, .restarts = 0.1, .sameName = 0.2, .agentRestarts = 0.1, .checksFences = true},
        {.lost = 0.1, .late = 0.3, .restarts = 0.1, .sameName = 1, .agentRestarts = 0.1, .wants = 4},
    };
    for (const Rates &row : rows) {
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            play(row, seed);
        }
    }
}

TEST(KeeperSchedules, severalAgents_loadsFromTheStoreStayBelowItsRate)
{
    constexpr int Targets = 9;
    constexpr std::size_t Ceiling = 11; // 1.6 a second in 5 s, a tenth over, and 3
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        std::mt19937_64 random(seed);
        Timeline time;
        const Rates rates{.lost = 0.1,
                          .late = 0.3,
                          .restarts = 0.05,
                          .agentRestarts = 0.05,
                          .wants = 3,
                          .storeLoads = true};
        std::vector<std::unique_ptr<Cell>> cells;
        for (int i = 0; i < Targets; ++i) {
            cells.push_back(std::make_unique<Cell>(time, spec, random, rates, i, Targets));
        }
        time.runUntil(time.now() + 60s);
        std::vector<TimePoint> loads;
        for (const auto &cell : cells) {
            failWith(*cell, seed);
            loads.insert(loads.end(), cell->engine.storeLoads.begin(), cell->engine.storeLoads.end());
        }
        CHECK(loads.size() > Targets);
        if (mostInWindow(loads, 5s) > Ceiling) {
            FAIL(("seed " + std::to_string(seed) + ": " + std::to_string(mostInWindow(loads, 5s)) + " loads in 5 s")
                     .c_str());
        }
    }
}
