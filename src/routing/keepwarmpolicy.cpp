#include <celeryroute/detail/routing/keepwarmpolicy.h>

#include <algorithm>
#include <cmath>

namespace celeryroute {

namespace {

/// Factor applied to older samples with each new one. The histogram covers about 50 samples.
constexpr double Decay = 0.98;
/// With fewer samples the break-even time is used.
constexpr double MinSamples = 4.0;
constexpr double BucketsPerOctave = 2.0;
constexpr double MaxKeepSeconds = 24.0 * 3600.0;

} // namespace

KeepWarmPolicy::KeepWarmPolicy(KeepWarmCosts costs)
    : m_costs(costs)
{}

void KeepWarmPolicy::recordArrival(TimePoint now)
{
    if (m_lastArrival) {
        const double seconds = toSeconds(now - *m_lastArrival);
        for (Bucket &bucket : m_gaps) {
            bucket.count *= Decay;
            bucket.seconds *= Decay;
        }
        Bucket &bucket = m_gaps[bucketIndex(seconds)];
        bucket.count += 1.0;
        bucket.seconds += seconds;
        bucket.longest = std::max(bucket.longest, seconds);
        m_samples = m_samples * Decay + 1.0;
    }
    m_lastArrival = now;
}

// Returns the time t that minimizes idle * E[min(gap, t)] + cold * P(gap > t) over the observed
// inter-arrival gaps. Only 0 and the longest gap of each bucket can be optimal. Without enough samples
// the break-even time is used, which costs at most twice the optimum with known arrivals.
Duration KeepWarmPolicy::keepWarmDuration() const
{
    const double breakEven = m_costs.coldStart / m_costs.idlePerSecond;
    if (m_samples < MinSamples) {
        return fromSeconds(std::min(MaxKeepSeconds, breakEven));
    }
    double best = 0.0;
    double bestCost = m_costs.coldStart * m_samples;
    double servedSeconds = 0.0;
    double later = m_samples;
    for (const Bucket &bucket : m_gaps) {
        if (bucket.count <= 0.0) {
            continue;
        }
        servedSeconds += bucket.seconds;
        later = std::max(0.0, later - bucket.count);
        const double idle = servedSeconds + later * bucket.longest;
        const double cost = m_costs.idlePerSecond * idle + m_costs.coldStart * later;
        if (cost < bestCost) {
            best = bucket.longest;
            bestCost = cost;
        }
    }
    return fromSeconds(std::min(MaxKeepSeconds, best));
}

bool KeepWarmPolicy::shouldUnload(TimePoint now) const
{
    return !m_lastArrival || now - *m_lastArrival >= keepWarmDuration();
}

std::size_t KeepWarmPolicy::bucketIndex(double seconds)
{
    if (seconds <= 1.0) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(1.0 + BucketsPerOctave * std::log2(seconds));
    return std::min(Buckets - 1, index);
}

} // namespace celeryroute
