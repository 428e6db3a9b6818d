#pragma once

#include <celeryroute/detail/budget/budgettable.h>

#include <budgetmeter.h>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace celeryroute::simulation {

/// Parameters of one customer's traffic at several entries.
struct BudgetTraffic {
    std::size_t entries = 4;
    BudgetLimits limits{1000.0, 20000.0};
    double load = 0.95; ///< Used tokens as a fraction of the rate.
    double meanUsed = 200.0;
    double reserveFactor = 2.0; ///< Ratio of the reserved worst case to the tokens used.
    Duration service = std::chrono::seconds(3);
    Duration length = std::chrono::hours(2);
    Duration moveEvery = Duration::zero(); ///< Interval at which all traffic moves to the next entry, zero for never.
    Duration redivideEvery = Duration::zero(); ///< Interval of new even divisions, zero for never.
    Duration maxLoanWait = std::chrono::milliseconds(200); ///< Time a refused request waits for a loan.
    bool lending = true; ///< False for a static split of the budget.
    std::uint64_t seed = 1;
};

/// Result of a simulated traffic.
struct BudgetOutcome {
    std::uint64_t requests = 0;
    std::uint64_t refused = 0;
    std::uint64_t wronglyRefused = 0; ///< Refused requests that one central bucket would have admitted.
    std::uint64_t messages = 0;
    double overshoot = 0.0;
};

/// Simulates BudgetTraffic in virtual time with a BudgetTable at each entry, and compares the admissions with
/// those of one central bucket.
class BudgetTrafficSimulation
{
public:
    explicit BudgetTrafficSimulation(const BudgetTraffic &traffic)
        : m_traffic(traffic)
        , m_random(traffic.seed)
        , m_central(traffic.limits, TimePoint{})
    {
        m_central.setFractions(1.0, 1.0);
        for (std::size_t i = 0; i < traffic.entries; ++i) {
            m_names.push_back("entry-" + std::to_string(i));
            m_budgets.emplace_back(m_names.back());
            m_budgets.back().setCustomer("yard", traffic.limits, TimePoint{});
        }
        divide();
    }

    BudgetOutcome run()
    {
        const TimePoint begin = TimePoint{} + std::chrono::seconds(60);
        const TimePoint end = begin + m_traffic.length;
        const double perSecond = m_traffic.load * m_traffic.limits.tokensPerSecond / m_traffic.meanUsed;
        std::exponential_distribution<double> gap(perSecond);
        TimePoint nextArrival = begin;
        TimePoint nextDivision = begin + m_traffic.redivideEvery;
        for (; m_now < end; m_now += Step) {
            deliver();
            settleDue();
            if (m_traffic.redivideEvery > Duration::zero() && m_now >= nextDivision) {
                nextDivision += m_traffic.redivideEvery;
                divide();
            }
            for (; nextArrival <= m_now; nextArrival += fromSeconds(gap(m_random))) {
                arrive(begin);
            }
            retryWaiting();
            tick();
        }
        m_outcome.overshoot = m_meter.overshoot(m_traffic.limits);
        return m_outcome;
    }

private:
    static constexpr Duration Step = std::chrono::milliseconds(5);

    struct Waiting {
        std::size_t entry;
        double used;
        TimePoint until;
        bool centralAdmitted;
    };
    struct Running {
        std::size_t entry;
        std::uint64_t id; ///< 0 for a reservation at the central bucket.
        std::uint64_t step;
        double reserved;
        double used;
    };
    struct Delivery {
        std::size_t sender;
        LoanMessage message;
    };

    void divide()
    {
        const std::uint64_t base = m_epoch;
        m_epoch += 10;
        for (BudgetTable &budgets : m_budgets) {
            budgets.applyDivision({m_epoch, base, 1.0 / static_cast<double>(m_budgets.size())}, m_now);
        }
    }

    void arrive(TimePoint begin)
    {
        std::exponential_distribution<double> used(1.0 / m_traffic.meanUsed);
        Waiting request{0, std::min(used(m_random) + 1.0, m_traffic.meanUsed * 8), m_now, false};
        if (m_traffic.moveEvery > Duration::zero()) {
            request.entry = static_cast<std::size_t>((m_now - begin) / m_traffic.moveEvery) % m_budgets.size();
        }
        ++m_outcome.requests;
        const double reserved = request.used * m_traffic.reserveFactor;
        m_central.refill(m_now);
        if (const std::uint64_t step = m_central.take(reserved)) {
            request.centralAdmitted = true;
            m_running.emplace(m_now + m_traffic.service, Running{0, 0, step, reserved, request.used});
        }
        request.until = m_now + m_traffic.maxLoanWait;
        if (!attempt(request)) {
            m_waiting.push_back(request);
        }
    }

    bool attempt(const Waiting &request)
    {
        const double reserved = request.used * m_traffic.reserveFactor;
        const ReserveOutcome outcome = m_budgets[request.entry].reserve("yard", reserved, m_now);
        const auto *reservation = std::get_if<Reservation>(&outcome);
        if (reservation == nullptr) {
            return false;
        }
        m_meter.record(reservation->id * m_budgets.size() + request.entry, m_now, request.used);
        m_running.emplace(m_now + m_traffic.service,
                          Running{request.entry, reservation->id, 0, reserved, request.used});
        return true;
    }

    void retryWaiting()
    {
        std::deque<Waiting> still;
        for (const Waiting &request : m_waiting) {
            if (request.until > m_now && m_traffic.lending) {
                if (!attempt(request)) {
                    still.push_back(request);
                }
                continue;
            }
            ++m_outcome.refused;
            m_outcome.wronglyRefused += request.centralAdmitted ? 1 : 0;
        }
        m_waiting = std::move(still);
    }

    void settleDue()
    {
        while (!m_running.empty() && m_running.begin()->first <= m_now) {
            const Running running = m_running.begin()->second;
            m_running.erase(m_running.begin());
            if (running.id == 0) {
                m_central.refill(m_now);
                m_central.refund(running.step, running.reserved - running.used);
            } else {
                m_budgets[running.entry].settle(running.id, running.used, m_now);
            }
        }
    }

    void tick()
    {
        for (std::size_t i = 0; i < m_budgets.size(); ++i) {
            m_budgets[i].confirm(m_now);
            std::vector<std::string> peers = m_names;
            peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(i));
            if (m_traffic.lending) {
                for (LoanMessage &message : m_budgets[i].tick(peers, m_now)) {
                    m_network.push_back({i, std::move(message)});
                }
            }
        }
    }

    // A message is delivered one step after it was sent.
    void deliver()
    {
        std::deque<Delivery> deliveries;
        deliveries.swap(m_network);
        for (const Delivery &delivery : deliveries) {
            ++m_outcome.messages;
            const auto receiver = static_cast<std::size_t>(
                std::find(m_names.begin(), m_names.end(), delivery.message.receiver) - m_names.begin());
            auto answer = std::visit(
                [&](const auto &body) { return m_budgets[receiver].receive(m_names[delivery.sender], body, m_now); },
                delivery.message.body);
            if (answer) {
                m_network.push_back({receiver, std::move(*answer)});
            }
        }
    }

    BudgetTraffic m_traffic;
    std::mt19937_64 m_random;
    TimePoint m_now{};
    std::uint64_t m_epoch = 0;
    ShareBucket m_central;
    std::vector<std::string> m_names;
    std::vector<BudgetTable> m_budgets;
    std::deque<Delivery> m_network;
    std::deque<Waiting> m_waiting;
    std::multimap<TimePoint, Running> m_running;
    BudgetMeter m_meter;
    BudgetOutcome m_outcome;
};

} // namespace celeryroute::simulation
