#pragma once

#include <celeryroute/detail/routing/keepwarmpolicy.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <random>
#include <vector>

namespace celeryroute::simulation {

/// Total idle time and cold starts of a policy over all models.
struct KeepWarmOutcome {
    double idleSeconds = 0.0;
    double coldStarts = 0.0;

    double cost(KeepWarmCosts costs) const
    {
        return idleSeconds * costs.idlePerSecond + coldStarts * costs.coldStart;
    }
};

/// @brief Generates arrival times in seconds for @p count models over a period of @p seconds. A third of
/// the models each have Poisson, bursty and timer-driven arrivals, with mean gaps of 10 s to 2 h.
inline std::vector<std::vector<double>> keepWarmArrivals(std::size_t count, double seconds, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<std::vector<double>> models(count);
    for (std::size_t i = 0; i < count; ++i) {
        const double mean = std::exp(std::uniform_real_distribution<double>(std::log(10.0), std::log(7200.0))(random));
        std::exponential_distribution<double> gap(1.0 / mean);
        std::exponential_distribution<double> shortGap(1.0 / 5.0);
        std::uniform_real_distribution<double> jitter(0.98, 1.02);
        double time = 0.0;
        while (time < seconds) {
            const bool bursty = i % 3 == 1;
            const bool timed = i % 3 == 2;
            if (bursty && random() % 8 != 0) {
                time += shortGap(random);
            } else {
                time += timed ? mean * jitter(random) : gap(random);
            }
            models[i].push_back(time);
        }
    }
    return models;
}

/// @brief Replays arrivals. @p keepSeconds(model, gap) returns how long the model stays resident during
/// the gap; @p arrived(model, time) is called for each arrival.
inline KeepWarmOutcome replayKeepWarm(const std::vector<std::vector<double>> &models,
                                      const std::function<double(std::size_t, double)> &keepSeconds,
                                      const std::function<void(std::size_t, double)> &arrived)
{
    KeepWarmOutcome outcome;
    for (std::size_t model = 0; model < models.size(); ++model) {
        double last = -1.0;
        for (const double time : models[model]) {
            if (last < 0.0) {
                outcome.coldStarts += 1.0;
            } else {
                const double gap = time - last;
                const double keep = keepSeconds(model, gap);
                outcome.idleSeconds += std::min(gap, keep);
                outcome.coldStarts += gap > keep ? 1.0 : 0.0;
            }
            arrived(model, time);
            last = time;
        }
    }
    return outcome;
}

inline KeepWarmOutcome replayLearned(const std::vector<std::vector<double>> &models, KeepWarmCosts costs)
{
    std::vector<KeepWarmPolicy> policies(models.size(), KeepWarmPolicy(costs));
    return replayKeepWarm(
        models,
        [&policies](std::size_t model, double) { return toSeconds(policies[model].keepWarmDuration()); },
        [&policies](std::size_t model, double time) {
            policies[model].recordArrival(TimePoint{} + fromSeconds(time));
        });
}

inline KeepWarmOutcome replayFixed(const std::vector<std::vector<double>> &models, double timeoutSeconds)
{
    return replayKeepWarm(
        models,
        [timeoutSeconds](std::size_t, double) { return timeoutSeconds; },
        [](std::size_t, double) {});
}

/// @brief Replays the optimal policy, which knows each gap beforehand and keeps the model resident
/// during gaps that cost less than a cold start.
inline KeepWarmOutcome replayClairvoyant(const std::vector<std::vector<double>> &models, KeepWarmCosts costs)
{
    return replayKeepWarm(
        models,
        [costs](std::size_t, double gap) { return gap * costs.idlePerSecond <= costs.coldStart ? gap : 0.0; },
        [](std::size_t, double) {});
}

} // namespace celeryroute::simulation
