#include <celeryroute/detail/placement/loadplanner.h>

#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/placement/itemkey.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace celeryroute {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t SampleSize = 32;
constexpr double RendezvousWeight =
    0.2; // Weight of the rendezvous score, which makes entries with slightly different costs choose the same target.
constexpr double LossHorizon = 10; // Seconds after an eviction for which late calls count as its cost.
// In late calls; least cost of evicting the only replica of a model that is certain to be called. Decides between
// choices that are equal otherwise.
constexpr double BaseEvictionCost = 0.05;
constexpr double BusyCost = 0.5; // In late calls; cost of waiting until a model in use can be evicted.
constexpr double UnreportedPenalty = 0.2; // Seconds; penalty for a target whose agent has not sent a report yet.
constexpr double SilentPenalty = 2; // Seconds; penalty for a target whose agent has stopped sending reports.
constexpr double DeclinedPenalty = 1; // Seconds after which an agent that declined a load is assumed to accept it.
constexpr Duration RequestInterval = 300ms; // Interval at which a load request to an agent is repeated.
constexpr Duration RequestGrace =
    500ms; // Added to twice the load time; a load request without effect is then given up.
constexpr std::uint32_t LowestPriority = 9;
constexpr double MinLatencyGoal = 0.01; // Seconds; avoids a division by 0.

double loadSeconds(const EngineModel &model, CopySource source)
{
    switch (source) {
    case CopySource::Memory:
        return toSeconds(model.memoryLoad);
    case CopySource::Disk:
        return toSeconds(model.diskLoad);
    case CopySource::Store:
        break;
    }
    return toSeconds(model.storeLoad);
}

bool contains(const std::vector<std::string> &list, const std::string &name)
{
    return std::find(list.begin(), list.end(), name) != list.end();
}

CopySource sourceAt(const KnownTarget &target, const std::string &model, TimePoint now)
{
    const LocalCopies &copies = target.copies(now);
    if (contains(copies.inMemory, model)) {
        return CopySource::Memory;
    }
    return contains(copies.onDisk, model) ? CopySource::Disk : CopySource::Store;
}

std::uint64_t meanTokens(const TargetPool &pool, TimePoint now)
{
    return static_cast<std::uint64_t>(pool.uncached.value(0, now));
}

double sizeOf(const TargetPool &pool, const std::string &model)
{
    const EngineModel *known = pool.model(model);
    return known != nullptr ? known->memoryMb : 0;
}

} // namespace

struct LoadPlanner::Candidate {
    KnownTarget *target = nullptr;
    double readySeconds = 0; ///< Seconds until the model is resident.
    double addedSeconds = 0; ///< Part of readySeconds that does not pass with the earlier loads of the target.
    /// Expected late calls because of evictions, plus the share of its usual calls that the target should not get.
    double cost = 0;
    double queueDelay = 0; ///< Seconds that calls wait at the target now.
    CopySource source = CopySource::Store;
    bool declined = false;
    double score = 0; ///< The lowest score wins.
};

LoadPlanner::LoadPlanner(TargetTable &table)
    : m_table(table)
{}

std::optional<LoadPlan>
LoadPlanner::plan(TargetPool &pool, const EngineModel &model, const LoadConditions &conditions, TimePoint now)
{
    if (std::optional<LoadPlan> plan = findUnderWay(pool, model.name, conditions, now)) {
        return plan;
    }
    std::optional<Candidate> chosen;
    if (const TargetRing *ring = pool.copiesOf(model.name)) {
        chosen = bestCandidate(pool, model, *ring, conditions, false, now);
    }
    // An extra replica is loaded from the weight store only if no sampled target can load a local copy.
    if (!chosen || (!conditions.isExtraReplica && chosen->readySeconds > conditions.remaining)) {
        const std::optional<Candidate> stored = bestCandidate(pool, model, pool.accepting, conditions, true, now);
        if (stored && (!chosen || stored->readySeconds <= conditions.remaining)) {
            chosen = stored;
        }
    }
    if (!chosen) {
        return std::nullopt;
    }
    return LoadPlan{chosen->target->record.id,
                    chosen->readySeconds,
                    chosen->addedSeconds,
                    chosen->cost,
                    chosen->queueDelay,
                    chosen->source,
                    false};
}

std::optional<LoadPlan> LoadPlanner::findUnderWay(const TargetPool &pool,
                                                  const std::string &model,
                                                  const LoadConditions &conditions,
                                                  TimePoint now)
{
    std::optional<LoadPlan> earliest;
    if (const TargetRing *ring = pool.loadingOf(model)) {
        ring->sample(stableHash(model), 0, SampleSize, m_sample);
        for (const KnownTarget *target : m_sample) {
            const std::optional<Duration> remaining = target->loadingFor(model, now);
            if (!remaining || !target->view->reachable || contains(*conditions.excluded, target->record.id)) {
                continue;
            }
            const double readySeconds = toSeconds(*remaining);
            if (!earliest || readySeconds < earliest->readySeconds) {
                earliest = LoadPlan{target->record.id, readySeconds, 0, 0, 0, CopySource::Disk, true};
            }
        }
    }
    const auto requested = m_requested.find(pool.name + '\n' + model);
    if (earliest || requested == m_requested.end()) {
        return earliest;
    }
    const KnownTarget *target = m_table.target(requested->second.target);
    const bool isValid = target != nullptr && target->acceptsCalls() && now < requested->second.expires
        && target->model(model, now) == nullptr && !target->declines(model, now)
        && target->health.state(now) != TargetHealth::State::Ejected;
    if (!isValid) {
        eraseRequest(requested->second.target, requested->first);
        m_requested.erase(requested);
        return std::nullopt;
    }
    if (contains(*conditions.excluded, requested->second.target)) {
        return std::nullopt;
    }
    const double readySeconds = std::max(0.0, toSeconds(requested->second.ready - now));
    return LoadPlan{requested->second.target, readySeconds, 0, 0, 0, CopySource::Disk, true};
}

bool LoadPlanner::noteRequested(const TargetPool &pool, const EngineModel &model, const LoadPlan &plan, TimePoint now)
{
    const std::string key = pool.name + '\n' + model.name;
    const auto known = m_requested.find(key);
    if (!plan.isUnderWay) {
        const Duration load = fromSeconds(plan.readySeconds);
        if (known != m_requested.end()) {
            eraseRequest(known->second.target, key);
        }
        m_requested[key] = {plan.target,
                            fromSeconds(plan.addedSeconds),
                            now + load,
                            now + load * 2 + RequestGrace,
                            now};
        m_requestedByTarget[plan.target].push_back(key);
        return true;
    }
    if (known == m_requested.end() || known->second.target != plan.target
        || now < known->second.lastSent + RequestInterval) {
        return false;
    }
    known->second.lastSent = now;
    return true;
}

void LoadPlanner::eraseRequest(const std::string &target, const std::string &key)
{
    const auto keys = m_requestedByTarget.find(target);
    std::erase(keys->second, key);
    if (keys->second.empty()) {
        m_requestedByTarget.erase(keys);
    }
}

std::optional<LoadPlanner::Candidate> LoadPlanner::bestCandidate(const TargetPool &pool,
                                                                 const EngineModel &model,
                                                                 const TargetRing &ring,
                                                                 const LoadConditions &conditions,
                                                                 bool fromStore,
                                                                 TimePoint now)
{
    const std::uint64_t key = stableHash(model.name);
    ring.sample(key, mixBits(key), SampleSize, m_sample);
    std::optional<Candidate> chosen;
    for (KnownTarget *target : m_sample) {
        if (contains(*conditions.excluded, target->record.id)) {
            continue;
        }
        std::optional<Candidate> candidate = assess(pool, model, *target, now);
        if (!candidate || (!fromStore && candidate->source == CopySource::Store)) {
            continue;
        }
        candidate->score = (candidate->readySeconds + candidate->queueDelay)
                / std::max(conditions.latencyGoal, MinLatencyGoal)
            + candidate->cost + RendezvousWeight * (1 - rendezvousScore(key, *target));
        if (!chosen || candidate->score < chosen->score) {
            chosen = candidate;
        }
    }
    return chosen;
}

std::optional<LoadPlanner::Candidate>
LoadPlanner::assess(const TargetPool &pool, const EngineModel &model, KnownTarget &target, TimePoint now) const
{
    if (target.model(model.name, now) != nullptr || target.health.state(now) == TargetHealth::State::Ejected) {
        return std::nullopt;
    }
    const bool fresh = target.isViewFresh(now);
    if (fresh && (!target.view->reachable || !target.view->ordering)) {
        return std::nullopt;
    }
    const double eviction = evictionCost(pool, model, target, now);
    if (!std::isfinite(eviction)) {
        return std::nullopt;
    }
    Candidate candidate;
    candidate.target = &target;
    candidate.source = sourceAt(target, model.name, now);
    candidate.addedSeconds = loadSeconds(model, candidate.source);
    if (candidate.source == CopySource::Store) {
        candidate.addedSeconds += toSeconds(target.storeWait(now));
    }
    candidate.declined = target.declines(model.name, now);
    candidate.addedSeconds += candidate.declined ? DeclinedPenalty : 0;
    if (!fresh) {
        candidate.addedSeconds += target.view ? SilentPenalty : UnreportedPenalty;
    }
    candidate.readySeconds = busySeconds(pool, target, now) + candidate.addedSeconds;
    candidate.cost = eviction + 1 - target.health.trafficShare(pool.failures.value(0, now), now);
    const PredictedDelays start = pool.predictDelays(target, meanTokens(pool, now), LowestPriority, now);
    candidate.queueDelay = start.queueDelay + start.firstEventDelay * std::max(0.0, target.latency.value(1, now) - 1);
    return candidate;
}

// Seconds until the target has finished its loads, including those that this entry has requested but that the agent
// does not report yet.
double LoadPlanner::busySeconds(const TargetPool &pool, const KnownTarget &target, TimePoint now) const
{
    double busy = toSeconds(target.busyFor(now));
    const auto keys = m_requestedByTarget.find(target.record.id);
    if (keys == m_requestedByTarget.end()) {
        return busy;
    }
    for (const std::string &key : keys->second) {
        const std::string model = key.substr(pool.name.size() + 1);
        const RequestedLoad &requested = m_requested.at(key);
        if (now < requested.expires && target.model(model, now) == nullptr && !target.loadingFor(model, now)) {
            busy += toSeconds(requested.added);
        }
    }
    return busy;
}

double LoadPlanner::evictionCost(const TargetPool &pool,
                                 const EngineModel &model,
                                 const KnownTarget &target,
                                 TimePoint now) const
{
    const EngineSpec &spec = *pool.engine;
    if (model.memoryMb > spec.memoryMb) {
        return std::numeric_limits<double>::infinity();
    }
    double used = 0;
    std::vector<std::pair<double, double>> losses; // Cost in late calls, and size in MB.
    for (const ResidentModel &resident : target.models(now)) {
        const EngineModel *known = pool.model(resident.name);
        const double size = known == nullptr
            ? 0
            : known->memoryMb + known->adapterMb * static_cast<double>(resident.adapters.size());
        used += size;
        losses.emplace_back(evictionLateCalls(pool, resident.name, target, now), size);
    }
    if (target.isViewFresh(now)) {
        for (const LoadingItem &loading : target.view->loading) {
            used += sizeOf(pool, loading.item);
        }
    }
    double missing = used + model.memoryMb - spec.memoryMb;
    double cost = 0;
    std::sort(losses.begin(), losses.end());
    for (const auto &[loss, size] : losses) {
        if (missing <= 0) {
            break;
        }
        missing -= size;
        cost += loss;
    }
    return cost + (missing > 0 ? BusyCost : 0);
}

// Expected number of additional late calls of the model if it is evicted from this target.
double LoadPlanner::evictionLateCalls(const TargetPool &pool,
                                      const std::string &model,
                                      const KnownTarget &target,
                                      TimePoint now) const
{
    const EngineModel *known = pool.model(model);
    if (known == nullptr) {
        return 0;
    }
    const bool inUse = std::any_of(target.own.items.begin(), target.own.items.end(), [&model](const auto &item) {
        return modelOfItem(item.first) == model;
    });
    const TargetRing *holders = pool.holdersOf(model);
    const double replicas = holders != nullptr ? static_cast<double>(holders->size()) : 0;
    const double rate = pool.traffic.rate(model, now) * m_table.entries();
    const double demandProbability = 1 - std::exp(-rate * LossHorizon);
    const double slack = pool.traffic.latencyGoal(model, now) - pool.speed.firstEvent(meanTokens(pool, now));
    const double base = BaseEvictionCost * demandProbability / std::max(1.0, replicas) + (inUse ? BusyCost : 0);
    if (replicas > 1) {
        const double read = pool.speed.prefill(static_cast<double>(meanTokens(pool, now)));
        const double wait = pool.traffic.wait(model, now) + read * rate * read / replicas;
        const double then = wait * replicas / (replicas - 1);
        return base + rate * LossHorizon * (lateShare(then, slack) - lateShare(wait, slack));
    }
    const double reload = loadSeconds(*known, CopySource::Disk);
    return base + demandProbability * (1 + rate * reload) * lateShare(reload, slack);
}

} // namespace celeryroute
