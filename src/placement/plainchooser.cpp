#include <celeryroute/detail/placement/plainchooser.h>

#include <celeryroute/detail/base/digest.h>

#include <algorithm>
#include <limits>

namespace celeryroute {

namespace {

constexpr std::size_t WholePool =
    64; // Largest pool of which all targets are considered; from larger ones, a sample is taken.
constexpr std::size_t SubsetSize = 16; // Targets of a large pool that are considered in one round.
constexpr std::size_t Coverage = 4; // Mean number of entries that use each target of a large pool.
constexpr std::uint64_t SubsetRounds = 3;
constexpr std::size_t SmallPool = 4; // Largest number of targets that are all compared.
constexpr std::size_t Choices = 2; // Random targets compared otherwise (power of two choices).
constexpr double OtherDomain = 1.1; // Factor on the cost, since traffic between domains is billed.
constexpr double QueueShare = 0.25; // Calls that a target queues beyond its slots, as a share of them.
constexpr double UnknownLatency = 0.01; // Seconds, before anything is observed.
constexpr double Doubt = 1000; // Cost of unhealthy targets, far above any latency in seconds.

bool contains(const std::vector<std::string> &list, const std::string &id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

} // namespace

struct PlainChooser::Candidate {
    KnownTarget *target = nullptr;
    double cost = std::numeric_limits<double>::infinity();
    bool sound = false;
    bool room = false;
};

PlainChooser::PlainChooser(TargetBook &book, std::uint64_t seed)
    : m_book(book)
    , m_random(seed)
{}

PlainVerdict PlainChooser::choose(const PlainAsk &ask, TimePoint now)
{
    const TargetPool *pool = m_book.pool(ask.pool);
    if (pool == nullptr || pool->open.empty()) {
        return Refuse{std::chrono::seconds(1), RefuseReason::NoTargets};
    }
    Candidate lastResort;
    bool full = false;
    const std::uint64_t rounds = pool->open.size() <= WholePool ? 1 : SubsetRounds;
    for (std::uint64_t round = 0; round < rounds; ++round) {
        gather(*pool, ask, round);
        Candidate best;
        std::size_t compared = 0;
        const std::size_t compare = m_sample.size() <= SmallPool ? m_sample.size() : Choices;
        // Visits the sample in random order and compares the first healthy targets with room.
        for (std::size_t i = 0; i < m_sample.size() && compared < compare; ++i) {
            std::swap(m_sample[i], m_sample[i + random() % (m_sample.size() - i)]);
            const Candidate candidate = assess(*pool, *m_sample[i], ask, now);
            if (candidate.target == nullptr) {
                continue;
            }
            if (!candidate.sound) {
                lastResort = candidate.cost < lastResort.cost ? candidate : lastResort;
            } else if (!candidate.room) {
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
    if (full) {
        return WaitForRoom{fromSeconds(pool->latency.value(UnknownLatency, now))};
    }
    if (lastResort.target != nullptr) {
        return SendTo{lastResort.target->record.id};
    }
    return Refuse{std::chrono::seconds(1), RefuseReason::NoTargets};
}

// The subsets of an entry stay the same, so that connections are reused. Their number is chosen so that all entries
// together reach all targets. Further rounds use other subsets.
void PlainChooser::gather(const TargetPool &pool, const PlainAsk &ask, std::uint64_t round)
{
    if (pool.open.size() <= WholePool) {
        pool.open.sample(0, 0, WholePool, m_sample);
        return;
    }
    const std::size_t subsets = 1 + Coverage * pool.open.size() / (SubsetSize * m_book.entries());
    const std::uint64_t key = stableHash(m_book.name() + '\n' + ask.pool) + random() % subsets * SubsetRounds;
    pool.open.sample(mixBits(key + round), mixBits(~key + round), SubsetSize, m_sample);
}

PlainChooser::Candidate
PlainChooser::assess(const TargetPool &pool, KnownTarget &target, const PlainAsk &ask, TimePoint now)
{
    if (contains(ask.excluded, target.record.id)) {
        return {};
    }
    const double latency = target.latency.value(pool.latency.value(UnknownLatency, now), now);
    const double slots = std::max(1U, target.slots);
    const double load = target.running(now) + target.waiting(now);
    const double use = (load + 1) / slots;
    Candidate candidate;
    candidate.target = &target;
    candidate.cost = latency * (1 + use) * (1 + use);
    candidate.cost *= target.record.domain == m_book.domain() ? 1 : OtherDomain;
    candidate.room = now >= target.fullUntil && (target.slots == 0 || load < slots * (1 + QueueShare));
    const TargetHealth::Standing standing = target.health.standing(now);
    const double usual = pool.failures.value(0, now);
    const double trust = target.health.trust(usual, now);
    if (standing == TargetHealth::Standing::Good) {
        candidate.sound = trust >= 1 || static_cast<double>(random() % 1024) < trust * 1024;
        candidate.cost += candidate.sound ? 0 : Doubt * (1 - trust);
    } else {
        candidate.sound = standing == TargetHealth::Standing::Probe && ask.repeatable;
        candidate.cost += candidate.sound ? 0 : Doubt + toSeconds(target.health.shunnedFor(now));
        candidate.cost *= candidate.sound ? 0 : 1; // A due probe is preferred to all other targets.
    }
    return candidate;
}

std::uint64_t PlainChooser::random()
{
    m_random += 1;
    return mixBits(m_random);
}

} // namespace celeryroute
