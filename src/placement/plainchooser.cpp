#include <celeryroute/detail/placement/plainchooser.h>

#include <celeryroute/detail/base/digest.h>

#include <algorithm>
#include <limits>

namespace celeryroute {

namespace {

constexpr std::size_t MaxWholePool =
    64; // Largest pool of which all targets are considered; from larger ones, a sample is taken.
constexpr std::size_t SubsetSize = 16; // Targets of a large pool that are considered in one round.
constexpr std::size_t EntriesPerTarget = 4; // Mean number of entries that use each target of a large pool.
constexpr std::uint64_t SubsetRounds = 3;
constexpr std::size_t MaxComparedPool = 4; // Largest number of targets that are all compared.
constexpr std::size_t RandomChoices = 2; // Random targets compared otherwise (power of two choices).
constexpr double OtherDomainFactor = 1.1; // Factor on the cost, since traffic between domains is billed.
constexpr double QueuedSlotShare = 0.25; // Calls that a target queues beyond its slots, as a share of them.
constexpr double DefaultLatency = 0.01; // Seconds, before anything is observed.
constexpr double UnhealthyCost = 1000; // Cost of unhealthy targets, far above any latency in seconds.

bool contains(const std::vector<std::string> &list, const std::string &id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

} // namespace

struct PlainChooser::Candidate {
    KnownTarget *target = nullptr;
    double cost = std::numeric_limits<double>::infinity();
    bool healthy = false;
    bool hasRoom = false;
    bool needsPermit = false; ///< The target has a limit, and no permit for it is held.
    Duration permitDelay{};

    /// @brief Whether to wait for a permit for this target rather than for @p other.
    bool isSoonerThan(const Candidate &other) const
    {
        if (other.target == nullptr || healthy != other.healthy) {
            return other.target == nullptr || healthy;
        }
        return permitDelay < other.permitDelay;
    }
};

PlainChooser::PlainChooser(TargetTable &table, std::uint64_t seed)
    : m_table(table)
    , m_random(seed)
{}

PlainVerdict PlainChooser::choose(const PlainServiceCall &call, TimePoint now)
{
    const TargetPool *pool = m_table.pool(call.pool);
    if (pool == nullptr || pool->accepting.empty()) {
        return Refuse{std::chrono::seconds(1), RefuseReason::NoTargets};
    }
    Candidate lastResort;
    Candidate limited;
    bool full = false;
    const std::uint64_t rounds = pool->accepting.size() <= MaxWholePool ? 1 : SubsetRounds;
    for (std::uint64_t round = 0; round < rounds; ++round) {
        sampleTargets(*pool, call, round);
        Candidate best;
        std::size_t compared = 0;
        const std::size_t compare = m_sample.size() <= MaxComparedPool ? m_sample.size() : RandomChoices;
        // Visits the sample in random order and compares the first healthy targets with room.
        for (std::size_t i = 0; i < m_sample.size() && compared < compare; ++i) {
            std::swap(m_sample[i], m_sample[i + random() % (m_sample.size() - i)]);
            const Candidate candidate = assess(*pool, *m_sample[i], call, now);
            if (candidate.target == nullptr) {
                continue;
            }
            if (candidate.needsPermit && candidate.hasRoom) {
                limited = candidate.isSoonerThan(limited) ? candidate : limited;
            } else if (!candidate.healthy) {
                lastResort = candidate.cost < lastResort.cost ? candidate : lastResort;
            } else if (!candidate.hasRoom) {
                full = true;
            } else {
                ++compared;
                best = candidate.cost < best.cost ? candidate : best;
            }
        }
        if (best.target != nullptr) {
            return SendTo{best.target->record.id};
        }
    }
    if (limited.target != nullptr && (limited.healthy || lastResort.target == nullptr)) {
        return decideOnPermit(limited, call);
    }
    if (full) {
        return WaitForRoom{fromSeconds(pool->latency.value(DefaultLatency, now))};
    }
    if (lastResort.target != nullptr) {
        return SendTo{lastResort.target->record.id};
    }
    return Refuse{std::chrono::seconds(1), RefuseReason::NoTargets};
}

PlainVerdict PlainChooser::decideOnPermit(const Candidate &limited, const PlainServiceCall &call)
{
    const std::string &target = limited.target->record.id;
    if (limited.permitDelay > call.remaining) {
        return Refuse{limited.permitDelay, RefuseReason::TargetLimit, target};
    }
    return WaitForRoom{limited.permitDelay, target};
}

// The subsets of an entry stay the same, so that connections are reused. Their number is chosen so that all entries
// together reach all targets. Further rounds use other subsets.
void PlainChooser::sampleTargets(const TargetPool &pool, const PlainServiceCall &call, std::uint64_t round)
{
    if (pool.accepting.size() <= MaxWholePool) {
        pool.accepting.sample(0, 0, MaxWholePool, m_sample);
        return;
    }
    const std::size_t subsets = 1 + EntriesPerTarget * pool.accepting.size() / (SubsetSize * m_table.entries());
    const std::uint64_t key = stableHash(m_table.name() + '\n' + call.pool) + random() % subsets * SubsetRounds;
    pool.accepting.sample(mixBits(key + round), mixBits(~key + round), SubsetSize, m_sample);
}

PlainChooser::Candidate
PlainChooser::assess(const TargetPool &pool, KnownTarget &target, const PlainServiceCall &call, TimePoint now)
{
    const bool otherSoftware = call.softwareVersion && target.record.softwareVersion != *call.softwareVersion;
    if (otherSoftware || contains(call.excluded, target.record.id)) {
        return {};
    }
    const double latency = target.latency.value(pool.latency.value(DefaultLatency, now), now);
    const double slots = std::max(1U, target.slots);
    const double load = target.running(now) + target.waiting(now);
    const double use = (load + 1) / slots;
    Candidate candidate;
    candidate.target = &target;
    candidate.cost = latency * (1 + use) * (1 + use);
    candidate.cost *= target.record.domain == m_table.domain() ? 1 : OtherDomainFactor;
    candidate.hasRoom = now >= target.atCapacityUntil && (target.slots == 0 || load < slots * (1 + QueuedSlotShare));
    candidate.needsPermit = !m_table.limits().mayReceive(target.record.id, now);
    candidate.permitDelay = candidate.needsPermit ? m_table.limits().permitDelay(target.record.id, now)
                                                  : Duration::zero();
    const TargetHealth::State state = target.health.state(now);
    const double poolFailureRate = pool.failures.value(0, now);
    const double trafficShare = target.health.trafficShare(poolFailureRate, now);
    if (state == TargetHealth::State::Healthy) {
        candidate.healthy = trafficShare >= 1 || static_cast<double>(random() % 1024) < trafficShare * 1024;
        candidate.cost += candidate.healthy ? 0 : UnhealthyCost * (1 - trafficShare);
    } else {
        candidate.healthy = state == TargetHealth::State::ProbeDue && call.repeatable;
        candidate.cost += candidate.healthy ? 0 : UnhealthyCost + toSeconds(target.health.ejectedFor(now));
        candidate.cost *= candidate.healthy ? 0 : 1; // A due probe is preferred to all other targets.
    }
    return candidate;
}

std::uint64_t PlainChooser::random()
{
    m_random += 1;
    return mixBits(m_random);
}

} // namespace celeryroute
