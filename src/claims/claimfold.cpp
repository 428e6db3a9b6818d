#include <celeryroute/detail/claims/claimfold.h>

namespace celeryroute {
namespace {

bool mayBeClaimed(const ClaimTable &table, const proto::ClaimItem &item)
{
    const bool dated = item.key_time_ms() != 0;
    if (dated && item.key_time_ms() < table.horizonMs()) {
        return false;
    }
    // A key dated in the future would have to be stored for longer than the window.
    if (dated && item.key_time_ms() > table.timeMs() + MaxClockSkewMs) {
        return false;
    }
    if (!dated && item.wall_time_ms() < table.horizonMs()) {
        return false;
    }
    if (!dated && table.retiredCount() >= MaxRetiredKeys) {
        return false;
    }
    return table.claimCount() < MaxClaims;
}

ClaimTable foldClaim(ClaimTable table, const proto::ClaimItem &item, std::uint64_t offset)
{
    table = std::move(table).atTime(item.wall_time_ms());
    table = std::move(table).swept(ClaimTable::shardIndex(item.customer(), item.key_digest()));
    if (!mayBeClaimed(table, item) || table.isRetired(item.customer(), item.key_digest())) {
        return table;
    }
    const ClaimTable::ClaimPtr held = table.find(item.customer(), item.key_digest());
    const bool isFree = !held || (held->phase == ClaimPhase::Tombstoned && held->claimId != item.claim_id());
    if (!isFree) {
        return table;
    }
    return std::move(table).with(claimFrom(item, offset));
}

RecordedAnswer answerFrom(const proto::ClaimItem &item, const ClaimTable &table)
{
    if (item.answer_truncated()) {
        return {item.answer_status(), item.answer_content_type(), item.answer_body(), true};
    }
    RecordedAnswer answer = toRecordedAnswer(item.answer_status(), item.answer_content_type(), item.answer_body());
    if (table.answerBytes() + answer.body.size() > MaxTotalAnswerBytes) {
        answer.truncated = true;
        answer.body.clear();
    }
    return answer;
}

// Only an entry that never dispatched the claim, or an agent that will never start it, writes a tombstone,
// so a tombstone may also follow IN_DOUBT. An outcome is definite and may follow any phase except Done.
bool isAllowedAfter(ClaimPhase phase, proto::ClaimAction action)
{
    switch (action) {
    case proto::TOMBSTONE:
        return phase == ClaimPhase::Claimed || phase == ClaimPhase::InDoubt;
    case proto::OUTCOME:
        return phase != ClaimPhase::Done;
    case proto::IN_DOUBT:
        return phase == ClaimPhase::Claimed;
    default:
        return false;
    }
}

ClaimTable foldSettlement(ClaimTable table, const proto::ClaimItem &item)
{
    const ClaimTable::ClaimPtr held = table.find(item.customer(), item.key_digest());
    if (!held || held->claimId != item.claim_id() || !isAllowedAfter(held->phase, item.action())) {
        return table;
    }
    Claim claim = *held;
    if (item.action() == proto::TOMBSTONE) {
        claim.phase = ClaimPhase::Tombstoned;
    } else if (item.action() == proto::IN_DOUBT) {
        claim.phase = ClaimPhase::InDoubt;
    } else {
        claim.phase = ClaimPhase::Done;
        claim.answer = answerFrom(item, table);
    }
    return std::move(table).with(std::move(claim));
}

} // namespace

// Each record also sweeps one further shard, so that expired claims are removed even if their shard
// receives no other claim.
ClaimTable foldClaimBatch(ClaimTable table, const proto::ClaimBatch &batch, std::uint64_t offset)
{
    for (const proto::ClaimItem &item : batch.items()) {
        if (item.action() == proto::CLAIM) {
            table = foldClaim(std::move(table), item, offset);
        } else {
            table = foldSettlement(std::move(table), item);
        }
    }
    return std::move(table).swept(offset % ClaimTable::ShardCount);
}

} // namespace celeryroute
