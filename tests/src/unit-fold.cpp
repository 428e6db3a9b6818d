#include <celeryroute/detail/state/newrecord.h>
#include <celeryroute/detail/state/routelookup.h>

#include "staterecords.h"

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace celeryroute::test;

namespace {
const std::string KeyDigest(32, 'k');
} // namespace

TEST_GROUP(Fold)
{
    FleetState state;
    Refusals refusals;

    FoldStatus append(const proto::LogRecord &record)
    {
        const std::uint64_t offset = state.nextOffset();
        FoldResult outcome = foldBytes(std::move(state), record.SerializeAsString(), offset);
        state = std::move(outcome.state);
        refusals = std::move(outcome.refusals);
        return outcome.status;
    }

    void check(FoldStatus expected, const proto::LogRecord &record)
    {
        STRCMP_EQUAL(toString(expected).c_str(), toString(append(record)).c_str());
    }

    // Declares a pool `p` with models m0 and m1 of two replicas each, a customer and a route.
    void declareBasics()
    {
        check(FoldStatus::Accepted,
              declarationRecord("basics",
                                {putItem(enginePool("p", 2, 2), 0),
                                 putItem(customerSpec("yard"), 0),
                                 putItem(openRoute("r", "p"), 0)}));
    }

    std::size_t holders(const std::string &model)
    {
        const Authority *authority = state.authority("p", model);
        return authority == nullptr ? 0 : authority->holders.size();
    }

    Revision authorityRevision(const std::string &model)
    {
        return state.authority("p", model)->revision;
    }
};

TEST(Fold, twoChangesOfOneRevision_firstWinsAndSecondGetsCurrentRevision)
{
    declareBasics();
    const Revision base = state.customer("yard")->revision;
    CustomerSpec first = customerSpec("yard");
    first.weight = 2;
    CustomerSpec second = customerSpec("yard");
    second.weight = 3;
    check(FoldStatus::Accepted, declarationRecord("first", {putItem(first, base)}));
    check(FoldStatus::Refused, declarationRecord("second", {putItem(second, base)}));
    CHECK(state.customer("yard")->value == first);
    LONGS_EQUAL(1, refusals.size());
    LONGS_EQUAL(208, static_cast<int>(refusals[0].error.code));
    LONGS_EQUAL(state.customer("yard")->revision, refusals[0].current);
    STRCMP_EQUAL("customer yard", refusals[0].subject.c_str());
}

TEST(Fold, oneInvalidChange_refusesAllChangesOfRecord)
{
    declareBasics();
    check(FoldStatus::Refused,
          declarationRecord("mixed", {putItem(customerSpec("hotel"), 0), putItem(customerSpec("yard"), 0)}));
    POINTERS_EQUAL(nullptr, state.customer("hotel"));
}

TEST(Fold, removalOfPoolInUse_isRefused)
{
    declareBasics();
    proto::ItemChange removal;
    removal.set_base_revision(state.pool("p")->revision);
    removal.set_remove_pool("p");
    check(FoldStatus::Refused, declarationRecord("remove", {removal}));
    CHECK(state.pool("p") != nullptr);
    proto::ItemChange removeRoute;
    removeRoute.set_base_revision(state.route("r")->revision);
    removeRoute.set_remove_route("r");
    check(FoldStatus::Accepted, declarationRecord("both", {removal, removeRoute}));
    POINTERS_EQUAL(nullptr, state.pool("p"));
}

TEST(Fold, routeToUnknownPool_isRefused)
{
    check(FoldStatus::Refused, declarationRecord("route", {putItem(openRoute("r", "nowhere"), 0)}));
    LONGS_EQUAL(206, static_cast<int>(refusals[0].error.code));
}

TEST(Fold, secondAppendOfARecord_hasNoEffect)
{
    declareBasics();
    const proto::LogRecord drain = drainRecord("drain", "h1", true);
    check(FoldStatus::Accepted, drain);
    check(FoldStatus::Accepted, drainRecord("undrain", "h1", false));
    check(FoldStatus::Repeated, drain);
    CHECK_FALSE(state.isHostDraining("h1"));
}

TEST(Fold, refusedRecord_appendedAgain_hasNoEffect)
{
    declareBasics();
    const proto::LogRecord add = declarationRecord("add", {putItem(customerSpec("yard"), 0)});
    check(FoldStatus::Refused, add);
    proto::ItemChange removal;
    removal.set_base_revision(state.customer("yard")->revision);
    removal.set_remove_customer("yard");
    check(FoldStatus::Accepted, declarationRecord("remove", {removal}));
    check(FoldStatus::Repeated, add);
    POINTERS_EQUAL(nullptr, state.customer("yard"));
}

TEST(Fold, recordIdBeyondTheWindow_isForgotten)
{
    check(FoldStatus::Accepted, drainRecord("drain", "h1", true));
    for (std::uint64_t i = 1; i < RecentIdWindow; ++i) {
        append(drainRecord("filler" + std::to_string(i), "h2", true));
    }
    CHECK(hasRecentRecord(state, "drain"));
    append(drainRecord("last filler", "h2", true));
    CHECK_FALSE(hasRecentRecord(state, "drain"));
    CHECK(hasRecentRecord(state, "filler1"));
}

TEST(Fold, withdrawnKey_isNotGrantedAgain)
{
    declareBasics();
    check(FoldStatus::Accepted, keyGrantRecord("grant", KeyDigest, "yard"));
    check(FoldStatus::Accepted, keyWithdrawalRecord("withdraw", KeyDigest));
    check(FoldStatus::Refused, keyGrantRecord("again", KeyDigest, "yard"));
    CHECK(state.key(KeyDigest)->value.withdrawn);
}

TEST(Fold, withdrawalBeforeGrant_refusesGrant)
{
    declareBasics();
    check(FoldStatus::Accepted, keyWithdrawalRecord("withdraw", KeyDigest));
    check(FoldStatus::Refused, keyGrantRecord("grant", KeyDigest, "yard"));
    CHECK(state.key(KeyDigest)->value.withdrawn);
}

TEST(Fold, customerWithKeys_isNotRemoved)
{
    declareBasics();
    check(FoldStatus::Accepted, keyGrantRecord("grant", KeyDigest, "yard"));
    proto::ItemChange removal;
    removal.set_base_revision(state.customer("yard")->revision);
    removal.set_remove_customer("yard");
    check(FoldStatus::Refused, declarationRecord("too early", {removal}));
    check(FoldStatus::Accepted, keyWithdrawalRecord("withdraw", KeyDigest));
    check(FoldStatus::Accepted, declarationRecord("now", {removal}));
}

TEST(Fold, newerFormat_stopsFoldBeforeRecord)
{
    declareBasics();
    proto::LogRecord newer = drainRecord("newer", "h1", true);
    newer.set_format(2);
    check(FoldStatus::Incompatible, newer);
    CHECK(state.isIncompatible());
    LONGS_EQUAL(1, state.nextOffset());
    check(FoldStatus::Incompatible, drainRecord("known", "h1", true));
    CHECK_FALSE(state.isHostDraining("h1"));
    CHECK(state.customer("yard") != nullptr);
}

TEST(Fold, malformedRecord_onlyAdvancesOffset)
{
    STRCMP_EQUAL("malformed", toString(foldBytes(FleetState(), "\xff\xff garbage", 0).status).c_str());
    LONGS_EQUAL(1, foldBytes(FleetState(), "", 0).state.nextOffset());
    check(FoldStatus::Malformed, emptyRecord("no body"));
    check(FoldStatus::Malformed, drainRecord("", "h1", true));
    check(FoldStatus::Malformed, drainRecord(std::string(MaxRecordIdLength + 1, 'x'), "h1", true));
    LONGS_EQUAL(3, state.nextOffset());
}

TEST(Fold, offsetOutOfOrder_hasNoEffect)
{
    const proto::LogRecord drain = drainRecord("drain", "h1", true);
    FoldResult gap = fold(FleetState(), drain, 5);
    STRCMP_EQUAL("out of order", toString(gap.status).c_str());
    LONGS_EQUAL(0, gap.state.nextOffset());
}

TEST(Fold, grants_areLimitedToDeclaredReplicas)
{
    declareBasics();
    check(FoldStatus::Accepted, authorityRecord("a", {authorityItem(proto::GRANT, "m0", "h1", 0)}));
    check(FoldStatus::Refused, authorityRecord("stale", {authorityItem(proto::GRANT, "m0", "h2", 0)}));
    check(FoldStatus::Accepted,
          authorityRecord("b", {authorityItem(proto::GRANT, "m0", "h2", authorityRevision("m0"))}));
    check(FoldStatus::Refused,
          authorityRecord("c", {authorityItem(proto::GRANT, "m0", "h3", authorityRevision("m0"))}));
    LONGS_EQUAL(510, static_cast<int>(refusals[0].error.code));
    LONGS_EQUAL(2, holders("m0"));
}

TEST(Fold, revokedHolder_countsUntilRelease)
{
    declareBasics();
    check(FoldStatus::Accepted,
          authorityRecord("two",
                          {authorityItem(proto::GRANT, "m0", "h1", 0), authorityItem(proto::GRANT, "m0", "h2", 0)}));
    check(FoldStatus::Accepted,
          authorityRecord("revoke", {authorityItem(proto::REVOKE, "m0", "h1", authorityRevision("m0"))}));
    check(FoldStatus::Refused,
          authorityRecord("early", {authorityItem(proto::GRANT, "m0", "h3", authorityRevision("m0"))}));
    check(FoldStatus::Accepted,
          authorityRecord("release", {authorityItem(proto::RELEASE, "m0", "h1", authorityRevision("m0"))}));
    check(FoldStatus::Accepted,
          authorityRecord("late", {authorityItem(proto::GRANT, "m0", "h3", authorityRevision("m0"))}));
    LONGS_EQUAL(2, holders("m0"));
}

TEST(Fold, releaseOfEarlierGrant_doesNotEndLaterGrant)
{
    declareBasics();
    check(FoldStatus::Accepted, authorityRecord("a", {authorityItem(proto::GRANT, "m0", "h1", 0)}));
    const Revision seen = authorityRevision("m0");
    check(FoldStatus::Accepted, authorityRecord("release", {authorityItem(proto::RELEASE, "m0", "h1", seen)}));
    check(FoldStatus::Accepted,
          authorityRecord("b", {authorityItem(proto::GRANT, "m0", "h1", authorityRevision("m0"))}));
    check(FoldStatus::Refused, authorityRecord("late", {authorityItem(proto::RELEASE, "m0", "h1", seen)}));
    LONGS_EQUAL(1, holders("m0"));
}

TEST(Fold, releaseByOtherIncarnation_isRefused)
{
    declareBasics();
    check(FoldStatus::Accepted, authorityRecord("a", {authorityItem(proto::GRANT, "m0", "h1", 0)}));
    proto::AuthorityItem other = authorityItem(proto::RELEASE, "m0", "h1", authorityRevision("m0"));
    other.set_incarnation("h1#2");
    check(FoldStatus::Refused, authorityRecord("other", {other}));
    LONGS_EQUAL(1, holders("m0"));
}

TEST(Fold, itemsOfAuthorityChange_areCheckedIndependently)
{
    declareBasics();
    check(FoldStatus::PartlyAccepted,
          authorityRecord("mixed",
                          {authorityItem(proto::GRANT, "m0", "h1", 0),
                           authorityItem(proto::GRANT, "unknown", "h1", 0),
                           authorityItem(proto::GRANT, "m1", "h1", 0)}));
    LONGS_EQUAL(1, refusals.size());
    LONGS_EQUAL(1, refusals[0].item);
    LONGS_EQUAL(1, holders("m0"));
    LONGS_EQUAL(1, holders("m1"));
}

TEST(Fold, shareDivision_requiresCurrentEpochAndSumAtMostOne)
{
    proto::LogRecord division = emptyRecord("whole");
    proto::EntryShare &share = *division.mutable_share_division()->add_shares();
    share.set_incarnation("e1");
    share.set_fraction(0.75);
    check(FoldStatus::Accepted, division);
    const Revision epoch = state.shares().epoch;
    division.set_id("stale");
    check(FoldStatus::Refused, division);
    division.set_id("too much");
    division.mutable_share_division()->set_base_epoch(epoch);
    proto::EntryShare &second = *division.mutable_share_division()->add_shares();
    second.set_incarnation("e2");
    second.set_fraction(0.5);
    check(FoldStatus::Refused, division);
    LONGS_EQUAL(epoch, state.shares().epoch);
    second.set_fraction(0.25);
    division.set_id("fits");
    check(FoldStatus::Accepted, division);
    DOUBLES_EQUAL(0.25, state.shares().fractions.at("e2"), 0);
}

TEST(Fold, quarantine_isLiftedByARecord)
{
    proto::LogRecord record = emptyRecord("quarantine");
    record.mutable_quarantine()->set_request_digest("digest");
    check(FoldStatus::Accepted, record);
    CHECK(state.isQuarantined("digest"));
    record.set_id("lift");
    record.mutable_quarantine()->set_lifted(true);
    check(FoldStatus::Accepted, record);
    CHECK_FALSE(state.isQuarantined("digest"));
}

TEST(Fold, newRecords_haveUniqueIds)
{
    const proto::LogRecord first = newRecord("operator", WallTime(std::chrono::seconds(7)));
    const proto::LogRecord second = newRecord("operator", WallTime(std::chrono::seconds(7)));
    CHECK(first.id() != second.id());
    LONGS_EQUAL(7000, first.wall_time_ms());
}
