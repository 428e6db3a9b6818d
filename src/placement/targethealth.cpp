#include <celeryroute/detail/placement/targethealth.h>

#include <algorithm>
#include <cmath>

namespace celeryroute {

namespace {

using namespace std::chrono_literals;

constexpr Duration FirstBackoff = 300ms;
constexpr Duration LongestBackoff = 3s;
constexpr double FailureWeight = 0.25;
constexpr double SuccessWeight =
    0.1; // Lower than FailureWeight, so that a target with occasional failures does not recover after each success.
constexpr Duration FailureMemory = 30s;
constexpr double LowestTrust = 0.04;
constexpr double TrustPower = 3;
constexpr double FailuresAfterProbe = 0.3; // A target that returns to service starts with a part of its calls.

} // namespace

TargetHealth::TargetHealth()
    : m_failures(FailureWeight, SuccessWeight, FailureMemory)
{}

void TargetHealth::noteAnswer(bool failed, double usual, TimePoint now)
{
    if (m_backoff > Duration::zero()) {
        if (failed) {
            noteUnreachable(now);
            return;
        }
        m_backoff = Duration::zero();
        m_probing = false;
        m_failures = RelaxingMean(FailureWeight, SuccessWeight, FailureMemory);
        m_failures.add(FailuresAfterProbe / FailureWeight, 0, now);
        return;
    }
    m_failures.add(failed ? 1 : 0, usual, now);
}

// Calls that were in flight when the target was ejected must not lengthen the backoff.
void TargetHealth::noteUnreachable(TimePoint now)
{
    if (m_backoff > Duration::zero() && !m_probing) {
        return;
    }
    if (m_backoff == Duration::zero()) {
        m_shunnedSince = now;
    }
    m_backoff = m_backoff > Duration::zero() ? std::min(m_backoff * 2, LongestBackoff) : FirstBackoff;
    m_probeAt = now + m_backoff;
    m_probing = false;
}

void TargetHealth::noteSent(TimePoint now)
{
    if (m_backoff > Duration::zero()) {
        m_probing = true;
        m_probeSent = now;
    }
}

void TargetHealth::noteAbandoned()
{
    m_probing = false;
}

TargetHealth::Standing TargetHealth::standing(TimePoint now) const
{
    if (m_backoff == Duration::zero()) {
        return Standing::Good;
    }
    if (now < m_probeAt || (m_probing && now < m_probeSent + LongestBackoff)) {
        return Standing::Shunned;
    }
    return Standing::Probe;
}

Duration TargetHealth::shunnedFor(TimePoint now) const
{
    return m_backoff == Duration::zero() || now >= m_probeAt ? Duration::zero() : m_probeAt - now;
}

double TargetHealth::trust(double usual, TimePoint now) const
{
    const double failed = m_failures.value(usual, now);
    const double served = (1 - std::min(failed, 1.0)) / std::max(1 - usual, 0.01);
    return std::clamp(std::pow(served, TrustPower), LowestTrust, 1.0);
}

} // namespace celeryroute
