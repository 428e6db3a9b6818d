#pragma once

#include <celeryroute/detail/placement/relaxingmean.h>

#include <string>
#include <unordered_map>

namespace celeryroute {

/// What the calls for each model of a pool are like.
class TrafficMeter
{
public:
    /// @brief A call came that wants its first event within @p aim seconds, and would wait @p wait
    /// seconds at the best target that holds the model.
    void noteCall(const std::string &model, double aim, double wait, TimePoint now);
    /// @brief A call was held for @p seconds before it could be sent.
    void noteHeld(const std::string &model, double seconds, TimePoint now);

    /// @brief Calls per second, over about half a minute, or lately if there are certainly more.
    double rate(const std::string &model, TimePoint now) const;
    /// @brief Wanted seconds to the first event.
    double aim(const std::string &model, TimePoint now) const;
    double wait(const std::string &model, TimePoint now) const;
    double held(const std::string &model, TimePoint now) const;

private:
    struct Traffic {
        Traffic();

        double calls = 0; ///< Fades slowly.
        double lately = 0; ///< Fades fast.
        TimePoint at;
        RelaxingMean aim;
        RelaxingMean wait;
        RelaxingMean held;
    };

    const Traffic *find(const std::string &model) const;

    std::unordered_map<std::string, Traffic> m_models;
};

/// @brief Share of calls that come late when they may wait for @p slack seconds and wait for @p wait
/// in the mean.
double lateShare(double wait, double slack);

} // namespace celeryroute
