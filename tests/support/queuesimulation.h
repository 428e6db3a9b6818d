#pragma once

#include <celeryroute/detail/queue/admissionqueue.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace celeryroute::simulation {

/// First-come, first-served queue as the baseline for AdmissionQueue.
class FifoQueue
{
public:
    explicit FifoQueue(QueueLimits limits)
        : m_limits(limits)
    {}

    std::vector<RefusedEntry> submit(QueueEntry entry, TimePoint)
    {
        m_waiting.push_back(std::move(entry));
        return {};
    }
    StartDecision start(TimePoint)
    {
        StartDecision decision;
        if (m_running < m_limits.maxRunning && !m_waiting.empty()) {
            decision.started = m_waiting.front();
            m_waiting.pop_front();
            ++m_running;
        }
        return decision;
    }
    void finish(const std::string &, std::uint64_t)
    {
        --m_running;
    }

private:
    QueueLimits m_limits;
    std::deque<QueueEntry> m_waiting;
    std::size_t m_running = 0;
};

/// Load of one customer at a target, as a fraction of the target's capacity.
struct CustomerLoad {
    std::string name;
    double load = 0.1;
};

/// Response times in seconds in ascending order, and number of refusals, each by customer.
struct QueueOutcome {
    std::map<std::string, std::vector<double>> responses;
    std::map<std::string, std::size_t> refused;

    double percentile(const std::string &customer, double fraction) const
    {
        const std::vector<double> &sorted = responses.at(customer);
        return sorted[static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1))];
    }
};

/// @brief Simulates Poisson arrivals and exponential service times at one target with limits.maxRunning
/// slots in virtual time. The arrivals of a customer depend only on @p seed, its name and its load. The
/// deadline of each request is its service time plus @p patience after its arrival.
template <typename Queue>
QueueOutcome simulateQueue(const std::vector<CustomerLoad> &customers,
                           QueueLimits limits,
                           Duration length,
                           Duration maxWait,
                           std::uint64_t seed)
{
    constexpr double MeanServiceSeconds = 0.8;
    constexpr double TokensPerSecond = 50.0;
    struct Event {
        TimePoint time;
        std::uint64_t order;
        QueueEntry entry;
        bool arrival;
        bool operator>(const Event &other) const
        {
            return std::tie(time, order) > std::tie(other.time, other.order);
        }
    };
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::map<std::string, TimePoint> arrivals;
    std::uint64_t order = 0;
    for (const CustomerLoad &customer : customers) {
        std::mt19937_64 random(seed ^ std::hash<std::string>{}(customer.name));
        std::exponential_distribution<double> gap(customer.load * static_cast<double>(limits.maxRunning)
                                                  / MeanServiceSeconds);
        std::exponential_distribution<double> service(1.0 / MeanServiceSeconds);
        TimePoint time{};
        while (true) {
            time += fromSeconds(gap(random));
            if (time - TimePoint{} >= length) {
                break;
            }
            QueueEntry entry;
            entry.attemptId = customer.name + std::to_string(order);
            entry.customer = customer.name;
            entry.serviceTime = fromSeconds(service(random));
            entry.tokens = 1 + static_cast<std::uint64_t>(toSeconds(entry.serviceTime) * TokensPerSecond);
            entry.deadline = time + entry.serviceTime + maxWait;
            arrivals.emplace(entry.attemptId, time);
            events.push({time, order++, entry, true});
        }
    }
    Queue queue(limits);
    QueueOutcome outcome;
    while (!events.empty()) {
        const Event event = events.top();
        events.pop();
        std::vector<RefusedEntry> refused;
        if (event.arrival) {
            refused = queue.submit(event.entry, event.time);
        } else {
            queue.finish(event.entry.attemptId, event.entry.tokens);
            outcome.responses[event.entry.customer].push_back(
                toSeconds(event.time - arrivals.at(event.entry.attemptId)));
        }
        while (true) {
            StartDecision decision = queue.start(event.time);
            std::move(decision.refused.begin(), decision.refused.end(), std::back_inserter(refused));
            if (!decision.started) {
                break;
            }
            const TimePoint end = event.time + decision.started->serviceTime;
            events.push({end, order++, std::move(*decision.started), false});
        }
        for (const RefusedEntry &each : refused) {
            ++outcome.refused[each.entry.customer];
        }
    }
    for (auto &[customer, responses] : outcome.responses) {
        std::sort(responses.begin(), responses.end());
    }
    return outcome;
}

} // namespace celeryroute::simulation
