#include <celeryroute/detail/entry/callbuilder.h>

#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/entry/chatrequest.h>
#include <celeryroute/detail/entry/requestfields.h>

namespace celeryroute {

namespace {

constexpr std::uint32_t DefaultDeadlineMs = 60'000;

TimePoint deadlineOf(const RouteSpec &route, const std::optional<Duration> &wanted, TimePoint now)
{
    const std::uint32_t routeDeadlineMs = route.deadlineMs == 0 ? DefaultDeadlineMs : route.deadlineMs;
    return now + wanted.value_or(std::chrono::milliseconds(routeDeadlineMs));
}

Result<CallerCall> buildCommon(const HttpRequest &request, Caller caller, RouteSpec route, TimePoint now)
{
    BOOST_LEAF_AUTO(wantedDeadline, readDeadline(request));
    BOOST_LEAF_AUTO(idempotencyKey, readIdempotencyKey(request));
    if (!route.repeatable && idempotencyKey.empty()) {
        return fail(ResultCode::IdempotencyKeyMissing,
                    "calls of route '" + route.name + "' may not be repeated and need an Idempotency-Key header");
    }
    CallerCall call;
    call.requestId = randomId();
    call.caller = std::move(caller);
    call.method = request.method;
    call.path = request.path;
    call.contentType = headerValue(request, "content-type");
    call.body = request.body;
    call.idempotencyKey = std::move(idempotencyKey);
    call.requestDigest = sha256({route.name, request.method, request.path, request.body});
    call.received = now;
    call.deadline = deadlineOf(route, wantedDeadline, now);
    call.route = std::move(route);
    return call;
}

} // namespace

Result<Caller> callerOf(const FleetState &state, const HttpRequest &request, bool keyedAllowed)
{
    BOOST_LEAF_AUTO(key, bearerKey(headerValue(request, "authorization")));
    if (key && !keyedAllowed) {
        return fail(ResultCode::StateStale, "this process is cut off and cannot tell whether the key still holds");
    }
    return identifyCaller(state, key);
}

Result<CallerCall> buildChatCall(const FleetState &state, const HttpRequest &request, bool keyedAllowed, TimePoint now)
{
    BOOST_LEAF_AUTO(caller, callerOf(state, request, keyedAllowed));
    BOOST_LEAF_AUTO(chat, parseChatRequest(request.body));
    BOOST_LEAF_AUTO(route, chooseChatRoute(state, caller, chat.model, headerValue(request, RouteHeader)));
    BOOST_LEAF_AUTO(call, buildCommon(request, std::move(caller), std::move(route), now));
    call.model = std::move(chat.model);
    call.stream = chat.stream;
    call.promptTokens = chat.promptTokens;
    call.worstCaseTokens = std::uint64_t{chat.promptTokens} + chat.maxTokens;
    if (state.isQuarantined(call.requestDigest)) {
        return fail(ResultCode::RequestQuarantined, "this request has crashed its targets and is not run again");
    }
    return call;
}

Result<CallerCall>
buildServiceCall(const FleetState &state, const HttpRequest &request, bool keyedAllowed, TimePoint now)
{
    BOOST_LEAF_AUTO(caller, callerOf(state, request, keyedAllowed));
    BOOST_LEAF_AUTO(route, chooseServiceRoute(state, caller, request.path));
    BOOST_LEAF_AUTO(call, buildCommon(request, std::move(caller), std::move(route), now));
    call.worstCaseTokens = call.route.tokensPerCall;
    return call;
}

} // namespace celeryroute
