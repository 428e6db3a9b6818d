#include <celeryroute/detail/feed/retrydelay.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr std::uint32_t MostDoublings = 10;

} // namespace

RetryDelay::RetryDelay(Duration least, Duration most, std::uint64_t seed)
    : m_least(least)
    , m_most(most)
    , m_random(static_cast<std::minstd_rand::result_type>(seed))
{}

void RetryDelay::useLimits(Duration least, Duration most)
{
    m_least = least;
    m_most = most;
}

Duration RetryDelay::failed()
{
    const std::uint32_t doublings = std::min(m_failures, MostDoublings);
    ++m_failures;
    const Duration whole = std::min(m_most, m_least * (1U << doublings));
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    return fromSeconds(toSeconds(whole) * jitter(m_random));
}

void RetryDelay::succeeded()
{
    m_failures = 0;
}

std::uint32_t RetryDelay::failures() const
{
    return m_failures;
}

} // namespace celeryroute
