#pragma once

#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/keeper/storeloadshare.h>
#include <celeryroute/detail/placement/callqueue.h>
#include <celeryroute/detail/placement/enginechooser.h>
#include <celeryroute/detail/placement/itemkey.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

namespace celeryroute::simulation {

/// How entries choose targets. Chooser is EngineChooser; the others are baselines.
enum class PlacementStrategy { Chooser, Random, LeastLoaded };

/// A class of calls; times are in seconds and sizes in tokens.
struct CallClass {
    std::string name;
    double perSecond = 1;
    int firstModel = 0;
    int models = 1; ///< Number of models, from firstModel on, that are called equally often.
    double shiftEvery = 0; ///< Seconds after which the calls shift to other models; 0 for never.
    int shiftOver = 0; ///< Number of models among which the calls shift.
    std::uint64_t shared = 6300;
    std::uint64_t own = 2890;
    std::uint64_t output = 52;
    double latencyGoal = 0.8;
    double budget = 5;
    std::uint32_t priority = 0;
    int adapters = 0;
    int subjects = 20; ///< Number of different shared prompts of each model.
};

/// A pool of engines and its traffic.
struct EngineFleet {
    int targets = 9;
    int entries = 4;
    int models = 31;
    double memoryMb = 200000;
    double smallestMb = 42700;
    double largestMb = 72700;
    std::uint32_t slots = 64;
    std::uint64_t cacheTokens = 265000;
    int zones = 3;
    std::uint32_t adapterSlots = 8;
    int oversizedModels = 0; ///< Number of models, the last ones, that are larger than a target.
    bool shareStoreRate = false; ///< Agents keep to their shares of the weight store's rate.
    bool reportStoreWaits = true; ///< Agents report how long they wait for their share.
    int copies = 4; ///< Number of targets with a copy of each model on disk at the start.
    int busyReplicas = 2; ///< Number of targets that hold each of the first five models at the start.
    double storeLoadsPerSecond = 1.6;
    double tokensPerSecond = 38400;
    double step = 0.0053;
    double seconds = 120;
    double scale = 1; ///< Factor on the traffic.
    double slowTarget = 1; ///< Factor on the times of target 0.
    double failingTarget = 0; ///< Share of calls that target 1 fails.
    double crashAt = 0; ///< Second at which the last target crashes; its record is removed 3 s later. 0 for never.
    std::uint64_t seed = 1;
    PlacementStrategy strategy = PlacementStrategy::Chooser;
    std::vector<CallClass> classes = {
        {"rare", 2.5, 5, 26, 0, 0, 6300, 2890, 52, 2.5, 11, 1, 0, 3},
        {"busy", 5.8, 0, 5, 0, 0, 6300, 2890, 52, 0.8, 5, 2, 2, 20},
        {"chat", 7.4, 0, 5, 0, 0, 198, 628, 292, 0.6, 15, 0, 0, 40},
    };
};

struct ClassOutcome {
    int calls = 0;
    int inTime = 0;
    int served = 0;
    int refused = 0;
};

struct PlacementOutcome {
    std::map<std::string, ClassOutcome> classes;
    std::map<std::string, std::pair<int, int>> items; ///< Calls and served calls, by model.
    std::map<std::string, std::pair<int, int>>
        sizes; ///< Calls and served calls, of the largest tenth of calls and of the others.
    int loads = 0;
    int replicaLoads = 0; ///< Loads of models that another target held.
    int storeLoads = 0;
    int maxMemoryMb = 0; ///< Largest memory use of a target.
    int loadRequests = 0; ///< Load requests to agents.
    int refusalsWithIdleHolder = 0; ///< Calls lost while a holder of the model was idle.
    std::map<std::string, double> refusedAfter; ///< Longest time in seconds until a call was refused, by model.
    int refusedFull = 0; ///< Calls that a target refused for lack of room.
    int onBadTarget = 0; ///< Calls sent to the target that fails, is slow or has crashed.
    int sends = 0;
    double prefillTokens = 0;
    double promptTokens = 0;
    double lastWait = 0;

    double inTime(const std::string &name) const
    {
        const ClassOutcome &outcome = classes.at(name);
        return static_cast<double>(outcome.inTime) / std::max(1, outcome.calls);
    }
    double served(const std::string &name) const
    {
        const ClassOutcome &outcome = classes.at(name);
        return static_cast<double>(outcome.served) / std::max(1, outcome.calls);
    }
};

/// Simulates entries, agents and engines in virtual time.
class PlacementRun
{
public:
    explicit PlacementRun(const EngineFleet &fleet)
        : m_fleet(fleet)
        , m_random(fleet.seed)
    {
        declareModels();
        for (int i = 0; i < fleet.targets; ++i) {
            addEngine(i);
        }
        placeModels();
        for (int i = 0; i < fleet.entries; ++i) {
            addEntry(i);
        }
    }

    PlacementOutcome run()
    {
        for (Engine &engine : m_engines) {
            publish(engine);
        }
        for (const CallClass &kind : m_fleet.classes) {
            m_outcome.classes[kind.name];
            at(nextArrival(kind), [this, &kind] { arrive(kind); });
        }
        if (m_fleet.crashAt > 0) {
            at(m_fleet.crashAt, [this] { m_engines.back().crashed = true; });
            at(m_fleet.crashAt + 3, [this] {
                for (Entry &entry : m_entries) {
                    decideAgain(entry, entry.table->removeRecord(m_engines.back().id, m_now));
                }
            });
        }
        while (!m_events.empty() && m_events.top().at < TimePoint{} + fromSeconds(m_fleet.seconds + 20)) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
        return m_outcome;
    }

private:
    struct Entry;
    struct Event {
        TimePoint at;
        std::uint64_t number = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : number > other.number;
        }
    };
    struct Resident {
        std::set<std::string> adapters;
        int running = 0;
        TimePoint used;
        TimePoint keptUntil; ///< Not evicted before, so that the calls that waited for it can run.
    };
    struct RequestedItem {
        std::string item;
        std::map<const Entry *, TimePoint> until; ///< Entries that requested the item, and when the request expires.
    };
    struct Engine {
        std::string id;
        std::string domain;
        double slowness = 1;
        bool failing = false;
        bool crashed = false;
        std::map<std::string, Resident> models;
        std::set<std::string> inMemory;
        std::set<std::string> onDisk;
        std::list<RequestedItem> requests;
        StoreLoadShare share{0};
        TimePoint nextStoreCheck; ///< Time of the next check of loads that wait for the weight store.
        std::string loading;
        TimePoint loaded;
        std::set<std::string> declined;
        std::map<std::uint64_t, TimePoint> cache; ///< Last use of each prefix, by digest.
        std::map<std::uint64_t, double> cacheSizes;
        double cached = 0;
        double held = 0; ///< KV cache tokens of running calls.
        double waitingNeed = 0; ///< KV cache tokens of calls that have not begun.
        std::uint32_t queued = 0;
        std::uint32_t active = 0;
        std::map<std::pair<std::uint32_t, std::uint64_t>, std::function<Duration()>>
            prefills; ///< Queued prefills, by priority and arrival.
        bool isPrefilling = false;
        TimePoint publishAt;
    };
    struct Entry {
        std::unique_ptr<TargetTable> table;
        std::unique_ptr<EngineChooser> chooser;
        CallQueue queue;
    };
    struct Call {
        const CallClass *kind = nullptr;
        EngineCall ask;
        TimePoint createdAt;
        TimePoint arrivedAt; ///< Arrival at the entry that has the call now.
        TimePoint deadline;
        bool large = false;
        bool isRetry = false;
        Entry *entry = nullptr;
        std::uint64_t number = 0;
        std::uint64_t timer = 0; ///< Number of the last timer; earlier ones are ignored.
    };

    void at(double seconds, std::function<void()> action)
    {
        later(fromSeconds(seconds) - (m_now - TimePoint{}), std::move(action));
    }
    void later(Duration wait, std::function<void()> action)
    {
        m_events.push({m_now + std::max(Duration::zero(), wait), ++m_numbers, std::move(action)});
    }
    double randomFraction()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }
    double nextArrival(const CallClass &kind)
    {
        return toSeconds(m_now - TimePoint{})
            + std::exponential_distribution<double>(kind.perSecond * m_fleet.scale)(m_random);
    }

    void declareModels()
    {
        EngineSpec spec;
        spec.slots = m_fleet.slots;
        spec.cacheTokens = m_fleet.cacheTokens;
        spec.memoryMb = m_fleet.memoryMb;
        spec.adapterSlots = m_fleet.adapterSlots;
        spec.loadsPerSecond = m_fleet.storeLoadsPerSecond;
        for (int i = 0; i < m_fleet.models; ++i) {
            EngineModel model;
            model.name = "model-" + std::to_string(i);
            model.memoryMb = m_fleet.smallestMb + (m_fleet.largestMb - m_fleet.smallestMb) * randomFraction();
            if (i >= m_fleet.models - m_fleet.oversizedModels) {
                model.memoryMb = m_fleet.memoryMb * 1.1;
            }
            model.storeLoad = std::chrono::seconds(6);
            model.diskLoad = std::chrono::milliseconds(600 + m_random() % 200);
            model.memoryLoad = std::chrono::milliseconds(400 + m_random() % 200);
            model.adapters = m_fleet.adapterSlots > 0 ? 4 : 0;
            model.adapterMb = 50;
            spec.models.push_back(model);
        }
        m_state.pools.push_back({"engines", "", 0, spec});
    }
    const EngineSpec &spec() const
    {
        return *m_state.pools.front().engine;
    }

    void addEngine(int number)
    {
        Engine engine;
        engine.id = "target-" + std::to_string(number);
        engine.domain = "domain-" + std::to_string(number % m_fleet.zones);
        engine.slowness = number == 0 ? m_fleet.slowTarget : 1;
        engine.failing = number == 1 && m_fleet.failingTarget > 0;
        engine.share = StoreLoadShare(stableHash(engine.id));
        engine.share.setLimits(m_fleet.storeLoadsPerSecond, {});
        engine.share.noteTargets(static_cast<std::uint32_t>(m_fleet.targets), m_now);
        m_engines.push_back(std::move(engine));
    }

    void placeModels()
    {
        for (int i = 0; i < m_fleet.models; ++i) {
            const std::string name = spec().models[static_cast<std::size_t>(i)].name;
            std::vector<std::size_t> order(m_engines.size());
            for (std::size_t j = 0; j < order.size(); ++j) {
                order[j] = j;
            }
            std::shuffle(order.begin(), order.end(), m_random);
            for (int j = 0; j < m_fleet.copies && j < m_fleet.targets; ++j) {
                Engine &engine = m_engines[order[static_cast<std::size_t>(j)]];
                engine.onDisk.insert(name);
                const int replicas = i < 5 ? m_fleet.busyReplicas : 1;
                if (j < replicas && used(engine) + size(name) <= spec().memoryMb) {
                    engine.models[name].used = m_now;
                    engine.inMemory.insert(name);
                }
            }
        }
    }

    void addEntry(int number)
    {
        Entry entry;
        entry.table = std::make_unique<TargetTable>("entry-" + std::to_string(number),
                                                    "domain-" + std::to_string(number % m_fleet.zones));
        entry.table->setState(m_state);
        entry.table->setEntries(static_cast<std::uint32_t>(m_fleet.entries));
        entry.chooser = std::make_unique<EngineChooser>(*entry.table,
                                                        m_fleet.seed + static_cast<std::uint64_t>(number));
        for (const Engine &engine : m_engines) {
            TargetRecord record;
            record.id = engine.id;
            record.pool = "engines";
            record.domain = engine.domain;
            record.slots = m_fleet.slots;
            record.bornMs = 1;
            entry.table->setRecord(record, m_now);
        }
        m_entries.push_back(std::move(entry));
    }

    void arrive(const CallClass &kind)
    {
        const double seconds = toSeconds(m_now - TimePoint{});
        if (seconds > m_fleet.seconds) {
            return;
        }
        at(nextArrival(kind), [this, &kind] { arrive(kind); });
        auto call = std::make_shared<Call>();
        const int shift = kind.shiftEvery > 0 ? static_cast<int>(seconds / kind.shiftEvery) * kind.models : 0;
        int model = kind.firstModel + static_cast<int>(m_random() % static_cast<std::uint64_t>(kind.models));
        model = kind.shiftOver > 0 ? (model + shift) % kind.shiftOver : model;
        EngineCall &ask = call->ask;
        call->kind = &kind;
        call->number = ++m_calls;
        call->large = m_random() % 10 == 0;
        ask.pool = "engines";
        ask.model = "model-" + std::to_string(model);
        if (kind.adapters > 0 && m_random() % 4 == 0) {
            ask.adapter = "a" + std::to_string(m_random() % static_cast<std::uint64_t>(kind.adapters));
        }
        const std::string subject = ask.model + "-" + kind.name + "-"
            + std::to_string(m_random() % static_cast<std::uint64_t>(kind.subjects));
        const std::uint64_t own = call->large ? kind.own * 5 : kind.own / 2 + m_random() % (kind.own + 1);
        ask.parts = {{kind.name, kind.shared / 3},
                     {subject, kind.shared - kind.shared / 3},
                     {std::to_string(call->number), own}};
        ask.promptTokens = kind.shared + own;
        ask.maxOutputTokens = kind.output * 2;
        ask.lengthHint = kind.output;
        ask.priority = kind.priority;
        ask.targetLatency = fromSeconds(kind.latencyGoal);
        call->createdAt = m_now;
        call->arrivedAt = m_now;
        call->deadline = m_now + fromSeconds(kind.budget);
        call->entry = &m_entries[m_random() % m_entries.size()];
        ++m_outcome.classes[kind.name].calls;
        ++m_outcome.items[ask.model].first;
        ++m_outcome.sizes[call->large ? "large" : "usual"].first;
        decide(call);
    }

    /// Returns whether the call waits for room now.
    bool decide(const std::shared_ptr<Call> &call)
    {
        Entry &entry = *call->entry;
        EngineCall &ask = call->ask;
        ask.remaining = call->deadline - m_now;
        ask.waited = m_now - call->arrivedAt;
        const WaitingCall *waiting = entry.queue.find(call->number);
        ask.callsWaiting = entry.queue.waitingForRoom("engines", ask.model, ask.priority)
            - (waiting != nullptr && waiting->loadTarget.empty() ? 1 : 0);
        const EngineDecision decision = m_fleet.strategy == PlacementStrategy::Chooser
            ? entry.chooser->choose(ask, m_now)
            : chooseBaseline(entry, ask);
        ask.decidedBefore = true;
        if (decision.extraLoad) {
            requestLoad(entry, *decision.extraLoad, std::chrono::seconds(1));
        }
        if (const auto *send = std::get_if<SendTo>(&decision.verdict)) {
            leaveQueue(call);
            deliver(call, send->target);
        } else if (const auto *load = std::get_if<WaitForLoad>(&decision.verdict)) {
            wait(call, load->item, load->target, load->expected + std::chrono::milliseconds(100));
            requestLoad(entry, {load->item, load->target}, std::chrono::seconds(3));
        } else if (const auto *room = std::get_if<WaitForRoom>(&decision.verdict)) {
            wait(call, ask.model, "", room->expected);
            return true;
        } else {
            leaveQueue(call);
            refuse(call, std::get<Refuse>(decision.verdict).retryAfter);
        }
        return false;
    }

    void leaveQueue(const std::shared_ptr<Call> &call)
    {
        Entry &entry = *call->entry;
        if (const WaitingCall *waiting = entry.queue.find(call->number)) {
            const WaitingCall before = *waiting;
            entry.queue.remove(call->number);
            m_waiting.erase(call->number);
            withdrawRequest(entry, before);
        }
    }

    void wait(const std::shared_ptr<Call> &call, const std::string &item, const std::string &target, Duration expected)
    {
        Entry &entry = *call->entry;
        const WaitingCall *known = entry.queue.find(call->number);
        const WaitingCall before = known != nullptr ? *known : WaitingCall{};
        m_waiting[call->number] = call;
        const TimePoint since = known != nullptr ? before.since : m_now;
        entry.queue.put({call->number, "engines", item, target, call->ask.priority, since, call->deadline});
        withdrawRequest(entry, before);
        const Duration left = call->deadline - m_now;
        const std::uint64_t timer = ++call->timer;
        later(std::min(left, std::max(expected, Duration(std::chrono::milliseconds(5)))), [this, call, timer] {
            expire(*call->entry);
            if (timer == call->timer && m_waiting.contains(call->number)) {
                decideAgain(*call->entry, {call->ask.model});
            }
        });
    }

    void expire(Entry &entry)
    {
        for (const WaitingCall &expired : entry.queue.takeExpired(m_now)) {
            const auto call = m_waiting.find(expired.call);
            recordLost(*call->second);
            m_waiting.erase(call);
        }
    }

    void decideAgain(Entry &entry, const ChangedModels &models)
    {
        expire(entry);
        for (const std::string &model : models) {
            for (const std::uint64_t number : entry.queue.waitingFor("engines", model, 64)) {
                const auto call = m_waiting.find(number);
                if (call != m_waiting.end() && decide(std::shared_ptr<Call>(call->second))) {
                    break;
                }
            }
        }
    }

    void recordLost(const Call &call)
    {
        ++m_outcome.classes[call.kind->name].refused;
        double &longest = m_outcome.refusedAfter[call.ask.model];
        longest = std::max(longest, toSeconds(m_now - call.arrivedAt));
        m_outcome.refusalsWithIdleHolder += std::any_of(m_engines.begin(),
                                                        m_engines.end(),
                                                        [&call](const Engine &engine) {
                                                            return engine.models.contains(call.ask.model)
                                                                && engine.active + engine.queued == 0;
                                                        });
    }

    void refuse(const std::shared_ptr<Call> &call, Duration retryAfter)
    {
        const Duration pause = std::max(retryAfter, Duration(std::chrono::milliseconds(20)));
        if (call->isRetry || pause > (call->deadline - m_now) / 3) {
            recordLost(*call);
            return;
        }
        call->isRetry = true;
        call->entry = &m_entries[m_random() % m_entries.size()];
        call->ask.excluded.clear();
        call->ask.decidedBefore = false;
        later(pause, [this, call] {
            call->arrivedAt = m_now;
            decide(call);
        });
    }

    EngineDecision chooseBaseline(Entry &entry, const EngineCall &ask)
    {
        const TargetPool &pool = *entry.table->pool("engines");
        const TargetRing *holders = pool.holdersOf(ask.model);
        const KnownTarget *best = pick(holders, ask);
        if (best != nullptr) {
            const ResidentModel *resident = best->model(ask.model, m_now);
            if (resident != nullptr && !ask.adapter.empty()
                && std::find(resident->adapters.begin(), resident->adapters.end(), ask.adapter)
                    == resident->adapters.end()) {
                return {WaitForLoad{itemKey(ask.model, ask.adapter), best->record.id, {}}, {}};
            }
            return {SendTo{best->record.id}, {}};
        }
        best = pick(pool.loadingOf(ask.model), ask);
        best = best != nullptr ? best : pick(pool.copiesOf(ask.model), ask);
        best = best != nullptr ? best : pick(&pool.accepting, ask);
        if (best == nullptr) {
            return {Refuse{}, {}};
        }
        return {WaitForLoad{ask.model, best->record.id, std::chrono::milliseconds(700)}, {}};
    }

    const KnownTarget *pick(const TargetRing *ring, const EngineCall &ask)
    {
        std::vector<const KnownTarget *> open;
        for (const KnownTarget *target : ring != nullptr ? ring->all() : std::vector<KnownTarget *>()) {
            if (std::find(ask.excluded.begin(), ask.excluded.end(), target->record.id) == ask.excluded.end()) {
                open.push_back(target);
            }
        }
        if (open.empty()) {
            return nullptr;
        }
        if (m_fleet.strategy == PlacementStrategy::Random) {
            return open[m_random() % open.size()];
        }
        return *std::min_element(open.begin(), open.end(), [this](const auto *left, const auto *right) {
            return left->running(m_now) + left->waiting(m_now) < right->running(m_now) + right->waiting(m_now);
        });
    }

    Engine &engineOf(const std::string &id)
    {
        return m_engines[std::stoul(id.substr(7))];
    }

    void deliver(const std::shared_ptr<Call> &call, const std::string &target)
    {
        Engine &engine = engineOf(target);
        const CallTicket ticket = call->entry->table->noteSent(target, call->ask, m_now);
        ++m_outcome.sends;
        m_outcome.onBadTarget += engine.crashed || engine.failing || engine.slowness > 1 ? 1 : 0;
        later(NetworkDelay, [this, call, &engine, ticket] { accept(call, engine, ticket); });
    }

    void accept(const std::shared_ptr<Call> &call, Engine &engine, CallTicket ticket)
    {
        const EngineCall &ask = call->ask;
        const auto resident = engine.models.find(ask.model);
        const auto need = static_cast<double>(ask.promptTokens + ask.lengthHint);
        if (engine.crashed) {
            return retry(call, engine, ticket, CallEnd::Unreachable);
        }
        if (resident == engine.models.end()
            || (!ask.adapter.empty() && !resident->second.adapters.contains(ask.adapter))) {
            return retry(call, engine, ticket, CallEnd::NotResident);
        }
        if (engine.active + engine.queued >= m_fleet.slots + 8
            || (engine.active > 0
                && engine.held + engine.waitingNeed + need > static_cast<double>(m_fleet.cacheTokens))) {
            ++m_outcome.refusedFull;
            return retry(call, engine, ticket, CallEnd::Full);
        }
        if (engine.failing && randomFraction() < m_fleet.failingTarget) {
            return retry(call, engine, ticket, CallEnd::Failed);
        }
        ++engine.queued;
        ++resident->second.running;
        resident->second.used = m_now;
        resident->second.keptUntil = m_now;
        engine.waitingNeed += need;
        engine.prefills[{ask.priority, ++m_numbers}] = [this, call, &engine, ticket, need] {
            engine.waitingNeed -= need;
            engine.held += need;
            const double stretch = engine.slowness * (1 + static_cast<double>(engine.active) / m_fleet.slots);
            const double tokens = prefillTokens(engine, call->ask);
            m_outcome.prefillTokens += tokens;
            m_outcome.promptTokens += static_cast<double>(call->ask.promptTokens);
            const Duration first = fromSeconds(tokens / m_fleet.tokensPerSecond * stretch + m_fleet.step * stretch);
            const Duration rest = fromSeconds(m_fleet.step * stretch * static_cast<double>(call->ask.lengthHint));
            later(first, [this, call, &engine, ticket] { begun(call, engine, ticket); });
            later(first + rest, [this, call, &engine, ticket, need] { ended(call, engine, ticket, need); });
            return first;
        };
        prefill(engine);
        publishLoad(engine);
    }

    void prefill(Engine &engine)
    {
        if (engine.isPrefilling || engine.prefills.empty()) {
            return;
        }
        engine.isPrefilling = true;
        const auto start = engine.prefills.begin()->second;
        engine.prefills.erase(engine.prefills.begin());
        later(start(), [this, &engine] {
            engine.isPrefilling = false;
            prefill(engine);
        });
    }

    void begun(const std::shared_ptr<Call> &call, Engine &engine, CallTicket ticket)
    {
        --engine.queued;
        ++engine.active;
        countServed(call);
        publishLoad(engine);
        decideAgain(*call->entry, call->entry->table->noteFirstEvent(ticket, m_now));
    }

    void ended(const std::shared_ptr<Call> &call, Engine &engine, CallTicket ticket, double need)
    {
        --engine.active;
        engine.held -= need;
        --engine.models[call->ask.model].running;
        serveRequests(engine);
        publishLoad(engine);
        decideAgain(*call->entry, call->entry->table->noteEnded(ticket, CallEnd::Answered, m_now));
    }

    void countServed(const std::shared_ptr<Call> &call)
    {
        if (m_now > call->deadline) {
            return;
        }
        ClassOutcome &outcome = m_outcome.classes[call->kind->name];
        ++outcome.served;
        outcome.inTime += m_now - call->createdAt <= fromSeconds(call->kind->latencyGoal) ? 1 : 0;
        ++m_outcome.items[call->ask.model].second;
        ++m_outcome.sizes[call->large ? "large" : "usual"].second;
    }

    void retry(const std::shared_ptr<Call> &call, Engine &engine, CallTicket ticket, CallEnd end)
    {
        call->entry->table->noteEnded(ticket, end, m_now);
        if (end == CallEnd::Full && m_fleet.strategy != PlacementStrategy::Chooser) {
            refuse(call, std::chrono::milliseconds(100));
            return;
        }
        if (end != CallEnd::NotResident && end != CallEnd::Full) {
            call->ask.excluded.push_back(engine.id);
        }
        if (m_now < call->deadline) {
            decide(call);
        }
    }

    double prefillTokens(Engine &engine, const EngineCall &ask)
    {
        const PrefixChain chain = prefixChain(ask);
        std::uint64_t kept = 0;
        for (const PrefixChain::Link &link : chain.links) {
            if (engine.cache.contains(link.digest)) {
                kept = link.tokens;
            } else {
                engine.cacheSizes[link.digest] = static_cast<double>(link.tokens - kept);
                engine.cached += static_cast<double>(link.tokens - kept);
            }
            engine.cache[link.digest] = m_now;
        }
        const double room = static_cast<double>(m_fleet.cacheTokens) - engine.held;
        while (engine.cached > room && !engine.cache.empty()) {
            const auto oldest = std::min_element(engine.cache.begin(), engine.cache.end(), [](auto &left, auto &right) {
                return left.second < right.second;
            });
            engine.cached -= engine.cacheSizes[oldest->first];
            engine.cacheSizes.erase(oldest->first);
            engine.cache.erase(oldest);
        }
        return static_cast<double>(ask.promptTokens - std::min(kept, ask.promptTokens));
    }

    // The agent carries out one load at a time and evicts the least recently used idle model first.
    void requestLoad(const Entry &entry, const LoadRequest &wanted, Duration kept)
    {
        ++m_outcome.loadRequests;
        later(NetworkDelay, [this, &entry, wanted, kept] {
            Engine &engine = engineOf(wanted.target);
            auto known = findRequest(engine, wanted.item);
            if (known == engine.requests.end()) {
                known = engine.requests.insert(known, {wanted.item, {}});
            }
            known->until[&entry] = std::max(known->until[&entry], m_now + kept);
            serveRequests(engine);
            publishSoon(engine);
        });
    }

    std::list<RequestedItem>::iterator findRequest(Engine &engine, const std::string &item)
    {
        return std::find_if(engine.requests.begin(), engine.requests.end(), [&item](const RequestedItem &wanted) {
            return wanted.item == item;
        });
    }

    /// Withdraws the request from the agent if no call of the entry waits any more for the item of @p before.
    void withdrawRequest(const Entry &entry, const WaitingCall &before)
    {
        const std::vector<DemandedItem> left = entry.queue.demandAt(before.loadTarget);
        const bool wanted = std::any_of(left.begin(), left.end(), [&before](const DemandedItem &demanded) {
            return demanded.item == before.item;
        });
        if (before.loadTarget.empty() || wanted) {
            return;
        }
        later(NetworkDelay, [this, &entry, before] {
            Engine &engine = engineOf(before.loadTarget);
            const auto known = findRequest(engine, before.item);
            if (known != engine.requests.end() && known->until.erase(&entry) > 0 && known->until.empty()) {
                engine.declined.erase(before.item);
                engine.requests.erase(known);
                publishSoon(engine);
            }
        });
    }

    void serveRequests(Engine &engine)
    {
        if (engine.crashed) {
            return;
        }
        for (auto wanted = engine.requests.begin(); wanted != engine.requests.end();) {
            const std::string item = wanted->item;
            const std::string model = modelOfItem(item);
            const bool held = engine.models.contains(model);
            if (isExpired(*wanted) || item == engine.loading || (held && model == item)) {
                engine.declined.erase(item);
                wanted = engine.requests.erase(wanted);
            } else if (held) {
                wanted = engine.requests.erase(wanted);
                later(std::chrono::milliseconds(8), [this, &engine, model, item] { addAdapter(engine, model, item); });
            } else {
                const bool begun = model == item && engine.loading.empty() && load(engine, item);
                wanted = begun ? engine.requests.erase(wanted) : std::next(wanted);
            }
        }
    }

    bool isExpired(const RequestedItem &wanted) const
    {
        return std::all_of(wanted.until.begin(), wanted.until.end(), [this](const auto &until) {
            return until.second < m_now;
        });
    }

    void addAdapter(Engine &engine, const std::string &model, const std::string &item)
    {
        const auto resident = engine.models.find(model);
        if (resident != engine.models.end()) {
            resident->second.adapters.insert(item.substr(model.size() + 1));
            publishSoon(engine);
        }
    }

    /// Whether a load must wait for the weight store. The agent checks again every 150 ms, the interval of reports.
    bool mustWaitForStore(Engine &engine, const std::string &model)
    {
        const bool copied = engine.inMemory.contains(model) || engine.onDisk.contains(model);
        if (!m_fleet.shareStoreRate || copied || engine.share.permits(m_now, 0)) {
            return false;
        }
        if (engine.declined.insert(model).second) {
            publishSoon(engine);
        }
        if (engine.nextStoreCheck <= m_now) {
            engine.nextStoreCheck = m_now + std::chrono::milliseconds(150);
            later(std::chrono::milliseconds(150), [this, &engine] { serveRequests(engine); });
        }
        return true;
    }

    bool load(Engine &engine, const std::string &model)
    {
        if (mustWaitForStore(engine, model)) {
            return false;
        }
        while (used(engine) + size(model) > spec().memoryMb) {
            auto victim = engine.models.end();
            for (auto held = engine.models.begin(); held != engine.models.end(); ++held) {
                if (held->second.running == 0 && held->second.keptUntil <= m_now
                    && (victim == engine.models.end() || held->second.used < victim->second.used)) {
                    victim = held;
                }
            }
            if (victim == engine.models.end()) {
                if (engine.declined.insert(model).second) {
                    publishSoon(engine);
                }
                return false;
            }
            engine.models.erase(victim);
        }
        const EngineModel &known = *spec().model(model);
        Duration takes = known.storeLoad;
        if (engine.inMemory.contains(model)) {
            takes = known.memoryLoad;
        } else if (engine.onDisk.contains(model)) {
            takes = known.diskLoad;
        } else {
            ++m_outcome.storeLoads;
            engine.share.noteLoadStarted(m_now);
        }
        ++m_outcome.loads;
        m_outcome.replicaLoads += std::any_of(m_engines.begin(), m_engines.end(), [&model](const Engine &other) {
            return other.models.contains(model);
        });
        engine.declined.erase(model);
        engine.loading = model;
        m_outcome.maxMemoryMb = std::max(m_outcome.maxMemoryMb, static_cast<int>(used(engine)));
        engine.loaded = m_now + takes;
        publishSoon(engine);
        later(takes, [this, &engine, model] {
            engine.loading.clear();
            engine.models[model].used = m_now;
            engine.models[model].keptUntil = m_now + std::chrono::seconds(1);
            later(std::chrono::seconds(1), [this, &engine] { serveRequests(engine); });
            engine.inMemory.insert(model);
            engine.onDisk.insert(model);
            publishSoon(engine);
            serveRequests(engine);
        });
        return true;
    }

    double size(const std::string &model) const
    {
        return spec().model(model)->memoryMb;
    }
    double used(const Engine &engine) const
    {
        double used = engine.loading.empty() ? 0 : size(engine.loading);
        for (const auto &[name, resident] : engine.models) {
            used += size(name) + 50 * static_cast<double>(resident.adapters.size());
        }
        return used;
    }

    // Changes of what an engine holds are reported at once, its load at intervals.
    void publishSoon(Engine &engine)
    {
        schedulePublish(engine, std::chrono::milliseconds(5));
    }
    void publishLoad(Engine &engine)
    {
        schedulePublish(engine, std::chrono::milliseconds(150));
    }
    void schedulePublish(Engine &engine, Duration wait)
    {
        if (engine.publishAt > m_now && engine.publishAt <= m_now + wait) {
            return;
        }
        engine.publishAt = m_now + wait;
        later(wait, [this, &engine] {
            if (engine.publishAt == m_now) {
                publish(engine);
            }
        });
    }

    void publish(Engine &engine)
    {
        if (engine.crashed) {
            return;
        }
        TargetView view;
        view.bornMs = 1;
        for (const auto &[name, resident] : engine.models) {
            view.models.push_back({name, 1, {resident.adapters.begin(), resident.adapters.end()}});
        }
        if (!engine.loading.empty()) {
            view.loading.push_back({engine.loading, engine.loaded - m_now});
        }
        Duration ready = engine.loading.empty() ? Duration::zero() : engine.loaded - m_now;
        for (const auto &[item, until] : engine.requests) {
            if (item == modelOfItem(item) && !engine.declined.contains(item)) {
                ready += spec().model(item)->diskLoad;
                view.loading.push_back({item, ready});
            }
        }
        view.copies.inMemory.assign(engine.inMemory.begin(), engine.inMemory.end());
        view.copies.onDisk.assign(engine.onDisk.begin(), engine.onDisk.end());
        view.storeWait = m_fleet.shareStoreRate && m_fleet.reportStoreWaits ? engine.share.timeUntilTurn(m_now)
                                                                            : Duration::zero();
        view.queued = engine.queued;
        view.active = engine.active;
        view.cacheUsed = static_cast<std::uint64_t>(engine.held);
        view.cacheTotal = m_fleet.cacheTokens;
        view.declined.assign(engine.declined.begin(), engine.declined.end());
        const std::string id = engine.id;
        later(NetworkDelay, [this, id, view] {
            for (Entry &entry : m_entries) {
                decideAgain(entry, entry.table->setView(id, view, m_now));
            }
        });
        schedulePublish(engine, std::chrono::seconds(1));
    }

    static constexpr Duration NetworkDelay = std::chrono::milliseconds(1);

    EngineFleet m_fleet;
    std::mt19937_64 m_random;
    ServingState m_state;
    std::deque<Engine> m_engines;
    std::deque<Entry> m_entries;
    std::priority_queue<Event> m_events;
    std::map<std::uint64_t, std::shared_ptr<Call>> m_waiting;
    std::uint64_t m_numbers = 0;
    std::uint64_t m_calls = 0;
    TimePoint m_now;
    PlacementOutcome m_outcome;
};

} // namespace celeryroute::simulation
