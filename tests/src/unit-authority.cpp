#include <celeryroute/detail/residency/authorityplanner.h>
#include <celeryroute/detail/residency/isolationrule.h>
#include <celeryroute/detail/residency/membershipview.h>
#include <celeryroute/detail/state/fold.h>
#include <celeryroute/detail/state/routelookup.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t Replicas = 2;

PoolSpec testPool(int models)
{
    PoolSpec pool;
    pool.name = "p";
    pool.kind = PoolKind::Engine;
    for (int number = 0; number < models; ++number) {
        ModelSpec model{absl::StrCat("m", number), 10, Replicas, 1, {}};
        model.adapters = {AdapterSpec{"a", 1, 1, 1}, AdapterSpec{"b", 1, Replicas, 1}};
        pool.models.push_back(model);
    }
    return pool;
}

FleetState stateWith(const PoolSpec &pool)
{
    StateTables tables;
    tables.pools.edit()[pool.name] = {pool, 1};
    return FleetState(tables);
}

std::vector<PlacementHost> hostsOf(int count)
{
    std::vector<PlacementHost> hosts;
    hosts.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
        hosts.push_back({absl::StrCat("h", number), absl::StrCat("d", number % 3)});
    }
    return hosts;
}

/// Agents that plan from the same state and whose log records are folded in random order.
class PlanningFleet
{
public:
    PlanningFleet(PoolSpec pool, std::uint64_t seed)
        : m_pool(std::move(pool))
        , m_random(seed)
        , m_state(stateWith(m_pool))
    {}

    /// Runs until no agent proposes a change. Returns false after too many rounds.
    bool converge(const std::vector<PlacementHost> &hosts,
                  const std::set<std::string> &expired,
                  const std::set<std::string> &held = {})
    {
        constexpr int MaxRounds = 200;
        for (int round = 0; round < MaxRounds; ++round) {
            std::vector<proto::AuthorityChange> changes;
            changes.reserve(hosts.size());
            for (const PlacementHost &host : hosts) {
                changes.push_back(plan(host, hosts, expired, held));
            }
            std::shuffle(changes.begin(), changes.end(), m_random);
            bool changed = false;
            for (const proto::AuthorityChange &change : changes) {
                changed = append(change) || changed;
            }
            if (!changed) {
                return true;
            }
        }
        return false;
    }

    const FleetState &state() const
    {
        return m_state;
    }

    std::size_t records() const
    {
        return m_records;
    }

    /// A model or adapter with more holders than replicas, or an empty string if there is none.
    std::string overgranted() const
    {
        std::string found;
        m_state.authorities().forEach([&](const std::string &, const Authority &authority) {
            if (authority.holders.size() > declaredReplicas(m_state, authority.pool, authority.model)) {
                found = authority.model;
            }
        });
        return found;
    }

    std::map<std::string, std::size_t> grantsByHost() const
    {
        std::map<std::string, std::size_t> counts;
        m_state.authorities().forEach([&counts](const std::string &, const Authority &authority) {
            for (const AuthorityHolder &holder : authority.holders) {
                ++counts[holder.host];
            }
        });
        return counts;
    }

private:
    static std::uint32_t declaredReplicas(const FleetState &state, const std::string &pool, const std::string &model);

    proto::AuthorityChange plan(const PlacementHost &host,
                                const std::vector<PlacementHost> &hosts,
                                const std::set<std::string> &expired,
                                const std::set<std::string> &held) const
    {
        PlannerInput input;
        input.pool = "p";
        input.host = host.host;
        input.incarnation = host.host + "#1";
        input.hosts = hosts;
        input.expiredHosts = expired;
        input.heldItems = held;
        proto::AuthorityChange change = planAuthority(m_state, input);
        releaseRevoked(host.host, change);
        return change;
    }

    /// Releases revoked grants, as the load controller does for idle items.
    void releaseRevoked(const std::string &host, proto::AuthorityChange &change) const
    {
        m_state.authorities().forEach([&](const std::string &, const Authority &authority) {
            const AuthorityHolder *holder = holderOn(authority, host);
            if (holder == nullptr || !holder->revoked) {
                return;
            }
            proto::AuthorityItem *item = change.add_items();
            item->set_pool("p");
            item->set_model(authority.model);
            item->set_host(host);
            item->set_incarnation(holder->incarnation);
            item->set_action(proto::RELEASE);
            item->set_base_revision(authority.revision);
        });
    }

    bool append(const proto::AuthorityChange &change)
    {
        if (change.items_size() == 0) {
            return false;
        }
        proto::LogRecord record;
        record.set_id(absl::StrCat("record-", ++m_records));
        record.set_format(1);
        *record.mutable_authority_change() = change;
        const std::uint64_t offset = m_state.nextOffset();
        m_state = fold(std::move(m_state), record, offset).state;
        CHECK_EQUAL(offset + 1, m_state.nextOffset());
        STRCMP_EQUAL("", overgranted().c_str());
        return true;
    }

    PoolSpec m_pool;
    std::mt19937_64 m_random;
    FleetState m_state;
    std::size_t m_records = 0;
};

std::uint32_t
PlanningFleet::declaredReplicas(const FleetState &state, const std::string &pool, const std::string &model)
{
    return celeryroute::declaredReplicas(state, pool, model);
}

} // namespace

TEST_GROUP(Placement){};

TEST(Placement, fewerReplicasThanDomains_areInDifferentDomains)
{
    const std::vector<PlacementHost> hosts = hostsOf(9);
    for (int item = 0; item < 100; ++item) {
        const std::vector<std::string> chosen = preferredHosts(absl::StrCat("m", item), 3, hosts);
        std::set<std::string> domains;
        for (const PlacementHost &host : hosts) {
            if (std::find(chosen.begin(), chosen.end(), host.host) != chosen.end()) {
                domains.insert(host.domain);
            }
        }
        CHECK_EQUAL(3U, domains.size());
    }
}

TEST(Placement, hostLeaves_onlyItsItemsMove)
{
    std::vector<PlacementHost> hosts = hostsOf(9);
    const std::vector<PlacementHost> before = hosts;
    hosts.erase(hosts.begin() + 4);
    for (int item = 0; item < 200; ++item) {
        const std::string name = absl::StrCat("m", item);
        const std::vector<std::string> old = preferredHosts(name, 1, before);
        if (old[0] != "h4") {
            CHECK(old == preferredHosts(name, 1, hosts));
        }
    }
}

TEST_GROUP(AuthorityPlanner){};

TEST(AuthorityPlanner, allAgentsPlanAtOnce_grantsExactlyTheReplicas)
{
    constexpr std::uint64_t Seeds = 20;
    std::size_t records = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        PlanningFleet fleet(testPool(12), seed);
        CHECK(fleet.converge(hostsOf(9), {}));
        std::size_t granted = 0;
        for (const auto &[host, count] : fleet.grantsByHost()) {
            granted += count;
        }
        CHECK_EQUAL(std::size_t{12} * (2 + 1 + 2), granted);
        records += fleet.records();
    }
    std::cout << "\nplanner seeds 1.." << Seeds << ", records folded " << records << std::endl;
}

TEST(AuthorityPlanner, convergedFleet_proposesNothing)
{
    PlanningFleet fleet(testPool(12), 1);
    fleet.converge(hostsOf(9), {});
    const std::size_t before = fleet.records();
    CHECK(fleet.converge(hostsOf(9), {}));
    CHECK_EQUAL(before, fleet.records());
}

TEST(AuthorityPlanner, expiredHost_losesItsGrantsToOtherHosts)
{
    PlanningFleet fleet(testPool(12), 2);
    fleet.converge(hostsOf(9), {});
    CHECK(fleet.grantsByHost()["h0"] > 0);
    std::vector<PlacementHost> rest = hostsOf(9);
    rest.erase(rest.begin());
    CHECK(fleet.converge(rest, {}));
    CHECK(fleet.grantsByHost()["h0"] > 0);
    CHECK(fleet.converge(rest, {"h0"}));
    CHECK_EQUAL(0U, fleet.grantsByHost()["h0"]);
}

TEST(AuthorityPlanner, newHost_isGrantedIdleItemsButNotLoadedOnes)
{
    PlanningFleet fleet(testPool(30), 3);
    fleet.converge(hostsOf(8), {});
    std::set<std::string> all;
    fleet.state().authorities().forEach(
        [&all](const std::string &, const Authority &authority) { all.insert(authority.model); });
    const FleetState before = fleet.state();
    CHECK(fleet.converge(hostsOf(9), {}, all));
    CHECK_EQUAL(0U, fleet.grantsByHost()["h8"]);
    CHECK(fleet.converge(hostsOf(9), {}));
    CHECK(fleet.grantsByHost()["h8"] > 0);
}

TEST(AuthorityPlanner, leavingHost_revokesAllItsGrants)
{
    PlanningFleet fleet(testPool(4), 4);
    fleet.converge(hostsOf(3), {});
    PlannerInput input;
    input.pool = "p";
    input.host = "h0";
    input.incarnation = "h0#1";
    input.hosts = {{"h1", "d1"}, {"h2", "d2"}};
    input.leaving = true;
    const proto::AuthorityChange change = planAuthority(fleet.state(), input);
    CHECK_EQUAL(fleet.grantsByHost()["h0"], static_cast<std::size_t>(change.items_size()));
    for (const proto::AuthorityItem &item : change.items()) {
        CHECK(proto::REVOKE == item.action());
    }
}

TEST_GROUP(MembershipView)
{
    MembershipView view{"p"};
    TimePoint now{1h};

    static HostEntry agent(const std::string &host, HostState state = HostState::Live)
    {
        return HostEntry{host, "127.0.0.1:1", "d", HostRole::Agent, "p", state};
    }
};

TEST(MembershipView, unlistedHost_expiresOnlyAfterTheWholePeriod)
{
    view.update({agent("a"), agent("b")}, now);
    for (Duration passed = 0s; passed < MembershipView::ExpireAfter; passed += 5s) {
        view.update({agent("a")}, now + passed);
        CHECK(view.expiredHosts({"a", "b"}, now + passed).empty());
    }
    const TimePoint end = now + MembershipView::ExpireAfter;
    view.update({agent("a")}, end);
    CHECK(view.expiredHosts({"a", "b"}, end) == std::set<std::string>{"b"});
}

TEST(MembershipView, readerWasPaused_restartsThePeriod)
{
    view.update({agent("a")}, now);
    view.update({agent("a")}, now + MembershipView::ExpireAfter * 2);
    CHECK(view.expiredHosts({"b"}, now + MembershipView::ExpireAfter * 2).empty());
}

TEST(MembershipView, leavingHost_isNeitherLiveNorExpired)
{
    view.update({agent("a", HostState::Leaving)}, now);
    CHECK(view.liveHosts().empty());
    CHECK(view.isLeaving("a"));
    CHECK(view.expiredHosts({"a"}, now).empty());
}

TEST(MembershipView, listNoLongerRead_noHostExpires)
{
    view.update({agent("a")}, now);
    CHECK(view.expiredHosts({"b"}, now + MembershipView::ExpireAfter * 2).empty());
}

TEST_GROUP(IsolationRule)
{
    TimePoint now{1h};
    IsolationRule rule{now};

    AuthorityTrust stepFor(Duration duration)
    {
        AuthorityTrust trust = AuthorityTrust::Full;
        for (const TimePoint end = now + duration; now < end; now += 100ms) {
            trust = rule.step(now);
        }
        return trust;
    }
};

TEST(IsolationRule, noContact_stopsLoadingThenUnloadsBeforeExpiry)
{
    CHECK(AuthorityTrust::Full == stepFor(9s));
    CHECK(AuthorityTrust::NoLoads == stepFor(2s));
    CHECK(AuthorityTrust::None == stepFor(12s));
    CHECK(IsolationRule::UnloadAfter * 2 <= MembershipView::ExpireAfter);
    rule.recordContact(now, now);
    CHECK(AuthorityTrust::Full == rule.step(now));
}

TEST(IsolationRule, contactOnlyWithAnIsolatedPeer_trustStillExpires)
{
    const TimePoint confirmedAt = now;
    for (Duration passed = Duration::zero(); passed < IsolationRule::UnloadAfter + IsolationRule::RevalidationTime;
         passed += std::chrono::seconds(1)) {
        rule.step(now);
        rule.recordContact(confirmedAt, now);
        now += std::chrono::seconds(1);
    }
    CHECK(rule.step(now) == AuthorityTrust::None);
}

TEST(IsolationRule, pausedProcess_loadsNothingUntilNewContact)
{
    stepFor(1s);
    rule.recordContact(now, now);
    now += 60s;
    rule.recordContact(now, now);
    CHECK(AuthorityTrust::NoLoads == rule.step(now));
    rule.recordContact(now, now);
    now += IsolationRule::RevalidationTime;
    CHECK(AuthorityTrust::None == rule.step(now));
    rule.recordContact(now, now);
    CHECK(AuthorityTrust::Full == rule.step(now));
}
