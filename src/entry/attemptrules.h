#pragma once

#include <celeryroute/detail/entry/answers.h>
#include <celeryroute/detail/entry/flight.h>

#include <cstdint>

namespace celeryroute {

namespace proto {
class ResponseEnd;
}

/// @brief Converts the failure that an agent reports in @p end.
CallRefusal refusalOf(const proto::ResponseEnd &end);

/// @brief Whether @p code is specific to one agent, so that another agent of the pool may accept the call.
bool anotherTargetMayServe(ResultCode code);

/// @brief Whether @p flight may be retried after an attempt failed with @p refusal.
bool mayRetry(const Flight &flight, const CallRefusal &refusal, std::uint32_t maxAttempts, TimePoint now);

} // namespace celeryroute
