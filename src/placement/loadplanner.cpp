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
constexpr double RankWeight =
    0.2; // Weight of the rendezvous score; makes entries agree although they compute slightly different costs.
constexpr double Horizon = 10; // Seconds over which the late calls after the eviction of a model are counted.
constexpr double LeastLoss =
    0.05; // Late calls; least cost of evicting a model with demand, which decides between otherwise equal choices.
constexpr double BusyCost = 0.5; // Late calls; cost of waiting until a model in use can be evicted.
constexpr double UnheardCost = 0.2; // Seconds; penalty for an agent without any report yet.
constexpr double SilentCost = 2; // Seconds; penalty for an agent that went silent.
constexpr double DeclinedTime = 1; // Seconds after which an agent that declined a load may accept it.
constexpr Duration TellInterval = 300ms; // Interval at which a load request to an agent is repeated.
constexpr Duration LeastPatience =
    500ms; // Time, in addition to twice the load time, until a request without effect is given up.
constexpr std::uint32_t LeastUrgent = 9;
constexpr double LeastAim = 0.01; // Seconds; avoids a division by 0.

double loadSeconds(const EngineModel &model, CopyPlace source)
{
    switch (source) {
    case CopyPlace::Memory:
        return toSeconds(model.memoryLoad);
    case CopyPlace::Disk:
        return toSeconds(model.diskLoad);
    case CopyPlace::Store:
        break;
    }
    return toSeconds(model.storeLoad);
}

bool contains(const std::vector<std::string> &list, const std::string &name)
{
    return std::find(list.begin(), list.end(), name) != list.end();
}

CopyPlace sourceAt(const KnownTarget &target, const std::string &model, TimePoint now)
{
    const LocalCopies &copies = target.copies(now);
    if (contains(copies.inMemory, model)) {
        return CopyPlace::Memory;
    }
    return contains(copies.onDisk, model) ? CopyPlace::Disk : CopyPlace::Store;
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

struct LoadPlanner::Offer {
    KnownTarget *target = nullptr;
    double ready = 0;
    double cost = 0;
    double wait = 0;
    CopyPlace source = CopyPlace::Store;
    bool declined = false;
    double score = 0; ///< The lowest score wins.
};

LoadPlanner::LoadPlanner(TargetBook &book)
    : m_book(book)
{}

std::optional<LoadPlan>
LoadPlanner::plan(TargetPool &pool, const EngineModel &model, const LoadNeed &need, TimePoint now)
{
    if (std::optional<LoadPlan> plan = underWay(pool, model.name, need, now)) {
        return plan;
    }
    std::optional<Offer> chosen;
    if (const TargetRing *ring = pool.copiesOf(model.name)) {
        chosen = best(pool, model, *ring, need, false, now);
    }
    // A further replica is loaded from the weight store only if no target has a local copy.
    if (!chosen || (!need.spare && chosen->ready > need.within)) {
        const std::optional<Offer> stored = best(pool, model, pool.open, need, true, now);
        if (stored && (!chosen || stored->ready <= need.within)) {
            chosen = stored;
        }
    }
    if (!chosen) {
        return std::nullopt;
    }
    return LoadPlan{chosen->target->record.id, chosen->ready, chosen->cost, chosen->wait, chosen->source, false};
}

std::optional<LoadPlan>
LoadPlanner::underWay(const TargetPool &pool, const std::string &model, const LoadNeed &need, TimePoint now)
{
    std::optional<LoadPlan> earliest;
    if (const TargetRing *ring = pool.loadingOf(model)) {
        ring->sample(stableHash(model), 0, SampleSize, m_sample);
        for (const KnownTarget *target : m_sample) {
            const std::optional<Duration> remaining = target->loadingFor(model, now);
            if (!remaining || !target->view->reachable || contains(*need.excluded, target->record.id)) {
                continue;
            }
            const double ready = toSeconds(*remaining);
            if (!earliest || ready < earliest->ready) {
                earliest = LoadPlan{target->record.id, ready, 0, 0, CopyPlace::Disk, true};
            }
        }
    }
    const auto asked = m_asked.find(pool.name + '\n' + model);
    if (earliest || asked == m_asked.end()) {
        return earliest;
    }
    const KnownTarget *target = m_book.target(asked->second.target);
    const bool stands = target != nullptr && target->open() && now < asked->second.until
        && target->model(model, now) == nullptr && !target->declines(model, now)
        && target->health.standing(now) != TargetHealth::Standing::Shunned;
    if (!stands) {
        forgetAsked(asked->second.target, asked->first);
        m_asked.erase(asked);
        return std::nullopt;
    }
    if (contains(*need.excluded, asked->second.target)) {
        return std::nullopt;
    }
    const double ready = std::max(0.0, toSeconds(asked->second.ready - now));
    return LoadPlan{asked->second.target, ready, 0, 0, CopyPlace::Disk, true};
}

bool LoadPlanner::noteAsked(const TargetPool &pool, const EngineModel &model, const LoadPlan &plan, TimePoint now)
{
    const std::string key = pool.name + '\n' + model.name;
    const auto known = m_asked.find(key);
    if (!plan.underWay) {
        const Duration load = fromSeconds(plan.ready);
        if (known != m_asked.end()) {
            forgetAsked(known->second.target, key);
        }
        m_asked[key] = {plan.target, now, now + load, now + load * 2 + LeastPatience, now};
        m_askedOf[plan.target].push_back(key);
        return true;
    }
    if (known == m_asked.end() || known->second.target != plan.target || now < known->second.told + TellInterval) {
        return false;
    }
    known->second.told = now;
    return true;
}

void LoadPlanner::forgetAsked(const std::string &target, const std::string &key)
{
    const auto keys = m_askedOf.find(target);
    std::erase(keys->second, key);
    if (keys->second.empty()) {
        m_askedOf.erase(keys);
    }
}

std::optional<LoadPlanner::Offer> LoadPlanner::best(const TargetPool &pool,
                                                    const EngineModel &model,
                                                    const TargetRing &ring,
                                                    const LoadNeed &need,
                                                    bool fromStore,
                                                    TimePoint now)
{
    const std::uint64_t key = stableHash(model.name);
    ring.sample(key, mixBits(key), SampleSize, m_sample);
    std::optional<Offer> chosen;
    for (KnownTarget *target : m_sample) {
        if (contains(*need.excluded, target->record.id)) {
            continue;
        }
        std::optional<Offer> offered = offer(pool, model, *target, now);
        if (!offered || (!fromStore && offered->source == CopyPlace::Store)) {
            continue;
        }
        offered->score = (offered->ready + offered->wait) / std::max(need.aim, LeastAim) + offered->cost
            + RankWeight * (1 - unitRank(key, *target));
        if (!chosen || offered->score < chosen->score) {
            chosen = offered;
        }
    }
    return chosen;
}

std::optional<LoadPlanner::Offer>
LoadPlanner::offer(const TargetPool &pool, const EngineModel &model, KnownTarget &target, TimePoint now) const
{
    if (target.model(model.name, now) != nullptr || target.health.standing(now) == TargetHealth::Standing::Shunned) {
        return std::nullopt;
    }
    const bool fresh = target.viewFresh(now);
    if (fresh && (!target.view->reachable || !target.view->ordering)) {
        return std::nullopt;
    }
    const double eviction = evictionCost(pool, model, target, now);
    if (!std::isfinite(eviction)) {
        return std::nullopt;
    }
    Offer offer;
    offer.target = &target;
    offer.source = sourceAt(target, model.name, now);
    offer.ready = busyFor(pool, target, now) + loadSeconds(model, offer.source);
    if (offer.source == CopyPlace::Store) {
        offer.ready += toSeconds(target.storeWait(now));
    }
    offer.declined = target.declines(model.name, now);
    offer.ready += offer.declined ? DeclinedTime : 0;
    if (!fresh) {
        offer.ready += target.view ? SilentCost : UnheardCost;
    }
    offer.cost = eviction + 1 - target.health.trust(pool.failures.value(0, now), now);
    const ExpectedStart start = pool.expectedStart(target, meanTokens(pool, now), LeastUrgent, now);
    offer.wait = start.wait + start.total * std::max(0.0, target.latency.value(1, now) - 1);
    return offer;
}

// Includes loads that this entry has requested and that the agent does not report yet.
double LoadPlanner::busyFor(const TargetPool &pool, const KnownTarget &target, TimePoint now) const
{
    double busy = toSeconds(target.busyFor(now));
    const auto keys = m_askedOf.find(target.record.id);
    if (keys == m_askedOf.end()) {
        return busy;
    }
    for (const std::string &key : keys->second) {
        const std::string model = key.substr(pool.name.size() + 1);
        const Asked &asked = m_asked.at(key);
        if (now < asked.until && target.model(model, now) == nullptr && !target.loadingFor(model, now)) {
            busy += std::max(0.0, toSeconds(asked.ready - asked.at));
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
        losses.emplace_back(lossCost(pool, resident.name, target, now), size);
    }
    if (target.viewFresh(now)) {
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

// Expected number of late calls for the model if it is evicted from this target.
double
LoadPlanner::lossCost(const TargetPool &pool, const std::string &model, const KnownTarget &target, TimePoint now) const
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
    const double rate = pool.traffic.rate(model, now) * m_book.entries();
    const double asked = 1 - std::exp(-rate * Horizon);
    const double slack = pool.traffic.aim(model, now) - pool.speed.firstEvent(meanTokens(pool, now));
    const double base = LeastLoss * asked / std::max(1.0, replicas) + (inUse ? BusyCost : 0);
    if (replicas > 1) {
        const double read = pool.speed.prefill(static_cast<double>(meanTokens(pool, now)));
        const double wait = pool.traffic.wait(model, now) + read * rate * read / replicas;
        const double then = wait * replicas / (replicas - 1);
        return base + rate * Horizon * (lateShare(then, slack) - lateShare(wait, slack));
    }
    const double reload = loadSeconds(*known, CopyPlace::Disk);
    return base + asked * (1 + rate * reload) * lateShare(reload, slack);
}

} // namespace celeryroute
