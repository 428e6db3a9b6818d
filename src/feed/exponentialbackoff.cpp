#include <celeryroute/detail/feed/exponentialbackoff.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr std::uint32_t MaxDoublings = 10;

} // namespace

ExponentialBackoff::ExponentialBackoff(Duration min, Duration max, std::uint64_t seed)
    : m_min(min)
    , m_max(max)
    , m_random(static_cast<std::minstd_rand::result_type>(seed))
{}

void ExponentialBackoff::useLimits(Duration min, Duration max)
{
    m_min = min;
    m_max = max;
}

Duration ExponentialBackoff::failed()
{
    const std::uint32_t doublings = std::min(m_failures, MaxDoublings);
    ++m_failures;
    const Duration whole = std::min(m_max, m_min * (1U << doublings));
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    return fromSeconds(toSeconds(whole) * jitter(m_random));
}

void ExponentialBackoff::succeeded()
{
    m_failures = 0;
}

std::uint32_t ExponentialBackoff::failures() const
{
    return m_failures;
}

} // namespace celeryroute
