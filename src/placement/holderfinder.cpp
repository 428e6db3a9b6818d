#include <celeryroute/detail/placement/holderfinder.h>

#include <celeryroute/detail/base/digest.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr std::size_t SampleSize = 16; // Holders that are compared in one round.
constexpr std::uint64_t Rounds = 3; // Samples that are tried until one has a healthy holder with room.
constexpr double SlotQueue = 1.0 / 16; // Calls that a target queues beyond its slots, as a share of them.
constexpr double UrgentReserve = 0.1; // Share of a target that is reserved for more urgent calls.
constexpr double HomeWeight =
    0.5; // Share of the prefill time of the shared parts that is added for targets far from the home of the prefix.
constexpr double AdapterLoad = 0.01; // Seconds that a load of an adapter takes.
constexpr double AdapterSpread = 0.1; // Seconds; penalty that concentrates an adapter on few targets.
constexpr double AdapterFull = 0.05; // Seconds; penalty for a target without a free adapter slot.
constexpr double AdapterDeclined = 1; // Seconds; penalty for a target that declines the adapter.
constexpr double OtherDomain = 0.001; // Seconds; penalty, since traffic between domains is billed.
constexpr double CrowdedShare = 0.6; // Share of the slack that a call may wait at the target.
constexpr double DoubtfulTrust = 0.3; // Traffic share below which a target counts as unhealthy.
constexpr double UnknownDuration = 1; // Seconds of a call, before anything is observed.
constexpr double LeastSlowness = 0.5;
constexpr double MostSlowness = 20;

bool contains(const std::vector<std::string> &list, const std::string &name)
{
    return std::find(list.begin(), list.end(), name) != list.end();
}

// All calls for an adapter share one home, so that the adapter is loaded on few targets only.
std::uint64_t homeOf(const EngineAsk &ask)
{
    return ask.call.adapter.empty() ? ask.chain.home : stableHash(ask.item);
}

} // namespace

bool Holder::betterThan(const Holder &other) const
{
    if (grade != other.grade) {
        return grade < other.grade;
    }
    if (room != other.room) {
        return room;
    }
    return room ? cost < other.cost : roomIn < other.roomIn;
}

HolderFinder::HolderFinder(const TargetBook &book, std::uint64_t seed)
    : m_book(book)
    , m_random(seed)
{}

Holder HolderFinder::best(const EngineAsk &ask)
{
    Holder best;
    const TargetRing *ring = ask.pool.holdersOf(ask.call.model);
    if (ring == nullptr) {
        return best;
    }
    const std::uint64_t rounds = ring->size() > SampleSize ? Rounds : 1;
    for (std::uint64_t round = 0; round < rounds; ++round) {
        ring->sample(mixBits(homeOf(ask) + round), random(), SampleSize, m_sample);
        for (KnownTarget *target : m_sample) {
            const Holder holder = assess(ask, *target);
            if (holder.target != nullptr && (best.target == nullptr || holder.betterThan(best))) {
                best = holder;
            }
        }
        if (best.target != nullptr && best.grade == Holder::Grade::Sound && best.room) {
            break;
        }
    }
    return best;
}

bool HolderFinder::anySound(const EngineAsk &ask)
{
    ask.pool.open.sample(random(), random(), SampleSize, m_sample);
    return std::any_of(m_sample.begin(), m_sample.end(), [&ask](const KnownTarget *target) {
        return target->health.standing(ask.now) == TargetHealth::Standing::Good;
    });
}

Holder HolderFinder::assess(const EngineAsk &ask, KnownTarget &target)
{
    const ResidentModel *resident = target.model(ask.call.model, ask.now);
    const bool otherVersion = resident != nullptr && ask.call.weightsVersion
        && resident->version != *ask.call.weightsVersion;
    if (resident == nullptr || otherVersion || contains(ask.call.excluded, target.record.id)) {
        return {};
    }
    Holder holder;
    holder.target = &target;
    holder.grade = grade(ask, target);
    estimateTime(ask, holder);
    estimateRoom(ask, holder);
    holder.cost += adapterCost(ask, *resident, target);
    holder.cost += target.record.domain == m_book.domain() ? 0 : OtherDomain;
    return holder;
}

Holder::Grade HolderFinder::grade(const EngineAsk &ask, const KnownTarget &target)
{
    const TargetHealth::Standing standing = target.health.standing(ask.now);
    const bool heard = target.viewFresh(ask.now);
    // While the agent of the target is silent too, a probe would be wasted.
    const bool dark = standing == TargetHealth::Standing::Probe && target.view && !heard;
    if (standing == TargetHealth::Standing::Shunned || dark || (heard && !target.view->reachable)) {
        return Holder::Grade::Bad;
    }
    const double trust = target.health.trust(ask.pool.failures.value(0, ask.now), ask.now);
    if (trust >= 1 || static_cast<double>(random() % 1024) < trust * 1024) {
        return Holder::Grade::Sound;
    }
    return trust < DoubtfulTrust ? Holder::Grade::Bad : Holder::Grade::Doubtful;
}

// Entries that do not know where a prefix is cached prefer the same target for it, by rendezvous hashing.
void HolderFinder::estimateTime(const EngineAsk &ask, Holder &holder) const
{
    const KnownTarget &target = *holder.target;
    const std::uint64_t kept = ask.guess.keptTokens(target, ask.pool.engine->cacheTokens, m_book.entries());
    const std::uint64_t uncached = ask.call.promptTokens - std::min(kept, ask.call.promptTokens);
    const ExpectedStart start = ask.pool.expectedStart(target, uncached, ask.call.priority, ask.now);
    const double slowness = std::clamp(target.latency.value(1, ask.now), LeastSlowness, MostSlowness)
        * ask.pool.delays.factor(ask.call.priority, ask.now);
    holder.wait = start.wait * slowness;
    holder.total = start.total * slowness;
    holder.alone = ask.pool.speed.firstEvent(uncached);
    holder.cost = holder.total;
    if (kept < ask.chain.sharedTokens) {
        const auto unknown = static_cast<double>(ask.chain.sharedTokens - kept);
        holder.cost += HomeWeight * ask.pool.speed.prefill(unknown) * (1 - unitRank(homeOf(ask), target));
    }
}

// A target without calls has room for any call, so that the largest calls are served too.
void HolderFinder::estimateRoom(const EngineAsk &ask, Holder &holder) const
{
    const KnownTarget &target = *holder.target;
    const bool moreUrgent = ask.call.priority > 0 && ask.pool.urgency.upTo(ask.call.priority - 1) > 0;
    const double open = moreUrgent ? 1 - UrgentReserve : 1;
    const double calls = target.running(ask.now) + target.waiting(ask.now);
    const std::uint64_t reported = target.view ? target.view->cacheTotal : 0;
    const auto total = static_cast<double>(reported > 0 ? reported : ask.pool.engine->cacheTokens);
    const auto need = static_cast<double>(ask.call.promptTokens + ask.call.expectedOutput());
    const bool fits = calls < 1 || total == 0 || target.cacheTokens(ask.now) + need <= total * open;
    const bool free = fits && calls < ask.pool.slotsOf(target) * (open + SlotQueue);
    const double most = CrowdedShare * std::max(ask.aim - holder.alone, ask.aim / 4);
    const double refused = toSeconds(target.fullUntil - ask.now);
    holder.room = free && refused <= 0 && (holder.wait <= most || target.waiting(ask.now) < 1);
    const double next = ask.pool.duration.value(UnknownDuration, ask.now) / std::max(1.0, calls);
    holder.roomIn = std::max({free ? 0.0 : next, holder.wait - most, refused});
}

// All entries prefer the same targets for an adapter, by rendezvous hashing, unless these have too much load.
double HolderFinder::adapterCost(const EngineAsk &ask, const ResidentModel &resident, const KnownTarget &target) const
{
    if (ask.call.adapter.empty() || contains(resident.adapters, ask.call.adapter)) {
        return 0;
    }
    const double declined = target.declines(ask.item, ask.now) ? AdapterDeclined : 0;
    const double busy = toSeconds(target.busyFor(ask.now)); // An agent carries out no other orders during a load.
    if (target.loadingFor(ask.item, ask.now)) {
        return AdapterLoad + busy + declined;
    }
    std::size_t held = 0;
    for (const ResidentModel &model : target.models(ask.now)) {
        held += model.adapters.size();
    }
    const double full = held >= ask.pool.engine->adapterSlots ? AdapterFull : 0;
    return AdapterLoad + busy + AdapterSpread * (1 - unitRank(homeOf(ask), target)) + full + declined;
}

std::uint64_t HolderFinder::random()
{
    m_random += 1;
    return mixBits(m_random);
}

} // namespace celeryroute
