#include "callclaims.h"

#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/state/newrecord.h>

#include <absl/strings/str_cat.h>

namespace celeryroute {

namespace {

/// Time before the deadline at which a call stops waiting, so that its refusal arrives in time.
constexpr Duration AnswerMargin = std::chrono::milliseconds(20);

ClockReading readClaimClock(TimePoint now)
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return {now, std::chrono::duration_cast<std::chrono::milliseconds>(wall).count()};
}

} // namespace

CallClaims::CallClaims(std::string instance)
    : m_instance(std::move(instance))
    , m_coordinator(m_instance)
{}

bool CallClaims::isNeeded(const CallerCall &call)
{
    return !call.route.repeatable && call.model.empty();
}

std::optional<CallRefusal> CallClaims::begin(const CallerCall &call, TimePoint now)
{
    std::optional<CallRefusal> refusal;
    const IdempotencyKey key = handleErrors([&call] { return parseIdempotencyKey(call.idempotencyKey); },
                                            [&refusal](const Error &error) {
                                                refusal = CallRefusal{error, RunState::NotRun, Duration::zero()};
                                                return IdempotencyKey{};
                                            });
    if (!refusal) {
        const ClaimRequest request{call.caller.customer, call.route.name, key, call.requestDigest};
        m_coordinator.startClaim(call.requestId, request, call.deadline - AnswerMargin, readClaimClock(now));
    }
    return refusal;
}

void CallClaims::answered(const std::string &requestId, RecordedAnswer answer, TimePoint now)
{
    m_coordinator.recordOutcome(requestId, std::move(answer), readClaimClock(now));
}

void CallClaims::refused(const std::string &requestId, RunState run, TimePoint now)
{
    const ClockReading both = readClaimClock(now);
    m_coordinator.abandonCall(requestId, both);
    switch (run) {
    case RunState::NotRun:
        m_coordinator.recordNotRun(requestId, both);
        break;
    case RunState::Ran:
        m_coordinator.recordOutcome(requestId, RecordedAnswer{0, "", "", true}, both);
        break;
    case RunState::Unknown:
        m_coordinator.recordInDoubt(requestId, both);
        break;
    }
}

void CallClaims::setState(const FleetState &state, TimePoint now)
{
    m_coordinator.updateTable(state.claims(), state.nextOffset(), readClaimClock(now));
}

void CallClaims::setLogReachable(bool reachable)
{
    m_coordinator.setLogReachable(reachable);
}

void CallClaims::settled(const std::string &recordId, BatchOutcome fate, std::uint64_t offset, TimePoint now)
{
    const auto batch = m_batches.find(recordId);
    if (batch != m_batches.end()) {
        m_coordinator.completeBatch(batch->second, fate, offset, readClaimClock(now));
        m_batches.erase(batch);
    }
}

std::vector<ClaimNotification> CallClaims::takeNotices(TimePoint now)
{
    m_coordinator.tick(readClaimClock(now));
    return m_coordinator.takeNotifications();
}

std::vector<proto::LogRecord> CallClaims::takeRecords(TimePoint now)
{
    std::vector<proto::LogRecord> records;
    while (std::optional<PendingBatch> pending = m_coordinator.takeBatch(now)) {
        proto::LogRecord record = newRecord(m_instance, std::chrono::system_clock::now());
        *record.mutable_claim_batch() = std::move(pending->batch);
        m_batches.emplace(record.id(), pending->number);
        records.push_back(std::move(record));
    }
    return records;
}

bool CallClaims::isBusy() const
{
    return m_coordinator.waitingCallCount() > 0;
}

HttpResponse repeatResponse(const RecordedAnswer &answer, const std::string &requestId)
{
    if (answer.truncated) {
        const std::string message = absl::StrCat("the call ran before and was answered with status ",
                                                 answer.status,
                                                 "; its answer was too large to be recorded (SHA-256 ",
                                                 toHex(answer.body),
                                                 ")");
        return refusalResponse({{ResultCode::OutcomeTooLarge, message}, RunState::Ran, Duration::zero()}, requestId);
    }
    HttpResponse response;
    response.status = static_cast<int>(answer.status);
    response.headers = {{"content-type", answer.contentType},
                        {"x-request-id", requestId},
                        {"idempotent-replayed", "true"}};
    response.body = answer.body;
    return response;
}

} // namespace celeryroute
