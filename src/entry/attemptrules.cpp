#include "attemptrules.h"

#include <peer.pb.h>

namespace celeryroute {

namespace {

RunState runStateOf(proto::RunReport report)
{
    switch (report) {
    case proto::NOT_RUN:
        return RunState::NotRun;
    case proto::RAN:
        return RunState::Ran;
    default:
        return RunState::Unknown;
    }
}

} // namespace

// Failures specific to one agent; another agent of the pool may accept the call.
bool anotherTargetMayServe(ResultCode code)
{
    switch (code) {
    case ResultCode::Stopping:
    case ResultCode::QueueFull:
    case ResultCode::NotAuthorized:
    case ResultCode::MemoryExhausted:
    case ResultCode::LoadFailed:
    case ResultCode::TargetFailed:
    case ResultCode::TargetTimeout:
    case ResultCode::PeerUnreachable:
    case ResultCode::PeerSilent:
        return true;
    default:
        return false;
    }
}

CallRefusal refusalOf(const proto::ResponseEnd &end)
{
    CallRefusal refusal;
    refusal.error = {resultCodeInfo(static_cast<ResultCode>(end.result_code())).code, end.message()};
    refusal.run = runStateOf(end.run());
    refusal.retryAfter = std::chrono::milliseconds(end.retry_after_ms());
    return refusal;
}

// A call is retried only if it certainly did not run or is repeatable, and never after the
// caller has received a part of an answer.
bool mayRetry(const Flight &flight, const CallRefusal &refusal, std::uint32_t maxAttempts, TimePoint now)
{
    const bool harmless = refusal.run == RunState::NotRun || flight.call.route.repeatable;
    const bool timeLeft = now < flight.call.deadline;
    return anotherTargetMayServe(refusal.error.code) && harmless && timeLeft && !flight.headSent
        && flight.attempts < maxAttempts;
}

} // namespace celeryroute
