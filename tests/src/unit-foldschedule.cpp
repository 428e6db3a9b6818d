#include <celeryroute/detail/config/joinvalidation.h>
#include <celeryroute/detail/state/routelookup.h>

#include "staterecords.h"

#include <cstdio>
#include <google/protobuf/stubs/logging.h>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace celeryroute::test;

namespace {
constexpr std::uint64_t FirstSeed = 1;
constexpr int Schedules = 300;
constexpr int Steps = 150;
constexpr int MaxLag = 12;

// Generates records like processes that lag behind the log: each is based on a recent, older state.
class RandomAuthor
{
public:
    explicit RandomAuthor(std::uint64_t seed)
        : m_random(seed)
    {}

    int number(int bound)
    {
        return std::uniform_int_distribution<int>(0, bound - 1)(m_random);
    }

    std::string record(const FleetState &view, const std::vector<std::string> &log)
    {
        const int kind = number(16);
        if (kind == 0 && !log.empty()) {
            return log[log.size() - 1
                       - static_cast<std::size_t>(number(std::min<int>(20, static_cast<int>(log.size()))))];
        }
        if (kind == 1) {
            return corrupted(log);
        }
        return build(kind, view).SerializeAsString();
    }

private:
    std::string name(const char *prefix, int bound)
    {
        return prefix + std::to_string(number(bound));
    }

    std::string corrupted(const std::vector<std::string> &log)
    {
        std::string bytes = log.empty() ? "none" : log[static_cast<std::size_t>(number(static_cast<int>(log.size())))];
        if (!bytes.empty()) {
            bytes[static_cast<std::size_t>(number(static_cast<int>(bytes.size())))] = static_cast<char>(number(256));
        }
        return bytes;
    }

    proto::LogRecord build(int kind, const FleetState &view)
    {
        const std::string id = "id" + std::to_string(++m_ids);
        switch (kind) {
        case 2:
        case 3:
            return declarationRecord(id, {declaration(view)});
        case 4:
            return declarationRecord(id, {declaration(view), declaration(view)});
        case 5:
            return keyGrantRecord(id, std::string(32, static_cast<char>('a' + number(5))), name("c", 3));
        case 6:
            return keyWithdrawalRecord(id, std::string(32, static_cast<char>('a' + number(5))));
        case 7:
            return drainRecord(id, name("h", 4), number(2) == 0);
        case 8:
            return shares(id, view);
        case 9:
            return authorityRecord(id, {authority(view), authority(view)});
        case 10:
            return snapshotRecord(id, view);
        case 11:
        case 12:
            return claims(id);
        default:
            return authorityRecord(id, {authority(view)});
        }
    }

    proto::ItemChange declaration(const FleetState &view)
    {
        switch (number(6)) {
        case 0:
        case 1:
            return putItem(enginePool("p", 1 + number(3), 1 + static_cast<std::uint32_t>(number(3))),
                           view.pool("p") != nullptr ? view.pool("p")->revision : 0);
        case 2: {
            const std::string customer = name("c", 3);
            return putItem(customerSpec(customer),
                           view.customer(customer) != nullptr ? view.customer(customer)->revision : 0);
        }
        case 3: {
            const std::string route = name("r", 2);
            return putItem(openRoute(route, "p"), view.route(route) != nullptr ? view.route(route)->revision : 0);
        }
        default:
            return removal(view);
        }
    }

    proto::ItemChange removal(const FleetState &view)
    {
        proto::ItemChange change;
        const std::string customer = name("c", 3);
        if (number(4) == 0) {
            change.set_remove_pool("p");
            change.set_base_revision(view.pool("p") != nullptr ? view.pool("p")->revision : 0);
        } else {
            change.set_remove_customer(customer);
            change.set_base_revision(view.customer(customer) != nullptr ? view.customer(customer)->revision : 0);
        }
        return change;
    }

    proto::AuthorityItem authority(const FleetState &view)
    {
        const std::string model = name("m", 3);
        const Authority *known = view.authority("p", model);
        const auto action = static_cast<proto::AuthorityAction>(number(5));
        proto::AuthorityItem item = authorityItem(action, model, name("h", 4), known != nullptr ? known->revision : 0);
        item.set_incarnation(item.host() + name("#", 2));
        return item;
    }

    proto::LogRecord shares(const std::string &id, const FleetState &view)
    {
        proto::LogRecord record = emptyRecord(id);
        record.mutable_share_division()->set_base_epoch(view.shares().epoch);
        for (int i = 0; i < 3; ++i) {
            proto::EntryShare &share = *record.mutable_share_division()->add_shares();
            share.set_incarnation("e" + std::to_string(i));
            share.set_fraction(number(5) / 10.0);
        }
        return record;
    }

    proto::LogRecord claims(const std::string &id)
    {
        proto::LogRecord record = emptyRecord(id);
        for (int i = 0; i < 2; ++i) {
            proto::ClaimItem &item = *record.mutable_claim_batch()->add_items();
            item.set_action(static_cast<proto::ClaimAction>(number(5)));
            item.set_customer(name("c", 2));
            item.set_key_digest(std::string(32, static_cast<char>('a' + number(4))));
            item.set_request_digest(std::string(32, static_cast<char>('a' + number(2))));
            item.set_claim_id(name("claim", 6));
            item.set_entry(name("e", 2));
            item.set_wall_time_ms(1'000'000 + 60'000 * m_ids);
        }
        return record;
    }

    proto::LogRecord snapshotRecord(const std::string &id, const FleetState &view)
    {
        proto::LogRecord record = emptyRecord(id);
        *record.mutable_snapshot() = toWholeSnapshot(view);
        return record;
    }

    std::mt19937_64 m_random;
    int m_ids = 0;
};

bool sameTables(const StateTables &left, const StateTables &right)
{
    return left.routes == right.routes && left.pools == right.pools && left.customers == right.customers
        && left.keys == right.keys && left.drains == right.drains && left.authorities == right.authorities
        && left.shares == right.shares && left.claims == right.claims && left.quarantines == right.quarantines;
}
} // namespace

TEST_GROUP(FoldSchedule)
{
    std::vector<FleetState> history{FleetState()};
    std::vector<std::string> log;

    void setup() override
    {
        // Corrupted records make protobuf print errors to the terminal.
        google::protobuf::SetLogHandler(nullptr);
    }

    void restart()
    {
        history.assign(1, FleetState());
        log.clear();
    }

    void step(RandomAuthor & author)
    {
        const int lag = author.number(std::min<int>(MaxLag, static_cast<int>(history.size())));
        const FleetState &view = history[history.size() - 1 - static_cast<std::size_t>(lag)];
        log.push_back(author.record(view, log));
        const FleetState before = history.back();
        const FoldResult outcome = foldBytes(before, log.back(), log.size() - 1);
        checkStatus(before, outcome);
        checkHolders(before, outcome.state);
        checkKeys(before, outcome.state);
        checkRevisions(before, outcome.state);
        checkJoins(outcome.state);
        checkShares(before, outcome.state);
        history.push_back(outcome.state);
    }

    void checkStatus(const FleetState &before, const FoldResult &outcome)
    {
        const bool stopped = outcome.status == FoldStatus::Incompatible;
        LONGS_EQUAL(before.nextOffset() + (stopped ? 0 : 1), outcome.state.nextOffset());
        if (outcome.status != FoldStatus::Accepted && outcome.status != FoldStatus::PartlyAccepted) {
            CHECK(sameTables(before.tables(), outcome.state.tables()));
        }
    }

    // The number of holders never exceeds the replicas declared at the time of the last grant.
    void checkHolders(const FleetState &before, const FleetState &after)
    {
        after.authorities().forEach([&](const std::string &, const Authority &authority) {
            const Authority *old = before.authority(authority.pool, authority.model);
            const std::size_t oldCount = old != nullptr ? old->holders.size() : 0;
            if (authority.holders.size() > oldCount) {
                CHECK(authority.holders.size() <= declaredReplicas(after, authority.pool, authority.model));
            }
            std::map<std::string, int> perHost;
            for (const AuthorityHolder &holder : authority.holders) {
                LONGS_EQUAL(1, ++perHost[holder.host]);
                const AuthorityHolder *known = old != nullptr ? holderOn(*old, holder.host) : nullptr;
                // A revoked holder stays revoked; a new holder gets a higher fencing token than all before.
                const bool kept = known != nullptr && known->fencing == holder.fencing;
                CHECK(kept ? holder.revoked || !known->revoked : holder.fencing == after.nextOffset());
            }
        });
    }

    void checkKeys(const FleetState &before, const FleetState &after)
    {
        before.tables().keys.forEach([&](const std::string &digest, const Versioned<KeyEntry> &key) {
            CHECK(after.key(digest) != nullptr);
            CHECK(after.key(digest)->value.withdrawn || !key.value.withdrawn);
        });
    }

    void checkRevisions(const FleetState &before, const FleetState &after)
    {
        for (const auto &[name, customer] : after.customers()) {
            const Versioned<CustomerSpec> *old = before.customer(name);
            CHECK(customer.revision <= after.nextOffset());
            CHECK(old == nullptr || old->revision <= customer.revision);
        }
        after.authorities().forEach([&](const std::string &, const Authority &authority) {
            const Authority *old = before.authority(authority.pool, authority.model);
            CHECK(old == nullptr || old->revision <= authority.revision);
        });
    }

    void checkJoins(const FleetState &after)
    {
        JoinLookup lookup;
        lookup.pool = [&after](const std::string &name) {
            return after.pool(name) == nullptr ? nullptr : &after.pool(name)->value;
        };
        lookup.hasCustomer = [&after](const std::string &name) { return after.customer(name) != nullptr; };
        for (const auto &[name, route] : after.routes()) {
            CHECK(validateJoins(route.value, lookup).empty());
        }
    }

    void checkShares(const FleetState &before, const FleetState &after)
    {
        double sum = 0;
        for (const auto &[incarnation, fraction] : after.shares().fractions) {
            sum += fraction;
        }
        CHECK(sum <= 1 + 1e-9);
        CHECK(before.shares().epoch <= after.shares().epoch);
    }

    // Restores a snapshot of the state at @p position and folds the remaining records.
    void checkSnapshotAndRest(std::size_t position)
    {
        const std::vector<proto::StateSnapshot> parts = toSnapshot(history[position], "snapshot");
        FleetState state = handleErrors([&] { return fromSnapshot(parts); },
                                        [](const Error &) { return FleetState(); });
        CHECK(canonical(history[position]) == canonical(state));
        for (std::uint64_t offset = state.nextOffset(); offset < log.size(); ++offset) {
            state = foldBytes(std::move(state), log[offset], offset).state;
        }
        CHECK(canonical(history.back()) == canonical(state));
    }

    // Folds every record again, as after lost append responses: only the offset may change.
    void checkRepeats()
    {
        FleetState state = history.back();
        for (const std::string &bytes : log) {
            const std::uint64_t offset = state.nextOffset();
            state = foldBytes(std::move(state), bytes, offset).state;
        }
        CHECK(sameTables(history.back().tables(), state.tables()));
    }
};

TEST(FoldSchedule, randomAuthorsWithStaleViews_preserveInvariantsAtEveryStep)
{
    std::size_t accepted = 0;
    for (int i = 0; i < Schedules; ++i) {
        restart();
        RandomAuthor author(FirstSeed + static_cast<std::uint64_t>(i));
        for (int j = 0; j < Steps; ++j) {
            step(author);
        }
        for (int j = 0; j < 3; ++j) {
            checkSnapshotAndRest(static_cast<std::size_t>(author.number(Steps + 1)));
        }
        checkRepeats();
        accepted += history.back().authorities().size();
    }
    std::printf("\nfold schedules: %d of %d steps, seeds %d to %d\n",
                Schedules,
                Steps,
                static_cast<int>(FirstSeed),
                static_cast<int>(FirstSeed) + Schedules - 1);
    CHECK(accepted > 0);
}
