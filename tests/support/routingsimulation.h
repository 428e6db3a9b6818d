#pragma once

#include <celeryroute/detail/routing/targetchooser.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace celeryroute::simulation {

enum class RoutingMethod {
    Random,
    LeastReported, ///< The least loaded of all targets by their last report.
    TwoChoices, ///< The choice made by TargetChooser.
};

/// Queue waits of one run, in seconds.
struct RoutingOutcome {
    double mean = 0.0;
    double p99 = 0.0;
};

/// @brief Simulates Poisson arrivals at four entries with a utilization of @p load. Each target has one
/// slot, an exponential service time with a mean of 1 s, and reports its load every second.
inline RoutingOutcome simulateRouting(RoutingMethod way, std::size_t targets, double load, std::uint64_t seed)
{
    constexpr std::size_t Entries = 4;
    constexpr double TokensPerSecond = 100.0;
    constexpr double Length = 2000.0;
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(load * static_cast<double>(targets));
    std::exponential_distribution<double> service(1.0);
    std::vector<double> freeAt(targets, 0.0);
    std::vector<double> reported(targets, 0.0);
    std::vector<TargetChooser> choosers(Entries);
    for (std::size_t i = 0; i < targets; ++i) {
        for (TargetChooser &chooser : choosers) {
            chooser.setTarget({std::to_string(i), "domain-" + std::to_string(i % 3), false, false, false});
        }
    }
    std::vector<double> waits;
    double nextReport = 0.0;
    std::uint64_t number = 0;
    double now = 0.0;
    while (now < Length) {
        if (now >= nextReport) {
            nextReport += 1.0;
            for (std::size_t i = 0; i < targets; ++i) {
                reported[i] = std::max(0.0, freeAt[i] - now);
                const auto queued = static_cast<std::uint64_t>(reported[i] * TokensPerSecond);
                for (TargetChooser &chooser : choosers) {
                    chooser.find(std::to_string(i))
                        ->setReport({TimePoint{} + fromSeconds(now), 0, 1000, queued, TokensPerSecond});
                }
            }
        }
        const std::size_t entry = random() % Entries;
        std::size_t target = random() % targets;
        if (way == RoutingMethod::LeastReported) {
            target = static_cast<std::size_t>(std::min_element(reported.begin(), reported.end()) - reported.begin());
        } else if (way == RoutingMethod::TwoChoices) {
            TargetQuery query;
            query.spreadKey = "entry-" + std::to_string(entry);
            query.random = random();
            target = std::stoul(choosers[entry].choose(query)->host);
        }
        const double length = service(random);
        if (way == RoutingMethod::TwoChoices) {
            choosers[entry]
                .find(std::to_string(target))
                ->noteSent(std::to_string(number++),
                           static_cast<std::uint64_t>(TokensPerSecond),
                           TimePoint{} + fromSeconds(now + 1e-6));
        }
        waits.push_back(std::max(0.0, freeAt[target] - now));
        freeAt[target] = std::max(now, freeAt[target]) + length;
        now += gap(random);
    }
    std::sort(waits.begin(), waits.end());
    RoutingOutcome outcome;
    for (const double wait : waits) {
        outcome.mean += wait / static_cast<double>(waits.size());
    }
    outcome.p99 = waits[waits.size() * 99 / 100];
    return outcome;
}

} // namespace celeryroute::simulation
