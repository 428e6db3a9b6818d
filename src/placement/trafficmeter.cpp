#include <celeryroute/detail/placement/trafficmeter.h>

#include <algorithm>
#include <cmath>

namespace celeryroute {

namespace {

using namespace std::chrono_literals;

constexpr double RateMemory = 30; // Seconds; time constant of the decay.
constexpr double RecentMemory = 5; // Seconds; detects a model that has just become busy.
constexpr double DefaultLatencyGoal = 1; // Seconds, before anything is observed.
constexpr double LatencyGoalWeight = 0.1;
constexpr Duration LatencyGoalMemory = 600s;
constexpr double WaitWeight = 0.3; // Low enough that a burst that ends before a replica is loaded requests none.
constexpr Duration WaitMemory = 10s;
constexpr double HeldWeight = 0.5;
constexpr Duration HeldMemory = 5s;

double decayed(double value, double memory, TimePoint at, TimePoint now)
{
    return value > 0 ? value * std::exp(-toSeconds(now - at) / memory) : 0;
}

} // namespace

TrafficMeter::Traffic::Traffic()
    : latencyGoal(LatencyGoalWeight, LatencyGoalMemory)
    , wait(WaitWeight, WaitMemory)
    , held(HeldWeight, HeldMemory)
{}

void TrafficMeter::noteCall(const std::string &model, double latencyGoal, double wait, TimePoint now)
{
    Traffic &traffic = m_models[model];
    traffic.calls = decayed(traffic.calls, RateMemory, traffic.at, now) + 1;
    traffic.recentCalls = decayed(traffic.recentCalls, RecentMemory, traffic.at, now) + 1;
    traffic.at = now;
    traffic.latencyGoal.add(latencyGoal, latencyGoal, now);
    traffic.wait.add(wait, 0, now);
}

void TrafficMeter::noteHeld(const std::string &model, double seconds, TimePoint now)
{
    m_models[model].held.add(seconds, 0, now);
}

const TrafficMeter::Traffic *TrafficMeter::find(const std::string &model) const
{
    const auto traffic = m_models.find(model);
    return traffic == m_models.end() ? nullptr : &traffic->second;
}

double TrafficMeter::rate(const std::string &model, TimePoint now) const
{
    const Traffic *traffic = find(model);
    if (traffic == nullptr) {
        return 0;
    }
    const double recentCalls = decayed(traffic->recentCalls, RecentMemory, traffic->at, now);
    const double certain = recentCalls - std::sqrt(recentCalls);
    return std::max(decayed(traffic->calls, RateMemory, traffic->at, now) / RateMemory, certain / RecentMemory);
}

double TrafficMeter::latencyGoal(const std::string &model, TimePoint now) const
{
    const Traffic *traffic = find(model);
    return traffic == nullptr ? DefaultLatencyGoal : traffic->latencyGoal.value(DefaultLatencyGoal, now);
}

double TrafficMeter::wait(const std::string &model, TimePoint now) const
{
    const Traffic *traffic = find(model);
    return traffic == nullptr ? 0 : traffic->wait.value(0, now);
}

double TrafficMeter::held(const std::string &model, TimePoint now) const
{
    const Traffic *traffic = find(model);
    return traffic == nullptr ? 0 : traffic->held.value(0, now);
}

double lateShare(double wait, double slack)
{
    if (slack <= 0) {
        return 1;
    }
    return wait <= 0 ? 0 : std::exp(-slack / wait);
}

} // namespace celeryroute
