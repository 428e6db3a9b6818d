#pragma once

#include <celeryroute/detail/entry/callercall.h>
#include <celeryroute/detail/http/httpmessage.h>
#include <celeryroute/result.h>

namespace celeryroute {

/// @brief Turns a chat-completions request into an admitted call. Fails with the codes 301 to 314.
///
/// @param keyedAllowed false while this process may have missed a key revocation; keyed calls then fail with
/// StateStale.
Result<CallerCall> buildChatCall(const FleetState &state, const HttpRequest &request, bool keyedAllowed, TimePoint now);

/// @brief Turns a request for a plain service into an admitted call; fails as buildChatCall() does.
Result<CallerCall>
buildServiceCall(const FleetState &state, const HttpRequest &request, bool keyedAllowed, TimePoint now);

/// @brief Identifies the caller of @p request. Fails with KeyUnknown, KeyWithdrawn, RequestMalformed or StateStale.
Result<Caller> callerOf(const FleetState &state, const HttpRequest &request, bool keyedAllowed);

} // namespace celeryroute
