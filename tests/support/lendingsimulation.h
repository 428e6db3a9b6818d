#pragma once

#include <celeryroute/detail/budget/budgettable.h>

#include <budgetmeter.h>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace celeryroute::simulation {

/// Simulates entries that lend budgets over a network that loses, repeats and delays messages, and that read
/// divisions from a log with a delay. The schedule depends only on the seed.
class LendingSimulation
{
public:
    static constexpr const char *Customers[] = {"yard", "hotel"};

    LendingSimulation(std::uint64_t seed, BudgetLimits limits, std::size_t entries)
        : m_random(seed)
        , m_limits(limits)
    {
        for (std::size_t i = 0; i < entries; ++i) {
            start();
        }
        divide();
    }

    /// @brief Advances the time and simulates one random event.
    void step()
    {
        const std::uint64_t jump = below(1000);
        m_now += std::chrono::milliseconds(jump == 0 ? below(30000) : below(60));
        deliver();
        for (const auto &entry : m_entries) {
            if (!entry->paused && below(8) == 0) {
                readLog(*entry);
            }
            if (!entry->paused && m_callersActive) {
                reserve(*entry);
            }
        }
        m_callersActive = below(200) == 0 ? !m_callersActive : m_callersActive;
        Entry &entry = *m_entries[below(m_entries.size())];
        const std::uint64_t action = below(1000);
        if (entry.paused ? action < 30 : action < 3) {
            entry.paused = !entry.paused;
        } else if (action < 5) {
            replace();
        } else if (action < 7) {
            divide();
        } else if (m_logReachable ? action < 8 : action < 30) {
            m_logReachable = !m_logReachable;
        } else if (!entry.paused) {
            act(entry);
        }
    }

    double overshoot() const
    {
        double worst = 0.0;
        for (const auto &[customer, meter] : m_meters) {
            worst = std::max(worst, meter.overshoot(m_limits));
        }
        return worst;
    }

    double admitted() const
    {
        double sum = 0.0;
        for (const auto &[customer, meter] : m_meters) {
            sum += meter.total();
        }
        return sum;
    }

    std::uint64_t credited() const
    {
        return m_acknowledged;
    }

private:
    struct Entry {
        std::string incarnation;
        BudgetTable budgets;
        bool paused = false;
        std::size_t readRecords = 0;
        std::size_t foundRecords = 0; ///< Records found by the log read in progress.
        TimePoint readStarted{};
        bool reading = false;
    };
    struct Division {
        std::uint64_t epoch;
        std::uint64_t baseEpoch;
        std::map<std::string, double> fractions;
    };
    struct Delivery {
        std::string sender;
        LoanMessage message;
    };
    struct Running {
        std::string incarnation;
        std::string customer;
        Reservation reservation;
        TimePoint admitted;
        std::uint64_t id;
    };

    std::uint64_t below(std::uint64_t bound)
    {
        return m_random() % bound;
    }

    void start()
    {
        const std::string incarnation = "entry-" + std::to_string(m_nextIncarnation++);
        m_entries.push_back(std::make_unique<Entry>(Entry{incarnation, BudgetTable(incarnation)}));
        for (const char *customer : Customers) {
            m_entries.back()->budgets.setCustomer(customer, m_limits, m_now);
        }
        m_members.push_back(incarnation);
    }

    // The replaced entry may stop, be paused, or continue until it reads the new division.
    void replace()
    {
        const std::size_t index = below(m_members.size());
        const std::string leaving = m_members[index];
        m_members.erase(m_members.begin() + static_cast<std::ptrdiff_t>(index));
        const auto entry = std::find_if(m_entries.begin(), m_entries.end(), [&leaving](const auto &each) {
            return each->incarnation == leaving;
        });
        const std::uint64_t outcome = below(3);
        if (outcome == 0) {
            m_entries.erase(entry);
        } else if (outcome == 1) {
            (*entry)->paused = true;
        }
        start();
        divide();
    }

    void divide()
    {
        Division division{10 * (m_log.size() + 1), m_log.empty() ? 0 : m_log.back().epoch, {}};
        double left = 1.0;
        for (std::size_t i = 0; i < m_members.size(); ++i) {
            const double even = left / static_cast<double>(m_members.size() - i);
            const double fraction = below(3) == 0 ? left * static_cast<double>(below(100)) / 100.0 : even;
            division.fractions[m_members[i]] = fraction;
            left -= fraction;
        }
        m_log.push_back(std::move(division));
    }

    void act(Entry &entry)
    {
        switch (below(8)) {
        case 0:
        case 1:
            send(entry, entry.budgets.tick(m_members, m_now));
            break;
        case 2:
        case 3:
            settle(entry);
            break;
        default:
            reserve(entry);
        }
        if (below(1000) == 0) {
            send(entry, entry.budgets.handOver(m_members, m_now));
        }
    }

    // A read returns the log as of its start. Its result may arrive much later.
    void readLog(Entry &entry)
    {
        if (!entry.reading) {
            entry.reading = m_logReachable;
            entry.readStarted = m_now;
            entry.foundRecords = m_log.size();
            return;
        }
        entry.reading = false;
        const bool bySnapshot = entry.foundRecords > 0 && (entry.readRecords == 0 || below(10) == 0);
        for (std::size_t i = bySnapshot ? std::max(entry.readRecords, entry.foundRecords - 1) : entry.readRecords;
             i < entry.foundRecords;
             ++i) {
            const Division &division = m_log[i];
            const auto found = division.fractions.find(entry.incarnation);
            const double fraction = found == division.fractions.end() ? 0.0 : found->second;
            entry.budgets.applyDivision({division.epoch, division.baseEpoch, fraction}, m_now);
        }
        entry.readRecords = entry.foundRecords;
        entry.budgets.confirm(entry.readStarted);
    }

    void reserve(Entry &entry)
    {
        const std::string customer = Customers[below(2)];
        const double tokens = 1.0
            + static_cast<double>(below(static_cast<std::uint64_t>(m_limits.burstTokens) / (below(4) == 0 ? 2 : 16)));
        const ReserveOutcome outcome = entry.budgets.reserve(customer, tokens, m_now);
        if (const auto *reservation = std::get_if<Reservation>(&outcome)) {
            const std::uint64_t id = m_nextId++;
            m_meters[customer].record(id, m_now, tokens);
            m_running.push_back({entry.incarnation, customer, *reservation, m_now, id});
        }
    }

    void settle(Entry &entry)
    {
        for (std::size_t tries = 0; tries < 20 && !m_running.empty(); ++tries) {
            const std::size_t index = below(m_running.size());
            const Running running = m_running[index];
            if (running.incarnation != entry.incarnation) {
                continue;
            }
            const double used = running.reservation.tokens * static_cast<double>(50 + below(51)) / 100.0;
            entry.budgets.settle(running.reservation.id, used, m_now);
            m_meters[running.customer].record(running.id, running.admitted, used);
            m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }

    void send(const Entry &entry, const std::vector<LoanMessage> &messages)
    {
        for (const LoanMessage &message : messages) {
            post(entry.incarnation, message);
        }
    }

    void post(const std::string &sender, const LoanMessage &message)
    {
        const std::uint64_t outcome = below(10);
        const std::size_t copies = outcome < 2 ? 0 : (outcome < 4 ? 2 : 1);
        for (std::size_t copy = 0; copy < copies; ++copy) {
            const bool slow = below(10) == 0;
            const TimePoint arrival = m_now + std::chrono::milliseconds(below(slow ? 30000 : 400));
            m_network.emplace(arrival, Delivery{sender, message});
        }
    }

    void deliver()
    {
        while (!m_network.empty() && m_network.begin()->first <= m_now) {
            const Delivery delivery = m_network.begin()->second;
            m_network.erase(m_network.begin());
            for (const auto &entry : m_entries) {
                if (entry->incarnation != delivery.message.receiver) {
                    continue;
                }
                if (entry->paused) {
                    m_network.emplace(m_now + std::chrono::seconds(5), delivery);
                    continue;
                }
                m_acknowledged += std::holds_alternative<LoanAck>(delivery.message.body) ? 1 : 0;
                const auto answer = std::visit(
                    [&](const auto &body) { return entry->budgets.receive(delivery.sender, body, m_now); },
                    delivery.message.body);
                if (answer) {
                    post(entry->incarnation, *answer);
                }
            }
        }
    }

    std::mt19937_64 m_random;
    BudgetLimits m_limits;
    TimePoint m_now{};
    bool m_logReachable = true;
    bool m_callersActive = true;
    std::vector<Division> m_log;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::vector<std::string> m_members;
    std::multimap<TimePoint, Delivery> m_network;
    std::vector<Running> m_running;
    std::map<std::string, BudgetMeter> m_meters;
    std::uint64_t m_nextIncarnation = 1;
    std::uint64_t m_nextId = 1;
    std::uint64_t m_acknowledged = 0;
};

} // namespace celeryroute::simulation
