#include <celeryroute/detail/agent/submitcheck.h>
#include <celeryroute/detail/state/routelookup.h>

#include <peer.pb.h>

#include <absl/strings/str_cat.h>

namespace celeryroute {

namespace {

std::optional<Error> refuse(ResultCode code, std::string message)
{
    return Error{code, std::move(message)};
}

/// An unknown name may be declared in records that this agent has not applied yet but the sender has.
ResultCode unknownName(const proto::Envelope &envelope, const AgentView &view, ResultCode code)
{
    return envelope.state_offset() > view.offset() ? ResultCode::StateStale : code;
}

std::optional<Error> checkMessage(const proto::SubmitRequest &submit, const std::string &pool)
{
    if (submit.attempt_id().empty() || submit.request_id().empty()) {
        return refuse(ResultCode::MessageMalformed, "a submit without request or attempt id");
    }
    if (submit.path().empty() || submit.path().front() != '/') {
        return refuse(ResultCode::MessageMalformed, "the path of a submit does not begin with a slash");
    }
    if (submit.pool() != pool) {
        return refuse(ResultCode::NoTarget, absl::StrCat("this agent serves pool ", pool, ", not ", submit.pool()));
    }
    if (submit.remaining_ms() == 0) {
        return refuse(ResultCode::DeadlineExceeded, "the deadline has passed");
    }
    return std::nullopt;
}

std::optional<Error> checkRoute(const proto::Envelope &envelope, const AgentView &view)
{
    const proto::SubmitRequest &submit = envelope.submit();
    const Versioned<RouteSpec> *route = view.state->route(submit.route());
    if (route == nullptr || route->value.pool != submit.pool()) {
        const ResultCode code = unknownName(envelope, view, ResultCode::RouteUnknown);
        return refuse(code, absl::StrCat("route ", submit.route(), " is not known here"));
    }
    if (!mayCall(route->value, submit.customer())) {
        const ResultCode code = unknownName(envelope, view, ResultCode::RouteForbidden);
        return refuse(code, absl::StrCat("route ", submit.route(), " is closed to ", submit.customer()));
    }
    if (view.pool->kind == PoolKind::Service) {
        return std::nullopt;
    }
    if (!servesModel(route->value, *view.pool, submit.model())) {
        const ResultCode code = unknownName(envelope, view, ResultCode::ModelUnknown);
        return refuse(code, absl::StrCat("route ", submit.route(), " has no model ", submit.model()));
    }
    return std::nullopt;
}

std::optional<Error> checkCall(const proto::SubmitRequest &submit, const AgentView &view)
{
    const bool unclaimed = !submit.repeatable() && submit.claim_id().empty();
    if (view.pool->kind == PoolKind::Service && unclaimed) {
        return refuse(ResultCode::ClaimUnrecorded, "a call that may not be repeated came without a claim");
    }
    if (view.state->isQuarantined(submit.request_digest())) {
        return refuse(ResultCode::RequestQuarantined, "this request has crashed targets");
    }
    return std::nullopt;
}

} // namespace

std::optional<Error> checkSubmit(const proto::Envelope &envelope, const SubmitContext &context)
{
    const proto::SubmitRequest &submit = envelope.submit();
    if (std::optional<Error> error = checkMessage(submit, context.pool)) {
        return error;
    }
    if (context.stopping || context.view.drained) {
        return refuse(ResultCode::Stopping, "this target takes no new work");
    }
    if (!context.view.state || !context.view.pool) {
        return refuse(ResultCode::StateUnavailable, "this agent does not know its pool yet");
    }
    if (std::optional<Error> error = checkRoute(envelope, context.view)) {
        return error;
    }
    if (std::optional<Error> error = checkCall(submit, context.view)) {
        return error;
    }
    if (!context.targetAlive) {
        return refuse(ResultCode::TargetFailed, "the target does not answer");
    }
    return std::nullopt;
}

} // namespace celeryroute
