#pragma once

#include <celeryroute/detail/entry/answers.h>
#include <celeryroute/detail/entry/flight.h>

#include <cstdint>

namespace celeryroute {

namespace proto {
class ResponseEnd;
}

/// @brief The failure that an agent reports with @p end.
CallRefusal refusalOf(const proto::ResponseEnd &end);

/// @brief Whether the reason @p code of one agent need not hold at another of the pool.
bool anotherTargetMayServe(ResultCode code);

/// @brief Whether @p flight may be tried again after @p refusal of an attempt.
bool mayTryAgain(const Flight &flight, const CallRefusal &refusal, std::uint32_t maxAttempts, TimePoint now);

} // namespace celeryroute
