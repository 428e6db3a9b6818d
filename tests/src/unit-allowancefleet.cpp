#include <celeryroute/detail/allowance/customerratelimiter.h>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>
#include <queue>
#include <random>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

namespace {

constexpr double RequestCost = 9200;
constexpr double UsualDemand = 0.56; // Part of the rate.
constexpr double HotFactor = 7.5;
constexpr Duration TrafficStart = 5s;

struct Scenario {
    std::size_t entries;
    double rate;
    std::uint64_t seed;
    double skew = 0; ///< Part of the requests that one entry receives in addition to its even share.
    int faults = 0;
    double excess = 1; ///< Factor by which the entries exceed the limit that is checked.
    bool hot = false; ///< Demand is at times HotFactor times the usual demand.
    Duration length = 40s;
};

struct FleetResult {
    double overshoot = 0; ///< Largest part of the tolerance that a window used. Must be at most 1.
    std::size_t requests = 0;
    std::size_t wrongRefusals = 0; ///< Refused requests that one bucket for all entries would have admitted.

    double wrongRefusalFraction() const
    {
        return static_cast<double>(wrongRefusals) / static_cast<double>(requests);
    }
};

/// Simulates entries, their callers and the network between them in virtual time.
class Fleet
{
public:
    explicit Fleet(const Scenario &scenario)
        : m_scenario(scenario)
        , m_random(scenario.seed)
    {
        m_bounds.quotaSlack = 110000;
        setLimit(scenario.rate);
    }

    FleetResult run()
    {
        for (std::size_t i = 0; i < m_scenario.entries; ++i) {
            addHost(seconds(0, 0.3));
        }
        after(TrafficStart, [this] { planArrival(); });
        for (Duration at = 8s; m_scenario.hot && at < m_scenario.length; at += 13s) {
            after(at, [this] { m_hot = true; });
            after(at + 6500ms, [this] { m_hot = false; });
        }
        for (int i = 0; i < m_scenario.faults; ++i) {
            after(seconds(7, toSeconds(m_scenario.length)), [this] { fault(); });
        }
        while (!m_events.empty() && m_events.top().at < TimePoint{} + m_scenario.length) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.run();
        }
        m_result.overshoot = overshoot();
        return m_result;
    }

private:
    using Action = std::function<void()>;
    struct Event {
        TimePoint at;
        std::uint64_t order;
        Action run;
        bool operator<(const Event &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };
    struct Host {
        std::unique_ptr<CustomerRateLimiter> limiter; ///< Null while its process is down.
        std::uint64_t incarnation = 0;
        std::uint64_t runNumber = 0;
        TimePoint frozenUntil{};
        std::vector<Action> waiting; ///< Actions that run when the process resumes.
        bool removed = false;
    };
    struct Admitted {
        TimePoint at;
        double cost;
    };

    double uniform(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(m_random);
    }
    Duration seconds(double low, double high)
    {
        return fromSeconds(uniform(low, high));
    }
    void after(Duration delay, Action action)
    {
        m_events.push({m_now + delay, ++m_eventsMade, std::move(action)});
    }
    void setLimit(double rate)
    {
        m_customer = {"c", {}, {}, true, 1, rate * m_scenario.excess, rate * m_scenario.excess};
        m_limits.emplace_back(m_now, rate);
    }

    void addHost(Duration delay)
    {
        const std::string address = "10.0.0." + std::to_string(m_hosts.size() + 1);
        m_hosts[address];
        after(delay, [=, this] { start(address); });
    }
    void start(const std::string &address)
    {
        Host &host = m_hosts[address];
        if (host.removed || host.limiter) {
            return;
        }
        host.limiter = std::make_unique<CustomerRateLimiter>(address, ++host.incarnation, m_bounds, m_now);
        host.limiter->setCustomers({m_customer}, m_now);
        host.waiting.clear();
        runEntry(address);
        after(seconds(0.02, 0.5), [=, this] {
            inProcess(address, [=, this] { m_hosts[address].limiter->expectMembers(presentHosts().size(), m_now); });
        });
    }
    std::vector<std::string> presentHosts() const
    {
        std::vector<std::string> hosts;
        for (const auto &[address, host] : m_hosts) {
            if (!host.removed) {
                hosts.push_back(address);
            }
        }
        return hosts;
    }
    void inProcess(const std::string &address, const Action &action)
    {
        Host &host = m_hosts[address];
        if (host.limiter && host.frozenUntil > m_now) {
            host.waiting.push_back(action);
        } else if (host.limiter) {
            action();
        }
    }
    void runEntry(const std::string &address)
    {
        Host &host = m_hosts[address];
        if (!host.limiter || host.frozenUntil > m_now) {
            return;
        }
        host.limiter->advance(m_now);
        while (host.limiter->reportDue() <= m_now) {
            const OutgoingReport outgoing = host.limiter->makeReport(m_now);
            for (const std::string &receiver : outgoing.receivers.empty() ? presentHosts() : outgoing.receivers) {
                send(receiver, host.limiter->reportFor(receiver, outgoing));
            }
        }
        const auto number = ++host.runNumber;
        after(host.limiter->advanceDue() - m_now + seconds(0, 0.003), [=, this] {
            if (m_hosts[address].runNumber == number) {
                runEntry(address);
            }
        });
    }
    void send(const std::string &receiver, const EntryReport &report)
    {
        if (uniform(0, 1) < 0.05 || receiver == report.sender || m_cuts[{report.sender, receiver}] > m_now) {
            return;
        }
        const auto shared = std::make_shared<EntryReport>(report);
        after(seconds(0.001, 0.05), [=, this] {
            inProcess(receiver, [=, this] {
                m_hosts[receiver].limiter->receive(*shared, m_now);
                runEntry(receiver);
            });
        });
    }

    void planArrival()
    {
        const double perSecond = UsualDemand * m_scenario.rate * (m_hot ? HotFactor : 1) / RequestCost;
        after(fromSeconds(std::exponential_distribution<double>(perSecond)(m_random)), [this] {
            planArrival();
            const bool large = uniform(0, 1) < 0.03;
            arrive(RequestCost * (large ? uniform(2, 4) : uniform(0.4, 1.6)), true);
        });
    }
    void arrive(double cost, bool mayRetry)
    {
        std::vector<std::string> live = presentHosts();
        std::erase_if(live, [this](const std::string &address) { return !m_hosts[address].limiter; });
        if (live.empty()) {
            return;
        }
        const std::string address = uniform(0, 1) < m_scenario.skew ? live.front() : live[m_random() % live.size()];
        const TimePoint sent = m_now;
        inProcess(address, [=, this] {
            if (m_now - sent < 1s) {
                request(address, cost, mayRetry);
            }
        });
    }
    void request(const std::string &address, double cost, bool mayRetry)
    {
        ++m_result.requests;
        const double limit = m_customer.ratePerSecond;
        m_centralLevel = std::min(limit,
                                  m_centralLevel + limit * toSeconds(m_now - std::exchange(m_centralUpdated, m_now)));
        const AdmissionResult outcome = m_hosts[address].limiter->admit("c", cost, m_now);
        if (const auto *refusal = std::get_if<RateLimitRefusal>(&outcome)) {
            m_result.wrongRefusals += m_centralLevel >= std::min(cost, limit) ? 1 : 0;
            if (mayRetry && refusal->retryAfter < 1700ms) {
                after(refusal->retryAfter + seconds(0.001, 0.01), [=, this] { arrive(cost, false); });
            }
        } else {
            m_centralLevel -= cost;
            m_admitted.push_back({m_now, cost});
            if (uniform(0, 1) < 0.05) {
                planRefund(address, std::get<Admission>(outcome));
            }
        }
        runEntry(address);
    }
    void planRefund(const std::string &address, const Admission &admission)
    {
        const std::size_t index = m_admitted.size() - 1;
        const std::uint64_t incarnation = m_hosts[address].incarnation;
        after(seconds(0, 2), [=, this] {
            inProcess(address, [=, this] {
                if (m_hosts[address].incarnation == incarnation) {
                    m_admitted[index].cost = 0;
                    m_hosts[address].limiter->refund(admission, m_now);
                }
            });
        });
    }

    void fault()
    {
        const std::vector<std::string> hosts = presentHosts();
        const std::string &one = hosts[m_random() % hosts.size()];
        const std::string &two = hosts[m_random() % hosts.size()];
        const Duration length = uniform(0, 1) < 0.5 ? seconds(0.2, 2) : seconds(1, 12);
        const std::uint64_t kind = m_random() % 14;
        std::map<std::string, std::uint64_t> sides;
        for (const std::string &host : hosts) {
            sides[host] = kind == 11 ? sides.size() : m_random() % 2;
        }
        for (const std::string &from : hosts) {
            for (const std::string &to : hosts) {
                const bool cut = (kind == 0 && (from == one || to == one)) || (kind == 1 && from == one)
                    || (kind == 2 && to == one)
                    || (kind == 3 && (from == one || to == one) && (from == two || to == two))
                    || (kind == 4 && from == one && to == two)
                    || ((kind == 10 || kind == 11) && sides[from] != sides[to]);
                m_cuts[{from, to}] = std::max(m_cuts[{from, to}], cut ? m_now + length : TimePoint{});
            }
        }
        if (kind == 5 || kind == 6) {
            kill(one, seconds(0.2, 2));
        } else if (kind == 7 || kind == 8) {
            freeze(one, std::min<Duration>(length, 6s));
        } else if (kind == 9) {
            for (const std::string &host : hosts) {
                kill(host, seconds(0.2, 1));
            }
        } else if (kind == 12) {
            m_hosts[one].removed = uniform(0, 1) < 0.7; // Otherwise only a host is added.
            if (m_hosts[one].removed) {
                m_hosts[one].limiter.reset();
            }
            addHost(seconds(0.5, 3));
        } else if (kind == 13) {
            setLimit(m_scenario.rate * uniform(0.5, 1.5));
            for (const std::string &host : hosts) {
                after(seconds(0, 0.5), [=, this] {
                    inProcess(host, [=, this] { m_hosts[host].limiter->setCustomers({m_customer}, m_now); });
                });
            }
        }
    }
    void kill(const std::string &address, Duration down)
    {
        m_hosts[address].limiter.reset();
        m_hosts[address].frozenUntil = {};
        after(down, [=, this] { start(address); });
    }
    void freeze(const std::string &address, Duration length)
    {
        m_hosts[address].frozenUntil = m_now + length;
        after(length, [=, this] {
            Host &host = m_hosts[address];
            if (!host.limiter || host.frozenUntil > m_now) {
                return;
            }
            std::vector<Action> waiting = std::exchange(host.waiting, {});
            std::shuffle(waiting.begin(), waiting.end(), m_random);
            for (const Action &action : waiting) {
                action();
            }
            runEntry(address);
        });
    }

    double overshoot() const
    {
        double worst = 0;
        double sum = 0;
        auto first = m_admitted.begin();
        for (auto last = m_admitted.begin(); last != m_admitted.end(); ++last) {
            sum += last->cost;
            for (; last->at - first->at > m_bounds.quotaWindow; ++first) {
                sum -= first->cost;
            }
            const double allowance = limitAt(last->at) * (toSeconds(m_bounds.quotaWindow) + 1);
            const double tolerance = allowance * m_bounds.quotaOverage + m_bounds.quotaSlack;
            worst = std::max(worst, (sum - allowance) / tolerance);
        }
        return worst;
    }
    /// The limit that must hold at @p at. A lower limit counts only one window after all entries apply it.
    double limitAt(TimePoint at) const
    {
        double limit = 0;
        for (std::size_t i = 0; i < m_limits.size() && m_limits[i].first <= at; ++i) {
            const bool replaced = i + 1 < m_limits.size() && m_limits[i + 1].first + m_bounds.quotaWindow + 2s < at;
            limit = replaced ? limit : std::max(limit, m_limits[i].second);
        }
        return limit;
    }

    Scenario m_scenario;
    std::mt19937_64 m_random;
    ServingBounds m_bounds;
    ServingCustomer m_customer;
    TimePoint m_now{};
    std::priority_queue<Event> m_events;
    std::uint64_t m_eventsMade = 0;
    std::map<std::string, Host> m_hosts;
    std::map<std::pair<std::string, std::string>, TimePoint> m_cuts;
    std::vector<std::pair<TimePoint, double>> m_limits;
    std::vector<Admitted> m_admitted;
    bool m_hot = false;
    double m_centralLevel = 0;
    TimePoint m_centralUpdated{};
    FleetResult m_result;
};

/// Number of seeds for each scenario with few entries. CELERYROUTE_SEEDS sets it for longer runs.
std::uint64_t seeds()
{
    const char *text = std::getenv("CELERYROUTE_SEEDS");
    return text ? std::strtoull(text, nullptr, 10) : 40;
}

FleetResult runScenario(Scenario scenario, std::uint64_t count)
{
    FleetResult sum;
    std::uint64_t worst = 0;
    for (scenario.seed = 1; scenario.seed <= count; ++scenario.seed) {
        const FleetResult one = Fleet(scenario).run();
        if (one.overshoot > sum.overshoot) {
            sum.overshoot = one.overshoot;
            worst = scenario.seed;
        }
        sum.requests += one.requests;
        sum.wrongRefusals += one.wrongRefusals;
    }
    std::cout << scenario.entries << " entries, rate " << scenario.rate << ", skew " << scenario.skew << ", "
              << scenario.faults << " faults, " << count << " seeds: used " << sum.overshoot
              << " of the tolerance (seed " << worst << "), refused wrongly " << sum.wrongRefusalFraction() * 1000
              << "/1000\n";
    return sum;
}

} // namespace

TEST_GROUP(AllowanceFleet){};

TEST(AllowanceFleet, faultsAndDemandPeaks_noWindowExceedsTheTolerance)
{
    for (const std::size_t entries : {1, 3, 4, 7, 40}) {
        for (const double rate : {29000.0, 100000.0}) {
            const FleetResult result = runScenario({entries, rate, 0, 0, 12, 1, true},
                                                   entries > 7 ? seeds() / 40 : seeds());
            CHECK_TEXT(result.overshoot <= 1, "see the seed above");
        }
    }
}

// Many entries spend a large burst before they hear of each other; or each alone admits a request that its share of a
// small allowance does not cover.
TEST(AllowanceFleet, manyEntries_noWindowExceedsTheTolerance)
{
    CHECK(runScenario({40, 500000.0, 0, 0, 12, 1, true}, seeds() / 10).overshoot <= 1);
    CHECK(runScenario({68, 29000.0, 0, 0, 12, 1, true}, seeds() / 20).overshoot <= 1);
}

TEST(AllowanceFleet, usualDemand_isRarelyRefusedForAnyDistribution)
{
    for (const std::size_t entries : {1, 3, 4, 7, 40}) {
        for (const double skew : {0.0, 0.6}) {
            for (const double rate : {29000.0, 100000.0}) {
                const FleetResult result = runScenario({entries, rate, 0, skew}, entries > 7 ? seeds() / 20 : seeds());
                CHECK(result.wrongRefusalFraction() <= (entries > 7 ? 0.02 : 0.005));
            }
        }
    }
}

TEST(AllowanceFleet, entriesUseThreeTimesTheLimit_checkReportsIt)
{
    Scenario scenario{4, 100000, 1};
    scenario.hot = true;
    scenario.excess = 3;
    CHECK(Fleet(scenario).run().overshoot > 1);
}
