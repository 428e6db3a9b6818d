#include <celeryroute/detail/state/joins.h>
#include <celeryroute/detail/state/newrecord.h>

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

    FoldVerdict append(const proto::LogRecord &record)
    {
        const std::uint64_t offset = state.nextOffset();
        FoldOutcome outcome = foldBytes(std::move(state), record.SerializeAsString(), offset);
        state = std::move(outcome.state);
        refusals = std::move(outcome.refusals);
        return outcome.verdict;
    }

    void check(FoldVerdict expected, const proto::LogRecord &record)
    {
        STRCMP_EQUAL(toString(expected).c_str(), toString(append(record)).c_str());
    }

    // A pool `p` with models m0 and m1 of two replicas each, and a customer.
    void declareBasics()
    {
        check(FoldVerdict::Accepted,
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

TEST(Fold, twoChangesFromOneRevision_theFirstWinsAndTheSecondLearnsTheCurrentRevision)
{
    declareBasics();
    const Revision base = state.customer("yard")->revision;
    CustomerSpec first = customerSpec("yard");
    first.weight = 2;
    CustomerSpec second = customerSpec("yard");
    second.weight = 3;
    check(FoldVerdict::Accepted, declarationRecord("first", {putItem(first, base)}));
    check(FoldVerdict::Refused, declarationRecord("second", {putItem(second, base)}));
    CHECK(state.customer("yard")->value == first);
    LONGS_EQUAL(1, refusals.size());
    LONGS_EQUAL(208, static_cast<int>(refusals[0].error.code));
    LONGS_EQUAL(state.customer("yard")->revision, refusals[0].current);
    STRCMP_EQUAL("customer yard", refusals[0].subject.c_str());
}

TEST(Fold, oneBadChangeOfSeveral_refusesAll)
{
    declareBasics();
    check(FoldVerdict::Refused,
          declarationRecord("mixed", {putItem(customerSpec("hotel"), 0), putItem(customerSpec("yard"), 0)}));
    POINTERS_EQUAL(nullptr, state.customer("hotel"));
}

TEST(Fold, removalThatLeavesARouteWithoutItsPool_isRefused)
{
    declareBasics();
    proto::ItemChange removal;
    removal.set_base_revision(state.pool("p")->revision);
    removal.set_remove_pool("p");
    check(FoldVerdict::Refused, declarationRecord("remove", {removal}));
    CHECK(state.pool("p") != nullptr);
    proto::ItemChange removeRoute;
    removeRoute.set_base_revision(state.route("r")->revision);
    removeRoute.set_remove_route("r");
    check(FoldVerdict::Accepted, declarationRecord("both", {removal, removeRoute}));
    POINTERS_EQUAL(nullptr, state.pool("p"));
}

TEST(Fold, routeToNothing_isRefused)
{
    check(FoldVerdict::Refused, declarationRecord("route", {putItem(openRoute("r", "nowhere"), 0)}));
    LONGS_EQUAL(206, static_cast<int>(refusals[0].error.code));
}

TEST(Fold, secondAppendOfARecord_hasNoEffect)
{
    declareBasics();
    const proto::LogRecord drain = drainRecord("drain", "h1", true);
    check(FoldVerdict::Accepted, drain);
    check(FoldVerdict::Accepted, drainRecord("undrain", "h1", false));
    check(FoldVerdict::Repeated, drain);
    CHECK_FALSE(state.hostDrained("h1"));
}

TEST(Fold, refusedRecordThatIsRepeatedLater_staysWithoutEffect)
{
    declareBasics();
    const proto::LogRecord add = declarationRecord("add", {putItem(customerSpec("yard"), 0)});
    check(FoldVerdict::Refused, add);
    proto::ItemChange removal;
    removal.set_base_revision(state.customer("yard")->revision);
    removal.set_remove_customer("yard");
    check(FoldVerdict::Accepted, declarationRecord("remove", {removal}));
    check(FoldVerdict::Repeated, add);
    POINTERS_EQUAL(nullptr, state.customer("yard"));
}

TEST(Fold, recordIdBeyondTheWindow_isForgotten)
{
    check(FoldVerdict::Accepted, drainRecord("drain", "h1", true));
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
    check(FoldVerdict::Accepted, keyGrantRecord("grant", KeyDigest, "yard"));
    check(FoldVerdict::Accepted, keyWithdrawalRecord("withdraw", KeyDigest));
    check(FoldVerdict::Refused, keyGrantRecord("again", KeyDigest, "yard"));
    CHECK(state.key(KeyDigest)->value.withdrawn);
}

TEST(Fold, withdrawalThatOvertakesItsGrant_wins)
{
    declareBasics();
    check(FoldVerdict::Accepted, keyWithdrawalRecord("withdraw", KeyDigest));
    check(FoldVerdict::Refused, keyGrantRecord("grant", KeyDigest, "yard"));
    CHECK(state.key(KeyDigest)->value.withdrawn);
}

TEST(Fold, customerWithKeys_isNotRemoved)
{
    declareBasics();
    check(FoldVerdict::Accepted, keyGrantRecord("grant", KeyDigest, "yard"));
    proto::ItemChange removal;
    removal.set_base_revision(state.customer("yard")->revision);
    removal.set_remove_customer("yard");
    check(FoldVerdict::Refused, declarationRecord("too early", {removal}));
    check(FoldVerdict::Accepted, keyWithdrawalRecord("withdraw", KeyDigest));
    check(FoldVerdict::Accepted, declarationRecord("now", {removal}));
}

TEST(Fold, newerFormat_stopsTheFoldBeforeTheRecord)
{
    declareBasics();
    proto::LogRecord newer = drainRecord("newer", "h1", true);
    newer.set_format(2);
    check(FoldVerdict::Incompatible, newer);
    CHECK(state.incompatible());
    LONGS_EQUAL(1, state.nextOffset());
    check(FoldVerdict::Incompatible, drainRecord("known", "h1", true));
    CHECK_FALSE(state.hostDrained("h1"));
    CHECK(state.customer("yard") != nullptr);
}

TEST(Fold, bytesThatAreNoRecord_onlyMoveThePosition)
{
    STRCMP_EQUAL("malformed", toString(foldBytes(FleetState(), "\xff\xff garbage", 0).verdict).c_str());
    LONGS_EQUAL(1, foldBytes(FleetState(), "", 0).state.nextOffset());
    check(FoldVerdict::Malformed, emptyRecord("no body"));
    check(FoldVerdict::Malformed, drainRecord("", "h1", true));
    check(FoldVerdict::Malformed, drainRecord(std::string(MaxRecordIdLength + 1, 'x'), "h1", true));
    LONGS_EQUAL(3, state.nextOffset());
}

TEST(Fold, offsetThatIsNotNext_changesNothing)
{
    const proto::LogRecord drain = drainRecord("drain", "h1", true);
    FoldOutcome gap = fold(FleetState(), drain, 5);
    STRCMP_EQUAL("out of order", toString(gap.verdict).c_str());
    LONGS_EQUAL(0, gap.state.nextOffset());
}

TEST(Fold, grants_stopAtTheReplicasDecided)
{
    declareBasics();
    check(FoldVerdict::Accepted, authorityRecord("a", {authorityItem(proto::GRANT, "m0", "h1", 0)}));
    check(FoldVerdict::Refused, authorityRecord("stale", {authorityItem(proto::GRANT, "m0", "h2", 0)}));
    check(FoldVerdict::Accepted,
          authorityRecord("b", {authorityItem(proto::GRANT, "m0", "h2", authorityRevision("m0"))}));
    check(FoldVerdict::Refused,
          authorityRecord("c", {authorityItem(proto::GRANT, "m0", "h3", authorityRevision("m0"))}));
    LONGS_EQUAL(510, static_cast<int>(refusals[0].error.code));
    LONGS_EQUAL(2, holders("m0"));
}

TEST(Fold, revokedHolder_countsUntilItHasReleased)
{
    declareBasics();
    check(FoldVerdict::Accepted,
          authorityRecord("two",
                          {authorityItem(proto::GRANT, "m0", "h1", 0), authorityItem(proto::GRANT, "m0", "h2", 0)}));
    check(FoldVerdict::Accepted,
          authorityRecord("revoke", {authorityItem(proto::REVOKE, "m0", "h1", authorityRevision("m0"))}));
    check(FoldVerdict::Refused,
          authorityRecord("early", {authorityItem(proto::GRANT, "m0", "h3", authorityRevision("m0"))}));
    check(FoldVerdict::Accepted,
          authorityRecord("release", {authorityItem(proto::RELEASE, "m0", "h1", authorityRevision("m0"))}));
    check(FoldVerdict::Accepted,
          authorityRecord("late", {authorityItem(proto::GRANT, "m0", "h3", authorityRevision("m0"))}));
    LONGS_EQUAL(2, holders("m0"));
}

TEST(Fold, releaseOfAnEarlierGrant_doesNotEndALaterOne)
{
    declareBasics();
    check(FoldVerdict::Accepted, authorityRecord("a", {authorityItem(proto::GRANT, "m0", "h1", 0)}));
    const Revision seen = authorityRevision("m0");
    check(FoldVerdict::Accepted, authorityRecord("release", {authorityItem(proto::RELEASE, "m0", "h1", seen)}));
    check(FoldVerdict::Accepted,
          authorityRecord("b", {authorityItem(proto::GRANT, "m0", "h1", authorityRevision("m0"))}));
    check(FoldVerdict::Refused, authorityRecord("late", {authorityItem(proto::RELEASE, "m0", "h1", seen)}));
    LONGS_EQUAL(1, holders("m0"));
}

TEST(Fold, releaseInTheNameOfAnotherIncarnation_isRefused)
{
    declareBasics();
    check(FoldVerdict::Accepted, authorityRecord("a", {authorityItem(proto::GRANT, "m0", "h1", 0)}));
    proto::AuthorityItem other = authorityItem(proto::RELEASE, "m0", "h1", authorityRevision("m0"));
    other.set_incarnation("h1#2");
    check(FoldVerdict::Refused, authorityRecord("other", {other}));
    LONGS_EQUAL(1, holders("m0"));
}

TEST(Fold, itemsOfOneAuthorityChange_areJudgedOneByOne)
{
    declareBasics();
    check(FoldVerdict::PartlyAccepted,
          authorityRecord("mixed",
                          {authorityItem(proto::GRANT, "m0", "h1", 0),
                           authorityItem(proto::GRANT, "unknown", "h1", 0),
                           authorityItem(proto::GRANT, "m1", "h1", 0)}));
    LONGS_EQUAL(1, refusals.size());
    LONGS_EQUAL(1, refusals[0].item);
    LONGS_EQUAL(1, holders("m0"));
    LONGS_EQUAL(1, holders("m1"));
}

TEST(Fold, shareDivision_needsTheEpochInForceAndAtMostTheWhole)
{
    proto::LogRecord division = emptyRecord("whole");
    proto::EntryShare &share = *division.mutable_share_division()->add_shares();
    share.set_incarnation("e1");
    share.set_fraction(0.75);
    check(FoldVerdict::Accepted, division);
    const Revision epoch = state.shares().epoch;
    division.set_id("stale");
    check(FoldVerdict::Refused, division);
    division.set_id("too much");
    division.mutable_share_division()->set_base_epoch(epoch);
    proto::EntryShare &second = *division.mutable_share_division()->add_shares();
    second.set_incarnation("e2");
    second.set_fraction(0.5);
    check(FoldVerdict::Refused, division);
    LONGS_EQUAL(epoch, state.shares().epoch);
    second.set_fraction(0.25);
    division.set_id("fits");
    check(FoldVerdict::Accepted, division);
    DOUBLES_EQUAL(0.25, state.shares().fractions.at("e2"), 0);
}

TEST(Fold, quarantine_isLiftedByARecord)
{
    proto::LogRecord record = emptyRecord("quarantine");
    record.mutable_quarantine()->set_request_digest("digest");
    check(FoldVerdict::Accepted, record);
    CHECK(state.quarantined("digest"));
    record.set_id("lift");
    record.mutable_quarantine()->set_lifted(true);
    check(FoldVerdict::Accepted, record);
    CHECK_FALSE(state.quarantined("digest"));
}

TEST(Fold, newRecords_haveIdsOfTheirOwn)
{
    const proto::LogRecord first = newRecord("operator", WallTime(std::chrono::seconds(7)));
    const proto::LogRecord second = newRecord("operator", WallTime(std::chrono::seconds(7)));
    CHECK(first.id() != second.id());
    LONGS_EQUAL(7000, first.wall_time_ms());
}
