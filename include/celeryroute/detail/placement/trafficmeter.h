#pragma once

#include <celeryroute/detail/placement/decayingmean.h>

#include <string>
#include <unordered_map>

namespace celeryroute {

/// Call rate, latency goal and waiting times of the calls for each model of a pool.
class TrafficMeter
{
public:
    /// @brief Records the arrival of a call that wants its first event within @p latencyGoal seconds and would wait @p
    /// wait seconds at the best target that holds the model.
    void noteCall(const std::string &model, double latencyGoal, double wait, TimePoint now);
    /// @brief Records that a call was held in the entry for @p seconds before it was sent.
    void noteHeld(const std::string &model, double seconds, TimePoint now);

    /// @brief Calls per second: the rate of the last 30 s, or that of the last 5 s less its statistical error if
    /// higher.
    double rate(const std::string &model, TimePoint now) const;
    /// @brief Mean seconds in which the first event is wanted.
    double latencyGoal(const std::string &model, TimePoint now) const;
    /// @brief Mean seconds that a call would wait at the best holder.
    double wait(const std::string &model, TimePoint now) const;
    /// @brief Mean seconds that calls were held in the entry.
    double held(const std::string &model, TimePoint now) const;

private:
    struct Traffic {
        Traffic();

        double calls = 0; ///< Number of calls, with slow exponential decay.
        double recentCalls = 0; ///< Number of calls, with fast exponential decay.
        TimePoint at;
        DecayingMean latencyGoal;
        DecayingMean wait;
        DecayingMean held;
    };

    const Traffic *find(const std::string &model) const;

    std::unordered_map<std::string, Traffic> m_models;
};

/// @brief Share of calls that wait longer than @p slack seconds if the wait is exponentially distributed with the
/// mean @p wait.
double lateShare(double wait, double slack);

} // namespace celeryroute
