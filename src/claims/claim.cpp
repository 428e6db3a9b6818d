#include <celeryroute/detail/claims/claim.h>

#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/claims/claimlimits.h>

namespace celeryroute {

std::string toString(ClaimPhase phase)
{
    switch (phase) {
    case ClaimPhase::Claimed:
        return "claimed";
    case ClaimPhase::Tombstoned:
        return "not_run";
    case ClaimPhase::Done:
        return "ran";
    case ClaimPhase::InDoubt:
        return "unknown";
    }
    return "unknown";
}

Claim claimFrom(const proto::ClaimItem &item, std::uint64_t offset)
{
    Claim claim;
    claim.customer = item.customer();
    claim.route = item.route();
    claim.keyDigest = item.key_digest();
    claim.requestDigest = item.request_digest();
    claim.claimId = item.claim_id();
    claim.entry = item.entry();
    claim.targetHost = item.target_host();
    claim.targetIncarnation = item.target_incarnation();
    claim.keyTimeMs = item.key_time_ms();
    claim.wallTimeMs = item.wall_time_ms();
    claim.offset = offset;
    return claim;
}

// Items after the CLAIM item contain only the fields that identify the claim.
proto::ClaimItem toItem(const Claim &claim, proto::ClaimAction action)
{
    proto::ClaimItem item;
    item.set_action(action);
    item.set_customer(claim.customer);
    item.set_key_digest(claim.keyDigest);
    item.set_claim_id(claim.claimId);
    if (action == proto::CLAIM) {
        item.set_route(claim.route);
        item.set_request_digest(claim.requestDigest);
        item.set_entry(claim.entry);
        item.set_target_host(claim.targetHost);
        item.set_target_incarnation(claim.targetIncarnation);
        item.set_key_time_ms(claim.keyTimeMs);
        item.set_wall_time_ms(claim.wallTimeMs);
    }
    if (action == proto::OUTCOME) {
        item.set_answer_status(claim.answer.status);
        item.set_answer_content_type(claim.answer.contentType);
        item.set_answer_body(claim.answer.body);
        item.set_answer_truncated(claim.answer.truncated);
    }
    return item;
}

RecordedAnswer toRecordedAnswer(std::uint32_t status, std::string contentType, std::string body)
{
    RecordedAnswer answer;
    answer.status = status;
    answer.contentType = std::move(contentType);
    answer.truncated = body.size() > MaxRecordedAnswerBytes;
    answer.body = answer.truncated ? sha256(body) : std::move(body);
    return answer;
}

} // namespace celeryroute
