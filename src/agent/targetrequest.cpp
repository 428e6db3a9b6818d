#include <celeryroute/detail/agent/targetrequest.h>

#include <peer.pb.h>

#include <algorithm>
#include <cstdint>

namespace celeryroute {

namespace {

constexpr Duration ProbeTimeout = std::chrono::seconds(1);
constexpr Duration CancelTimeout = std::chrono::seconds(2);
constexpr Duration MaxCallTime = std::chrono::hours(1);

std::string priority(proto::Urgency urgency)
{
    const int number = std::clamp<int>(urgency, proto::INTERACTIVE, proto::BULK);
    return std::to_string(number - proto::INTERACTIVE);
}

} // namespace

HttpCall targetRequest(const AgentSettings &settings,
                       PoolKind kind,
                       const proto::SubmitRequest &submit,
                       std::uint64_t resumeFrom)
{
    HttpCall call;
    call.method = submit.method().empty() ? "POST" : submit.method();
    call.url = settings.targetUrl + submit.path();
    call.body = submit.body();
    call.totalTimeout = MaxCallTime;
    call.maxAnswerBytes = SIZE_MAX; // The answer is passed on as it comes.
    call.idleTimeout = kind == PoolKind::Engine ? settings.progressTimeout : Duration::zero();
    if (!submit.content_type().empty()) {
        call.headers["content-type"] = submit.content_type();
    }
    call.headers["x-priority"] = priority(submit.urgency());
    if (kind == PoolKind::Service) {
        call.headers["x-request-id"] = submit.request_id();
        call.headers["x-customer"] = submit.customer();
        const std::string &ownKey = submit.claim_id().empty() ? submit.request_id() : submit.claim_id();
        call.headers["idempotency-key"] = submit.idempotency_key().empty() ? ownKey : submit.idempotency_key();
        // A call that must not be repeated must not be sent over an idle connection that may be dead.
        call.freshConnection = !submit.repeatable();
        return call;
    }
    // The engine identifies calls by this id when it cancels or resumes them. The request id would be ambiguous,
    // because two attempts of one request may be at the same engine.
    call.headers["x-request-id"] = submit.attempt_id();
    if (resumeFrom > 0) {
        call.headers["x-resume-from"] = std::to_string(resumeFrom);
    }
    return call;
}

HttpCall targetCancelRequest(const AgentSettings &settings, const std::string &attemptId)
{
    HttpCall call;
    call.method = "POST";
    call.url = settings.targetUrl + "/v1/requests/" + attemptId + "/cancel";
    call.totalTimeout = CancelTimeout;
    call.freshConnection = true;
    return call;
}

HttpCall targetProbeRequest(const AgentSettings &settings, PoolKind kind)
{
    HttpCall call;
    call.url = settings.targetUrl + (kind == PoolKind::Engine ? "/v1/load" : settings.serviceHealthPath);
    call.totalTimeout = ProbeTimeout;
    call.freshConnection = true;
    return call;
}

} // namespace celeryroute
