#include "submitmessage.h"

#include <celeryroute/detail/state/specconversion.h>

#include <peer.pb.h>

#include <algorithm>

namespace celeryroute {

void fillSubmit(proto::Envelope &envelope,
                const CallerCall &call,
                const std::string &attemptId,
                const SubmitParameters &terms,
                TimePoint now)
{
    proto::SubmitRequest &submit = *envelope.mutable_submit();
    submit.set_request_id(call.requestId);
    submit.set_attempt_id(attemptId);
    submit.set_customer(call.caller.customer);
    submit.set_route(call.route.name);
    submit.set_pool(call.route.pool);
    submit.set_model(call.model);
    submit.set_method(call.method);
    submit.set_path(call.path);
    submit.set_content_type(call.contentType);
    submit.set_body(call.body);
    submit.set_stream(call.stream);
    submit.set_urgency(toProto(call.route.urgency));
    submit.set_remaining_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(0, toMilliseconds(call.deadline - now))));
    submit.set_reserved_tokens(call.worstCaseTokens);
    submit.set_prompt_tokens(call.promptTokens);
    submit.set_idempotency_key(call.idempotencyKey);
    submit.set_request_digest(call.requestDigest);
    submit.set_repeatable(call.route.repeatable);
    submit.set_weight(terms.weight);
    submit.set_share_epoch(terms.shareEpoch);
    submit.set_claim_offset(terms.claimOffset);
    submit.set_claim_id(terms.claimId);
    submit.set_suspect(terms.suspect);
}

} // namespace celeryroute
