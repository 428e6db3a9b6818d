#include <celeryroute/detail/placement/holderfinder.h>

#include <celeryroute/detail/base/digest.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr std::size_t SampleSize = 16; // Holders that are compared in one round.
constexpr std::uint64_t MaxRounds = 3; // Largest number of samples tried until one has a healthy holder with room.
constexpr double QueuedSlotShare = 1.0 / 16; // Calls that a target queues beyond its slots, as a share of them.
constexpr double UrgentReserve = 0.1; // Share of the capacity of a target that is reserved for more urgent calls.
constexpr double RendezvousWeight = 0.5; // Share of the prefill time of the uncached shared parts that is added for
                                         // targets with a low rendezvous score.
constexpr double AdapterLoadTime = 0.01; // Seconds that a load of an adapter takes.
constexpr double AdapterHomePenalty = 0.1; // Seconds; penalty that concentrates an adapter on few targets.
constexpr double AdapterSlotPenalty = 0.05; // Seconds; penalty for a target without a free adapter slot.
constexpr double AdapterDeclinedPenalty = 1; // Seconds; penalty for a target that declines the adapter.
constexpr double OtherDomainPenalty = 0.001; // Seconds; penalty, since traffic between domains is billed.
constexpr double MaxWaitShare = 0.6; // Share of the slack that a call may wait at the target.
constexpr double UnhealthyTrafficShare =
    0.3; // Below it, a target is unhealthy for the calls that its traffic share excludes.
constexpr double DefaultDuration = 1; // Seconds of a call, before anything is observed.
constexpr double MinSlowness = 0.5;
constexpr double MaxSlowness = 20;

bool contains(const std::vector<std::string> &list, const std::string &name)
{
    return std::find(list.begin(), list.end(), name) != list.end();
}

// Key for rendezvous hashing. All calls for an adapter have the same key, so that only few targets load the adapter.
std::uint64_t rendezvousKeyOf(const EngineCallContext &context)
{
    return context.call.adapter.empty() ? context.chain.rendezvousKey : stableHash(context.item);
}

} // namespace

bool Holder::isBetterThan(const Holder &other) const
{
    if (grade != other.grade) {
        return grade < other.grade;
    }
    if (hasRoom != other.hasRoom) {
        return hasRoom;
    }
    return hasRoom ? cost < other.cost : roomDelay < other.roomDelay;
}

HolderFinder::HolderFinder(const TargetTable &table, std::uint64_t seed)
    : m_table(table)
    , m_random(seed)
{}

Holder HolderFinder::best(const EngineCallContext &context)
{
    Holder best;
    const TargetRing *ring = context.pool.holdersOf(context.call.model);
    if (ring == nullptr) {
        return best;
    }
    const std::uint64_t rounds = ring->size() > SampleSize ? MaxRounds : 1;
    for (std::uint64_t round = 0; round < rounds; ++round) {
        ring->sample(mixBits(rendezvousKeyOf(context) + round), random(), SampleSize, m_sample);
        for (KnownTarget *target : m_sample) {
            const Holder holder = assess(context, *target);
            if (holder.target != nullptr && (best.target == nullptr || holder.isBetterThan(best))) {
                best = holder;
            }
        }
        if (best.target != nullptr && best.grade == Holder::Grade::Healthy && best.hasRoom) {
            break;
        }
    }
    return best;
}

bool HolderFinder::anyHealthy(const EngineCallContext &context)
{
    context.pool.accepting.sample(random(), random(), SampleSize, m_sample);
    return std::any_of(m_sample.begin(), m_sample.end(), [&context](const KnownTarget *target) {
        return target->health.state(context.now) == TargetHealth::State::Healthy;
    });
}

Holder HolderFinder::assess(const EngineCallContext &context, KnownTarget &target)
{
    const ResidentModel *resident = target.model(context.call.model, context.now);
    const bool otherVersion = resident != nullptr && context.call.weightsVersion
        && resident->version != *context.call.weightsVersion;
    const bool otherSoftware = context.call.softwareVersion
        && target.record.softwareVersion != *context.call.softwareVersion;
    if (resident == nullptr || otherVersion || otherSoftware || contains(context.call.excluded, target.record.id)) {
        return {};
    }
    Holder holder;
    holder.target = &target;
    holder.grade = grade(context, target);
    estimateTime(context, holder);
    estimateRoom(context, holder);
    holder.cost += adapterCost(context, *resident, target);
    holder.cost += target.record.domain == m_table.domain() ? 0 : OtherDomainPenalty;
    return holder;
}

Holder::Grade HolderFinder::grade(const EngineCallContext &context, const KnownTarget &target)
{
    const TargetHealth::State state = target.health.state(context.now);
    const bool isReportFresh = target.isViewFresh(context.now);
    // A probe would most likely fail while the agent of the target is silent too.
    const bool isProbeUseless = state == TargetHealth::State::ProbeDue && target.view && !isReportFresh;
    if (state == TargetHealth::State::Ejected || isProbeUseless || (isReportFresh && !target.view->reachable)) {
        return Holder::Grade::Unhealthy;
    }
    const double trafficShare = target.health.trafficShare(context.pool.failures.value(0, context.now), context.now);
    if (trafficShare >= 1 || static_cast<double>(random() % 1024) < trafficShare * 1024) {
        return Holder::Grade::Healthy;
    }
    return trafficShare < UnhealthyTrafficShare ? Holder::Grade::Unhealthy : Holder::Grade::Degraded;
}

// Entries that do not know where a prefix is cached prefer the same target for it, by rendezvous hashing.
void HolderFinder::estimateTime(const EngineCallContext &context, Holder &holder) const
{
    const KnownTarget &target = *holder.target;
    const std::uint64_t kept = context.cachedPrefix.cachedPrefixTokens(target,
                                                                       context.pool.engine->cacheTokens,
                                                                       m_table.entries());
    const std::uint64_t uncached = context.call.promptTokens - std::min(kept, context.call.promptTokens);
    const PredictedDelays start = context.pool.predictDelays(target, uncached, context.call.priority, context.now);
    const double slowness = std::clamp(target.latency.value(1, context.now), MinSlowness, MaxSlowness)
        * context.pool.delays.factor(context.call.priority, context.now);
    holder.queueDelay = start.queueDelay * slowness;
    holder.firstEventDelay = start.firstEventDelay * slowness;
    holder.unloadedDelay = context.pool.speed.firstEvent(uncached);
    holder.cost = holder.firstEventDelay;
    if (kept < context.chain.sharedTokens) {
        const auto unknown = static_cast<double>(context.chain.sharedTokens - kept);
        holder.cost += RendezvousWeight * context.pool.speed.prefill(unknown)
            * (1 - rendezvousScore(rendezvousKeyOf(context), target));
    }
}

// A target without calls has room for any call, so that the largest calls are served too.
void HolderFinder::estimateRoom(const EngineCallContext &context, Holder &holder) const
{
    const KnownTarget &target = *holder.target;
    const bool moreUrgent = context.call.priority > 0 && context.pool.priorityMix.upTo(context.call.priority - 1) > 0;
    const double open = moreUrgent ? 1 - UrgentReserve : 1;
    const double calls = target.running(context.now) + target.waiting(context.now);
    const std::uint64_t reported = target.view ? target.view->cacheTotal : 0;
    const auto total = static_cast<double>(reported > 0 ? reported : context.pool.engine->cacheTokens);
    const auto need = static_cast<double>(context.call.promptTokens + context.call.expectedOutput());
    const bool fits = calls < 1 || total == 0 || target.cacheTokens(context.now) + need <= total * open;
    const bool free = fits && calls < context.pool.slotsOf(target) * (open + QueuedSlotShare);
    const double most = MaxWaitShare * std::max(context.latencyGoal - holder.unloadedDelay, context.latencyGoal / 4);
    const double refused = toSeconds(target.atCapacityUntil - context.now);
    const bool hasCapacity = free && refused <= 0 && (holder.queueDelay <= most || target.waiting(context.now) < 1);
    holder.needsPermit = hasCapacity && !m_table.limits().mayReceive(target.record.id, context.now);
    holder.hasRoom = hasCapacity && !holder.needsPermit;
    const double next = context.pool.duration.value(DefaultDuration, context.now) / std::max(1.0, calls);
    const double permit = toSeconds(m_table.limits().permitDelay(target.record.id, context.now));
    holder.roomDelay = std::max({free ? 0.0 : next, holder.queueDelay - most, refused, permit});
}

// All entries prefer the same targets for an adapter, by rendezvous hashing, unless these targets are
// overloaded.
double HolderFinder::adapterCost(const EngineCallContext &context,
                                 const ResidentModel &resident,
                                 const KnownTarget &target) const
{
    if (context.call.adapter.empty() || contains(resident.adapters, context.call.adapter)) {
        return 0;
    }
    const double declined = target.declines(context.item, context.now) ? AdapterDeclinedPenalty : 0;
    const double busy = toSeconds(target.busyFor(context.now)); // An agent carries out no other orders during a load.
    if (target.loadingFor(context.item, context.now)) {
        return AdapterLoadTime + busy + declined;
    }
    std::size_t held = 0;
    for (const ResidentModel &model : target.models(context.now)) {
        held += model.adapters.size();
    }
    const double full = held >= context.pool.engine->adapterSlots ? AdapterSlotPenalty : 0;
    return AdapterLoadTime + busy + AdapterHomePenalty * (1 - rendezvousScore(rendezvousKeyOf(context), target)) + full
        + declined;
}

std::uint64_t HolderFinder::random()
{
    m_random += 1;
    return mixBits(m_random);
}

} // namespace celeryroute
