#include <celeryroute/detail/placement/targethealth.h>

#include <algorithm>
#include <cmath>

namespace celeryroute {

namespace {

using namespace std::chrono_literals;

constexpr Duration FirstBackoff = 300ms;
constexpr Duration MaxBackoff = 3s;
constexpr double FailureWeight = 0.25;
constexpr double SuccessWeight =
    0.1; // Lower than FailureWeight, so that a target with occasional failures does not recover after each success.
constexpr Duration FailureMemory = 30s;
constexpr double MinTrafficShare = 0.04;
constexpr double TrafficShareExponent = 3;
constexpr double FailureRateAfterProbe = 0.3; // A target that returns to service starts with a part of its calls.

} // namespace

TargetHealth::TargetHealth()
    : m_failures(FailureWeight, SuccessWeight, FailureMemory)
{}

void TargetHealth::noteAnswer(bool failed, double poolFailureRate, TimePoint now)
{
    if (m_backoff > Duration::zero()) {
        if (failed) {
            noteUnreachable(now);
            return;
        }
        m_backoff = Duration::zero();
        m_probing = false;
        m_failures = DecayingMean(FailureWeight, SuccessWeight, FailureMemory);
        m_failures.add(FailureRateAfterProbe / FailureWeight, 0, now);
        return;
    }
    m_failures.add(failed ? 1 : 0, poolFailureRate, now);
}

// Calls that were in flight when the target was ejected must not lengthen the backoff.
void TargetHealth::noteUnreachable(TimePoint now)
{
    if (m_backoff > Duration::zero() && !m_probing) {
        return;
    }
    if (m_backoff == Duration::zero()) {
        m_ejectedSince = now;
    }
    m_backoff = m_backoff > Duration::zero() ? std::min(m_backoff * 2, MaxBackoff) : FirstBackoff;
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

TargetHealth::State TargetHealth::state(TimePoint now) const
{
    if (m_backoff == Duration::zero()) {
        return State::Healthy;
    }
    if (now < m_probeAt || (m_probing && now < m_probeSent + MaxBackoff)) {
        return State::Ejected;
    }
    return State::ProbeDue;
}

Duration TargetHealth::ejectedFor(TimePoint now) const
{
    return m_backoff == Duration::zero() || now >= m_probeAt ? Duration::zero() : m_probeAt - now;
}

double TargetHealth::trafficShare(double poolFailureRate, TimePoint now) const
{
    const double failed = m_failures.value(poolFailureRate, now);
    const double served = (1 - std::min(failed, 1.0)) / std::max(1 - poolFailureRate, 0.01);
    return std::clamp(std::pow(served, TrafficShareExponent), MinTrafficShare, 1.0);
}

} // namespace celeryroute
