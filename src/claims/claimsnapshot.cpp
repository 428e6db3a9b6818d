#include <celeryroute/detail/claims/claimsnapshot.h>

namespace celeryroute {
namespace {

constexpr std::size_t SlotsPerItem = 512;

proto::ClaimAction lastAction(ClaimPhase phase)
{
    switch (phase) {
    case ClaimPhase::Claimed:
        return proto::CLAIM;
    case ClaimPhase::Tombstoned:
        return proto::TOMBSTONE;
    case ClaimPhase::Done:
        return proto::OUTCOME;
    case ClaimPhase::InDoubt:
        return proto::IN_DOUBT;
    }
    return proto::IN_DOUBT;
}

// An unknown action of a newer program version is read as InDoubt, which never lets the call run again.
ClaimPhase phaseAfter(proto::ClaimAction action)
{
    switch (action) {
    case proto::CLAIM:
        return ClaimPhase::Claimed;
    case proto::TOMBSTONE:
        return ClaimPhase::Tombstoned;
    case proto::OUTCOME:
        return ClaimPhase::Done;
    default:
        return ClaimPhase::InDoubt;
    }
}

proto::ClaimState toState(const Claim &claim)
{
    proto::ClaimState state;
    *state.mutable_claim() = toItem(claim, proto::CLAIM);
    state.mutable_claim()->set_answer_status(claim.answer.status);
    state.mutable_claim()->set_answer_content_type(claim.answer.contentType);
    state.mutable_claim()->set_answer_body(claim.answer.body);
    state.mutable_claim()->set_answer_truncated(claim.answer.truncated);
    state.set_last(lastAction(claim.phase));
    state.set_claim_offset(claim.offset);
    return state;
}

Claim toClaim(const proto::ClaimState &state)
{
    const proto::ClaimItem &item = state.claim();
    Claim claim = claimFrom(item, state.claim_offset());
    claim.phase = phaseAfter(state.last());
    claim.answer = {item.answer_status(), item.answer_content_type(), item.answer_body(), item.answer_truncated()};
    return claim;
}

} // namespace

std::vector<proto::ClaimState> toClaimStates(const ClaimTable &table)
{
    std::vector<proto::ClaimState> items(1);
    items.front().set_table_time_ms(table.timeMs());
    for (const ClaimTable::ClaimPtr &claim : table.claims()) {
        items.push_back(toState(*claim));
    }
    std::size_t room = 0;
    for (const ClaimSlot &slot : table.retiredSlots()) {
        if (room == 0) {
            items.emplace_back();
            room = SlotsPerItem;
        }
        items.back().mutable_retired_slots()->append(slot.bytes.data(), ClaimSlot::Size);
        --room;
    }
    return items;
}

ClaimTable restoreClaim(ClaimTable table, const proto::ClaimState &item)
{
    table = std::move(table).atTime(item.table_time_ms());
    if (item.has_claim()) {
        table = std::move(table).with(toClaim(item));
    }
    const std::string &slots = item.retired_slots();
    for (std::size_t at = 0; at + ClaimSlot::Size <= slots.size(); at += ClaimSlot::Size) {
        ClaimSlot slot;
        std::memcpy(slot.bytes.data(), slots.data() + at, ClaimSlot::Size);
        table = std::move(table).withRetired(slot);
    }
    return table;
}

} // namespace celeryroute
