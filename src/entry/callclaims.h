#pragma once

#include <celeryroute/detail/claims/claimcoordinator.h>
#include <celeryroute/detail/entry/answers.h>
#include <celeryroute/detail/entry/callercall.h>
#include <celeryroute/detail/http/httpmessage.h>
#include <celeryroute/detail/state/fleetstate.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief Manages the claims of an entry's calls and the log records for them.
class CallClaims
{
public:
    explicit CallClaims(std::string instance);

    /// @brief Whether @p call may be dispatched only under a claim.
    static bool isNeeded(const CallerCall &call);
    /// @brief Requests a claim decision for @p call; returns a refusal if its idempotency key cannot be used.
    std::optional<CallRefusal> begin(const CallerCall &call, TimePoint now);
    /// @brief Records that the call ended with a complete answer of its target.
    void answered(const std::string &requestId, RecordedAnswer answer, TimePoint now);
    /// @brief Records that the call failed, whether or not it was dispatched.
    void refused(const std::string &requestId, RunState run, TimePoint now);

    void setState(const FleetState &state, TimePoint now);
    void setLogReachable(bool reachable);
    /// @brief Processes the append result of record @p recordId.
    void settled(const std::string &recordId, BatchOutcome fate, std::uint64_t offset, TimePoint now);
    std::vector<ClaimNotification> takeNotices(TimePoint now);
    /// @brief Returns the records to append now.
    std::vector<proto::LogRecord> takeRecords(TimePoint now);
    /// @brief Whether a call waits for the decision on its claim.
    bool isBusy() const;

private:
    std::string m_instance;
    ClaimCoordinator m_coordinator;
    std::map<std::string, std::uint64_t> m_batches; ///< Keyed by record id.
};

/// @brief The answer to a repeated request whose call already ran.
HttpResponse repeatResponse(const RecordedAnswer &answer, const std::string &requestId);

} // namespace celeryroute
