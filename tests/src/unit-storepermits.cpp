#include <celeryroute/detail/keeper/storepermit.h>
#include <celeryroute/detail/keeper/storepermitledger.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

namespace {

constexpr Duration Window = 5s;
constexpr Duration MemberTimeout = 30s; ///< Time for which an entry names another after its last message.
constexpr Duration Holding = StorePermitLedger::Validity + StorePermitLedger::OrderLifetime + Window;

std::string entryName(std::size_t index)
{
    return "10.0.0." + std::to_string(100 + index);
}

/// Virtual time, its events and the random generator.
struct Simulation {
    explicit Simulation(std::uint64_t seed)
        : random(seed)
    {}
    void after(Duration delay, std::function<void()> action)
    {
        events.emplace(now + delay, std::move(action));
    }
    void run(Duration time)
    {
        const TimePoint end = now + time;
        while (!events.empty() && events.begin()->first <= end) {
            now = std::max(now, events.begin()->first);
            const std::function<void()> action = std::move(events.begin()->second);
            events.erase(events.begin());
            action();
        }
        now = end;
    }
    bool chance(double share)
    {
        return std::uniform_real_distribution<>(0, 1)(random) < share;
    }
    Duration randomUpTo(Duration most)
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(0, most.count())(random));
    }
    std::size_t below(std::size_t end)
    {
        return std::uniform_int_distribution<std::size_t>(0, end - 1)(random);
    }

    TimePoint now{1h};
    std::multimap<TimePoint, std::function<void()>> events;
    std::mt19937_64 random;
};

/// Loads that begin, and the most of them in one window.
struct LoadCounter {
    void add(TimePoint now)
    {
        recent.push_back(now);
        while (now - recent.front() >= Window) {
            recent.pop_front();
        }
        most = std::max(most, recent.size());
        ++total;
    }

    std::deque<TimePoint> recent;
    std::size_t most = 0;
    std::size_t total = 0;
};

/// Entries and agents with lost and late messages, late orders, cuts, suspensions, restarts and changes of the entries.
class FaultyFleet
{
public:
    explicit FaultyFleet(std::uint64_t seed)
        : m_simulation(seed)
    {
        m_limit = static_cast<std::uint32_t>(1 + m_simulation.below(24));
        m_loss = m_simulation.chance(0.5) ? 0.3 : 0.02;
        const std::size_t entries = 1 + m_simulation.below(6);
        for (std::size_t i = 0; i < entries; ++i) {
            addEntry(true);
        }
        m_agents.resize(1 + m_simulation.below(12));
        for (std::size_t i = 0; i < m_agents.size(); ++i) {
            askLater(i);
        }
        m_simulation.after(1s, [this] { fault(); });
    }

    LoadCounter run()
    {
        m_simulation.run(150s);
        return m_loads;
    }
    std::uint32_t limit() const
    {
        return m_limit;
    }

private:
    struct Entry {
        std::string address;
        std::unique_ptr<StorePermitLedger> ledger;
        std::map<std::string, TimePoint> heard;
        bool alive = true;
        TimePoint suspendedUntil{};
        bool side = false;
    };
    struct Agent {
        StorePermit permit;
        std::uint64_t incarnation = 1;
        std::size_t asked = 0;
        TimePoint suspendedUntil{};
    };

    bool sideOf(std::size_t agent) const
    {
        return agent % 2 == 1;
    }
    bool isCut(bool from, bool to) const
    {
        return from != to && m_simulation.now < m_cutUntil;
    }

    void addEntry(bool first)
    {
        Entry entry;
        entry.address = entryName(m_simulation.below(100) * 100 + m_entries.size());
        entry.ledger = std::make_unique<StorePermitLedger>(entry.address, m_simulation.now, first);
        entry.ledger->setLimit(m_limit, Window);
        entry.side = m_simulation.chance(0.5);
        m_entries.push_back(std::move(entry));
        const std::size_t index = m_entries.size() - 1;
        m_simulation.after(m_simulation.randomUpTo(250ms), [this, index] { greet(index); });
    }

    // Delivers a message unless it is lost. A suspended process reads it when it goes on.
    void deliver(bool cut, const std::function<TimePoint()> &suspendedUntil, const std::function<void()> &action)
    {
        if (cut || m_simulation.chance(m_loss)) {
            return;
        }
        const Duration delay = m_simulation.randomUpTo(m_simulation.chance(0.05) ? Duration(2s) : Duration(20ms));
        m_simulation.after(delay, [this, suspendedUntil, action] {
            const TimePoint until = suspendedUntil();
            if (until > m_simulation.now) {
                m_simulation.after(until - m_simulation.now, action);
            } else {
                action();
            }
        });
    }
    void deliverToEntry(bool from, std::size_t to, const std::function<void(Entry &)> &action)
    {
        deliver(
            isCut(from, m_entries[to].side),
            [this, to] { return m_entries[to].suspendedUntil; },
            [this, to, action] {
                if (m_entries[to].alive) {
                    action(m_entries[to]);
                }
            });
    }

    void greet(std::size_t index)
    {
        Entry &entry = m_entries[index];
        if (!entry.alive) {
            return;
        }
        m_simulation.after(250ms, [this, index] { greet(index); });
        if (entry.suspendedUntil > m_simulation.now) {
            return;
        }
        for (std::size_t other = 0; other < m_entries.size(); ++other) {
            if (other != index) {
                deliverToEntry(entry.side, other, [this, address = entry.address](Entry &receiver) {
                    receiver.heard[address] = m_simulation.now;
                    noteEntries(receiver);
                });
            }
        }
    }
    void noteEntries(Entry &entry)
    {
        std::erase_if(entry.heard, [this](const auto &peer) { return m_simulation.now - peer.second > MemberTimeout; });
        std::vector<std::string> others;
        for (const auto &[address, at] : entry.heard) {
            others.push_back(address);
        }
        entry.ledger->noteEntries(others, m_simulation.now);
    }

    StorePermitId idOf(std::size_t agent, std::uint64_t number) const
    {
        return {"agent-" + std::to_string(agent), m_agents[agent].incarnation, number};
    }
    void askLater(std::size_t agent)
    {
        m_simulation.after(m_simulation.randomUpTo(200ms), [this, agent] { ask(agent); });
    }
    void ask(std::size_t index)
    {
        askLater(index);
        Agent &agent = m_agents[index];
        if (agent.suspendedUntil > m_simulation.now) {
            return;
        }
        agent.asked = m_simulation.below(m_entries.size());
        const StorePermitId id = idOf(index, agent.permit.request(m_simulation.now));
        deliverToEntry(sideOf(index), agent.asked, [this, index, asked = agent.asked, id](Entry &entry) {
            noteEntries(entry);
            if (!entry.ledger->tryGrant(id, m_simulation.now)) {
                answer(index, asked, id);
            }
        });
    }
    void answer(std::size_t index, std::size_t entry, const StorePermitId &id)
    {
        deliver(
            isCut(m_entries[entry].side, sideOf(index)),
            [this, index] { return m_agents[index].suspendedUntil; },
            [this, index, entry, id] {
                Agent &agent = m_agents[index];
                if (agent.incarnation != id.incarnation) {
                    return;
                }
                if (agent.permit.noteGranted(id.number, m_simulation.now) && agent.permit.isUsable(m_simulation.now)) {
                    agent.permit.use();
                    order(index, entry, id);
                } else {
                    settle(index, entry, id, false);
                }
            });
    }
    void order(std::size_t index, std::size_t entry, const StorePermitId &id)
    {
        const double kind = std::uniform_real_distribution<>(0, 1)(m_simulation.random);
        const bool lost = kind < 0.05;
        const Duration delay = lost ? Duration(StorePermitLedger::OrderLifetime)
                                    : m_simulation.randomUpTo(kind < 0.2 ? StorePermitLedger::OrderLifetime : 30ms);
        m_simulation.after(delay, [this, index, entry, id, lost] {
            if (!lost) {
                m_loads.add(m_simulation.now);
            }
            if (m_agents[index].incarnation == id.incarnation) {
                settle(index, entry, id, !lost);
            }
        });
    }
    void settle(std::size_t index, std::size_t to, const StorePermitId &id, bool begun)
    {
        for (const Duration delay : std::initializer_list<Duration>{0ms, 100ms, 300ms}) {
            m_simulation.after(delay, [this, index, to, id, begun] {
                deliverToEntry(sideOf(index), to, [this, id, begun](Entry &entry) {
                    if (begun) {
                        entry.ledger->noteBegun(id, m_simulation.now);
                    } else {
                        entry.ledger->noteUnused(id);
                    }
                });
            });
        }
    }

    void fault()
    {
        m_simulation.after(m_simulation.randomUpTo(12s), [this] { fault(); });
        Entry &entry = m_entries[m_simulation.below(m_entries.size())];
        Agent &agent = m_agents[m_simulation.below(m_agents.size())];
        switch (m_simulation.below(6)) {
        case 0:
            entry.suspendedUntil = m_simulation.now + m_simulation.randomUpTo(10s);
            break;
        case 1:
            agent.suspendedUntil = m_simulation.now + m_simulation.randomUpTo(10s);
            break;
        case 2:
            m_cutUntil = m_simulation.now + m_simulation.randomUpTo(15s);
            break;
        case 3: // The entry restarts.
            entry.ledger = std::make_unique<StorePermitLedger>(entry.address, m_simulation.now, false);
            entry.ledger->setLimit(m_limit, Window);
            entry.heard.clear();
            break;
        case 4:
            agent.permit = StorePermit();
            ++agent.incarnation;
            break;
        default:
            if (m_simulation.chance(0.5)) {
                entry.alive = false;
            } else if (m_entries.size() < 10) {
                addEntry(false);
            }
            break;
        }
    }

    Simulation m_simulation;
    std::uint32_t m_limit = 0;
    double m_loss = 0;
    std::vector<Entry> m_entries;
    std::vector<Agent> m_agents;
    TimePoint m_cutUntil{};
    LoadCounter m_loads;
};

/// Part of the targets of a pool that want loads all the time, without faults. Messages take 1 ms.
class WantingFleet
{
public:
    WantingFleet(std::size_t entries, std::size_t agents, std::uint32_t limit)
        : m_simulation(1)
        , m_agents(agents)
    {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < entries; ++i) {
            names.push_back(entryName(i));
        }
        for (const std::string &name : names) {
            m_entries.emplace_back(name, m_simulation.now, true);
            m_entries.back().setLimit(limit, Window);
            std::vector<std::string> others = names;
            std::erase(others, name);
            m_others.push_back(others);
        }
        noteEntries();
    }

    /// The fewest loads in a window, from the second one on.
    std::size_t fewestLoads()
    {
        for (std::size_t i = 0; i < m_agents.size(); ++i) {
            m_simulation.after(m_simulation.randomUpTo(1s), [this, i] { begin(i); });
        }
        m_simulation.run(StorePermitLedger::DiscoveryTime + Window);
        std::size_t fewest = std::numeric_limits<std::size_t>::max();
        for (int i = 0; i < 8; ++i) {
            const std::size_t before = m_loads.total;
            m_simulation.run(Window);
            fewest = std::min(fewest, m_loads.total - before);
        }
        return fewest;
    }
    std::size_t mostLoads() const
    {
        return m_loads.most;
    }
    double askedPerLoad() const
    {
        return static_cast<double>(m_asked) / static_cast<double>(m_loads.total);
    }

private:
    struct Agent {
        StorePermit permit;
        std::vector<std::size_t> order;
        std::size_t next = 0;
        Duration wait{};
    };

    void noteEntries()
    {
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            m_entries[i].noteEntries(m_others[i], m_simulation.now);
        }
        m_simulation.after(1s, [this] { noteEntries(); });
    }
    void begin(std::size_t index)
    {
        Agent &agent = m_agents[index];
        agent.order.resize(m_entries.size());
        for (std::size_t i = 0; i < agent.order.size(); ++i) {
            agent.order[i] = i;
        }
        std::shuffle(agent.order.begin(), agent.order.end(), m_simulation.random);
        agent.next = 0;
        agent.wait = Window;
        ask(index);
    }
    void ask(std::size_t index)
    {
        Agent &agent = m_agents[index];
        if (agent.next == agent.order.size()) {
            m_simulation.after(agent.wait + m_simulation.randomUpTo(50ms), [this, index] { begin(index); });
            return;
        }
        const std::size_t entry = agent.order[agent.next++];
        const StorePermitId id{"agent-" + std::to_string(index), 1, agent.permit.request(m_simulation.now)};
        ++m_asked;
        m_simulation.after(1ms, [this, index, entry, id] {
            const std::optional<Duration> wait = m_entries[entry].tryGrant(id, m_simulation.now);
            m_simulation.after(1ms, [this, index, entry, id, wait] { answered(index, entry, id, wait); });
        });
    }
    void answered(std::size_t index, std::size_t entry, const StorePermitId &id, std::optional<Duration> wait)
    {
        Agent &agent = m_agents[index];
        if (wait) {
            agent.wait = std::min(agent.wait, *wait);
            ask(index);
            return;
        }
        CHECK(agent.permit.noteGranted(id.number, m_simulation.now));
        agent.permit.use();
        m_loads.add(m_simulation.now);
        m_simulation.after(1ms, [this, entry, id] { m_entries[entry].noteBegun(id, m_simulation.now); });
        begin(index);
    }

    Simulation m_simulation;
    std::vector<StorePermitLedger> m_entries;
    std::vector<std::vector<std::string>> m_others;
    std::vector<Agent> m_agents;
    LoadCounter m_loads;
    std::size_t m_asked = 0;
};

/// Number of schedules. CELERYROUTE_SEEDS sets it for longer runs.
std::uint64_t seeds()
{
    const char *text = std::getenv("CELERYROUTE_SEEDS");
    return text != nullptr ? std::strtoull(text, nullptr, 10) : 100;
}

} // namespace

TEST_GROUP(StorePermit)
{
    StorePermit permit;
    TimePoint now{100s};
};

TEST(StorePermit, grantIsLate_cannotBeUsed)
{
    const std::uint64_t first = permit.request(now);
    CHECK_FALSE(permit.isUsable(now));
    CHECK(permit.noteGranted(first, now + StorePermitLedger::Validity));
    CHECK(permit.isUsable(now + StorePermitLedger::Validity));
    CHECK_FALSE(permit.isUsable(now + StorePermitLedger::Validity + 1ms));
    const std::uint64_t second = permit.request(now);
    CHECK_FALSE(permit.noteGranted(second, now + StorePermitLedger::Validity + 1ms));
    CHECK_FALSE(permit.isUsable(now));
}

TEST(StorePermit, grantIsOfAnEarlierRequest_cannotBeUsed)
{
    const std::uint64_t first = permit.request(now);
    const std::uint64_t second = permit.request(now);
    CHECK_FALSE(permit.noteGranted(first, now));
    CHECK(permit.noteGranted(second, now));
    CHECK_EQUAL(second, permit.use());
    CHECK_FALSE(permit.isUsable(now));
    CHECK_FALSE(permit.noteGranted(second, now));
}

TEST_GROUP(StorePermitLedger)
{
    StorePermitLedger ledger{"10.0.0.2", TimePoint(100s) - StorePermitLedger::DiscoveryTime, true};
    TimePoint now{100s};

    void setup() override
    {
        ledger.setLimit(3, Window);
    }
    bool grant(std::uint64_t number)
    {
        return !ledger.tryGrant({"agent", 1, number}, now);
    }
};

TEST(StorePermitLedger, permitsAreGranted_countUntilAWindowAfterTheLoadHasBegun)
{
    CHECK(grant(1) && grant(2) && grant(3));
    CHECK(grant(3)); // The request arrives twice.
    CHECK_EQUAL(3U, ledger.occupied(now));
    CHECK_FALSE(grant(4));
    now += 1s;
    ledger.noteBegun({"agent", 1, 1}, now);
    ledger.noteUnused({"agent", 1, 1}); // It cannot be taken back.
    ledger.noteUnused({"agent", 1, 2});
    CHECK_EQUAL(2U, ledger.occupied(now));
    CHECK(grant(5));
    now += Window;
    CHECK_FALSE(grant(6));
    now += 1ms;
    CHECK(grant(6));
    CHECK_FALSE(grant(7));
}

TEST(StorePermitLedger, agentIsSilent_permitCountsAsLongAsItsOrderMayBeCarriedOut)
{
    ledger.setLimit(1, Window);
    CHECK(grant(1));
    CHECK(Window == ledger.tryGrant({"agent", 1, 2}, now));
    now += Holding;
    CHECK_FALSE(grant(2));
    now += 1ms;
    CHECK(grant(2));
}

TEST(StorePermitLedger, entryStarts_grantsOnceAllCountItAndEarlierPermitsAreVoid)
{
    for (const bool first : {false, true}) {
        StorePermitLedger started("10.0.0.2", now, first);
        started.setLimit(3, Window);
        const Duration wait = StorePermitLedger::DiscoveryTime + (first ? Duration::zero() : Holding);
        CHECK(wait == started.tryGrant({"agent", 1, 1}, now));
        CHECK(started.tryGrant({"agent", 1, 1}, now + wait - 1ms).has_value());
        CHECK_FALSE(started.tryGrant({"agent", 1, 1}, now + wait).has_value());
    }
}

TEST(StorePermitLedger, entryIsNoLongerNamed_countsUntilItsPermitsAreVoid)
{
    ledger.setLimit(7, Window);
    ledger.noteEntries({"10.0.0.1", "10.0.0.3"}, now);
    CHECK_EQUAL(2U, ledger.share(now));
    ledger.noteEntries({"10.0.0.3"}, now + Holding);
    CHECK_EQUAL(2U, ledger.share(now + Holding));
    CHECK_EQUAL(4U, ledger.share(now + Holding + 1ms));
}

TEST(StorePermitLedger, entriesCountDifferentOthers_sharesStayWithinTheLimit)
{
    Simulation simulation(1);
    for (int round = 0; round < 20000; ++round) {
        const auto limit = static_cast<std::uint32_t>(simulation.below(40));
        const std::size_t present = 1 + simulation.below(12);
        std::uint32_t sum = 0;
        std::vector<std::string> names;
        for (std::size_t i = 0; i < present; ++i) {
            names.push_back(entryName(2 * i));
        }
        bool same = true;
        for (const std::string &name : names) {
            std::vector<std::string> others = names;
            std::erase(others, name);
            for (std::size_t i = 0; i < 12; ++i) {
                if (round % 2 == 0 && simulation.chance(0.2)) {
                    others.push_back(entryName(2 * i + 1));
                    same = false;
                }
            }
            StorePermitLedger one(name, now, true);
            one.setLimit(limit, Window);
            one.noteEntries(others, now);
            sum += one.share(now);
        }
        CHECK(sum <= limit);
        CHECK(!same || sum == limit);
    }
}

TEST_GROUP(StorePermitFleet){};

TEST(StorePermitFleet, messagesAndProcessesFail_loadsStayWithinTheLimit)
{
    std::size_t loads = 0;
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
        FaultyFleet fleet(seed);
        const LoadCounter counter = fleet.run();
        CHECK_TEXT(counter.most <= fleet.limit(), ("seed " + std::to_string(seed)).c_str());
        loads += counter.total;
    }
    CHECK(loads > 10 * seeds());
}

TEST(StorePermitFleet, someTargetsWant_theRateIsUsed)
{
    struct Row {
        double loadsPerSecond;
        std::size_t entries;
        std::size_t targets;
    };
    for (const Row &row : {Row{1.6, 5, 2}, Row{1.6, 5, 9}, Row{1.6, 12, 40}, Row{7.3, 31, 57}, Row{200, 60, 2000}}) {
        for (const double wanting : {0.01, 0.1, 1.0}) {
            const auto limit = static_cast<std::uint32_t>(row.loadsPerSecond * 5 * 1.1 + 2);
            const auto agents = static_cast<std::size_t>(std::max(1.0, static_cast<double>(row.targets) * wanting));
            WantingFleet fleet(row.entries, agents, limit);
            const auto fewest = static_cast<double>(fleet.fewestLoads());
            CHECK(fewest >= 0.85 * row.loadsPerSecond * 5);
            CHECK(fleet.mostLoads() <= limit);
            if (std::getenv("CELERYROUTE_PRINT") != nullptr) {
                std::printf("%5.1f/s %2zu entries %4zu of %4zu targets: used %.2f of the rate, %.1f requests a load\n",
                            row.loadsPerSecond,
                            row.entries,
                            agents,
                            row.targets,
                            fewest / (row.loadsPerSecond * 5),
                            fleet.askedPerLoad());
            }
        }
    }
}
