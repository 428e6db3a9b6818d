#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/claims/claimdecision.h>
#include <celeryroute/detail/claims/claimfold.h>
#include <celeryroute/detail/claims/claimsnapshot.h>

#include <absl/strings/str_cat.h>

#include <random>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;

namespace {

constexpr std::int64_t Start = 1'790'000'000'000;
constexpr std::int64_t Hour = 3'600'000;

IdempotencyKey key(const std::string &text)
{
    return handleErrors([&] { return parseIdempotencyKey(text); },
                        [](const Error &) {
                            return IdempotencyKey{"invalid", 0};
                        });
}

ResultCode keyFailure(const std::string &text)
{
    return handleErrors(
        [&]() -> Result<ResultCode> {
            BOOST_LEAF_CHECK(parseIdempotencyKey(text));
            return ResultCode::Ok;
        },
        [](const Error &error) { return error.code; });
}

std::string datedKey(std::int64_t timeMs, const std::string &rest = "booking")
{
    return absl::StrCat(timeMs, "-", rest);
}

Claim claimOf(const std::string &text, const std::string &id, std::int64_t wallMs = Start)
{
    Claim claim;
    claim.customer = "mti";
    claim.route = "couriers";
    claim.keyDigest = key(text).digest;
    claim.keyTimeMs = key(text).timeMs;
    claim.requestDigest = "body";
    claim.claimId = id;
    claim.entry = "entry-1";
    claim.wallTimeMs = wallMs;
    return claim;
}

ClaimTable fold(ClaimTable table, const Claim &claim, proto::ClaimAction action, std::uint64_t offset = 1)
{
    proto::ClaimBatch batch;
    *batch.add_items() = toItem(claim, action);
    return foldClaimBatch(std::move(table), batch, offset);
}

ClaimRequest requestOf(const std::string &text)
{
    return {"mti", "couriers", key(text), "body"};
}

std::string holder(const ClaimTable &table, const std::string &text)
{
    const ClaimTable::ClaimPtr claim = table.find("mti", key(text).digest);
    return claim ? claim->claimId : "";
}

ResultCode refusal(const ClaimDecision &decision)
{
    const auto *refused = std::get_if<ClaimRefused>(&decision);
    return refused != nullptr ? refused->error.code : ResultCode::Ok;
}

} // namespace

TEST_GROUP(IdempotencyKey){};

TEST(IdempotencyKey, version7Uuid_yieldsItsCreationTime)
{
    LONGS_EQUAL(0x019a2b3c4d5e, key("019a2b3c-4d5e-7abc-8def-0123456789ab").timeMs);
    LONGS_EQUAL(0, key("019a2b3c-4d5e-4abc-8def-0123456789ab").timeMs);
}

TEST(IdempotencyKey, millisecondPrefix_yieldsCreationTime)
{
    LONGS_EQUAL(Start, key(datedKey(Start)).timeMs);
    LONGS_EQUAL(0, key("1790000000000").timeMs);
    LONGS_EQUAL(0, key("booking-17").timeMs);
}

TEST(IdempotencyKey, emptyOrInvalidKey_isRefusedWithItsResultCode)
{
    CHECK(keyFailure("") == ResultCode::IdempotencyKeyMissing);
    CHECK(keyFailure(std::string(256, 'k')) == ResultCode::IdempotencyKeyInvalid);
    CHECK(keyFailure("tab\there") == ResultCode::IdempotencyKeyInvalid);
    CHECK(keyFailure(std::string(255, 'k')) == ResultCode::Ok);
}

TEST_GROUP(ClaimFold){};

TEST(ClaimFold, twoClaimsOfOneKey_firstInLogWins)
{
    ClaimTable table = fold({}, claimOf("k", "c1"), proto::CLAIM, 7);
    table = fold(table, claimOf("k", "c2"), proto::CLAIM, 8);
    STRCMP_EQUAL("c1", holder(table, "k").c_str());
    LONGS_EQUAL(7, table.find("mti", key("k").digest)->offset);
}

TEST(ClaimFold, tombstone_freesKeyForOtherClaimsOnly)
{
    ClaimTable table = fold({}, claimOf("k", "c1"), proto::CLAIM);
    table = fold(table, claimOf("k", "c1"), proto::TOMBSTONE);
    table = fold(table, claimOf("k", "c1"), proto::CLAIM);
    CHECK(table.find("mti", key("k").digest)->phase == ClaimPhase::Tombstoned);
    table = fold(table, claimOf("k", "c2"), proto::CLAIM);
    STRCMP_EQUAL("c2", holder(table, "k").c_str());
}

TEST(ClaimFold, settlementByOtherClaimId_hasNoEffect)
{
    const ClaimTable before = fold({}, claimOf("k", "c1"), proto::CLAIM);
    for (const proto::ClaimAction action : {proto::TOMBSTONE, proto::OUTCOME, proto::IN_DOUBT}) {
        CHECK(before == fold(before, claimOf("k", "c2"), action));
    }
}

TEST(ClaimFold, outcome_isFinal)
{
    Claim ran = claimOf("k", "c1");
    ran.answer = toRecordedAnswer(201, "application/json", "{\"parcel\":1}");
    ClaimTable table = fold({}, ran, proto::CLAIM);
    table = fold(table, ran, proto::IN_DOUBT);
    table = fold(table, ran, proto::OUTCOME);
    const ClaimTable done = table;
    for (const proto::ClaimAction action : {proto::TOMBSTONE, proto::IN_DOUBT, proto::CLAIM}) {
        table = fold(table, ran, action);
    }
    CHECK(done == table);
    CHECK(done.find("mti", key("k").digest)->answer == ran.answer);
}

TEST(ClaimFold, answerAboveSizeLimit_isStoredAsDigestAndStatus)
{
    Claim ran = claimOf("k", "c1");
    const std::string body(MaxRecordedAnswerBytes + 1, 'x');
    ran.answer = toRecordedAnswer(200, "text/plain", body);
    const ClaimTable table = fold(fold({}, ran, proto::CLAIM), ran, proto::OUTCOME);
    const RecordedAnswer &kept = table.find("mti", key("k").digest)->answer;
    CHECK(kept.truncated);
    LONGS_EQUAL(200, kept.status);
    CHECK(sha256(body) == kept.body);
    CHECK_FALSE(toRecordedAnswer(200, "text/plain", std::string(MaxRecordedAnswerBytes, 'x')).truncated);
}

TEST(ClaimFold, copyOfTable_isNotChangedByLaterRecords)
{
    const ClaimTable before = fold({}, claimOf("k", "c1"), proto::CLAIM);
    const ClaimTable after = fold(before, claimOf("k", "c1"), proto::TOMBSTONE);
    CHECK(before.find("mti", key("k").digest)->phase == ClaimPhase::Claimed);
    CHECK(after.find("mti", key("k").digest)->phase == ClaimPhase::Tombstoned);
}

// A claim that arrives in the log after its key has expired must not be treated as a new claim.
TEST(ClaimFold, keyOlderThanHorizon_neverWinsAgain)
{
    const std::string dated = datedKey(Start);
    for (const std::string &text : {dated, std::string("undated")}) {
        ClaimTable table = fold({}, claimOf(text, "c1", Start), proto::CLAIM);
        table = fold(table, claimOf(text, "c1"), proto::OUTCOME);
        table = fold(table, claimOf("later", "c3", Start + 25 * Hour), proto::CLAIM);
        const ClaimTable late = fold(table, claimOf(text, "c2", Start + 25 * Hour), proto::CLAIM);
        STRCMP_EQUAL("", holder(late, text).c_str());
        CHECK(refusal(decideClaim(late, requestOf(text), Start + 25 * Hour)) == ResultCode::IdempotencyKeyExpired);
        CHECK(refusal(decideClaim(table, requestOf(text), Start)) == ResultCode::IdempotencyKeyExpired);
    }
}

TEST(ClaimFold, expiredClaims_areRemoved)
{
    ClaimTable table;
    for (int index = 0; index < 500; ++index) {
        table = fold(std::move(table), claimOf(datedKey(Start, absl::StrCat(index)), "c"), proto::CLAIM);
    }
    LONGS_EQUAL(500, table.claimCount());
    table = fold(std::move(table), claimOf("later", "d", Start + 30 * Hour), proto::CLAIM);
    for (std::uint64_t offset = 0; offset < ClaimTable::ShardCount; ++offset) {
        table = foldClaimBatch(std::move(table), {}, offset);
    }
    LONGS_EQUAL(1, table.claimCount());
    LONGS_EQUAL(0, table.answerBytes());
}

TEST_GROUP(ClaimDecision){};

TEST(ClaimDecision, eachPhase_yieldsItsDecision)
{
    const std::string text = datedKey(Start);
    const ClaimTable claimed = fold({}, claimOf(text, "c1"), proto::CLAIM);
    CHECK(std::holds_alternative<NewClaim>(decideClaim({}, requestOf(text), Start)));
    CHECK(std::holds_alternative<CallInProgress>(decideClaim(claimed, requestOf(text), Start + 1)));
    CHECK(std::holds_alternative<CallInDoubt>(decideClaim(claimed, requestOf(text), Start + MaxCallTimeMs + 1)));
    const ClaimTable doubt = fold(claimed, claimOf(text, "c1"), proto::IN_DOUBT);
    CHECK(std::holds_alternative<CallInDoubt>(decideClaim(doubt, requestOf(text), Start + 1)));
    const ClaimTable dead = fold(claimed, claimOf(text, "c1"), proto::TOMBSTONE);
    CHECK(std::holds_alternative<NewClaim>(decideClaim(dead, requestOf(text), Start + 1)));
    const ClaimTable done = fold(claimed, claimOf(text, "c1"), proto::OUTCOME);
    CHECK(std::holds_alternative<CallCompleted>(decideClaim(done, requestOf(text), Start + 1)));
}

TEST(ClaimDecision, otherBodyOrRoute_isRefusedAndOtherCustomerIsIndependent)
{
    const ClaimTable table = fold({}, claimOf("k", "c1"), proto::CLAIM);
    ClaimRequest body = requestOf("k");
    body.requestDigest = "other";
    ClaimRequest route = requestOf("k");
    route.route = "payouts";
    ClaimRequest customer = requestOf("k");
    customer.customer = "tana";
    CHECK(refusal(decideClaim(table, body, Start)) == ResultCode::IdempotencyKeyReused);
    CHECK(refusal(decideClaim(table, route, Start)) == ResultCode::IdempotencyKeyReused);
    CHECK(std::holds_alternative<NewClaim>(decideClaim(table, customer, Start)));
}

TEST(ClaimDecision, keyDatedOutsideTheWindow_isRefused)
{
    const ClaimTable table;
    const auto decide = [&](std::int64_t keyTime) { return decideClaim(table, requestOf(datedKey(keyTime)), Start); };
    CHECK(refusal(decide(Start - ClaimWindowMs - 1)) == ResultCode::IdempotencyKeyExpired);
    CHECK(std::holds_alternative<NewClaim>(decide(Start - ClaimWindowMs)));
    CHECK(refusal(decide(Start + MaxClockSkewMs + 1)) == ResultCode::IdempotencyKeyInvalid);
}

TEST_GROUP(ClaimSnapshot){};

// Folds seeded random records. The snapshot must restore an equal table, and further records must have
// the same effect on both tables.
TEST(ClaimSnapshot, randomTable_isRestoredAndFoldsIdentically)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        std::int64_t wallMs = Start;
        const auto step = [&](ClaimTable table, std::uint64_t offset) {
            wallMs += std::uniform_int_distribution<std::int64_t>(0, Hour / 4)(random);
            const std::string text = random() % 2 == 0 ? absl::StrCat("k", random() % 60)
                                                       : datedKey(wallMs - wallMs % Hour, absl::StrCat(random() % 9));
            Claim claim = claimOf(text, absl::StrCat("c", random() % 3), wallMs);
            claim.answer = toRecordedAnswer(200, "text/plain", std::string(random() % 40, 'a'));
            return fold(std::move(table), claim, static_cast<proto::ClaimAction>(1 + random() % 4), offset);
        };
        ClaimTable table;
        for (std::uint64_t offset = 0; offset < 400; ++offset) {
            table = step(std::move(table), offset);
        }
        ClaimTable restored;
        for (const proto::ClaimState &item : toClaimStates(table)) {
            restored = restoreClaim(std::move(restored), item);
        }
        CHECK(table.retiredCount() > 0);
        CHECK(table == restored);
        LONGS_EQUAL(table.answerBytes(), restored.answerBytes());
        const std::mt19937 same = random;
        const std::int64_t sameWall = wallMs;
        for (std::uint64_t offset = 400; offset < 500; ++offset) {
            table = step(std::move(table), offset);
        }
        random = same;
        wallMs = sameWall;
        for (std::uint64_t offset = 400; offset < 500; ++offset) {
            restored = step(std::move(restored), offset);
        }
        CHECK(table == restored);
    }
}
