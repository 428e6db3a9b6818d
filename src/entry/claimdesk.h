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

/// @brief The claims of an entry's calls, between its calls and the records of the log.
class ClaimDesk
{
public:
    explicit ClaimDesk(std::string instance);

    /// @brief Whether @p call may be dispatched only under a claim.
    static bool isNeeded(const CallerCall &call);
    /// @brief Asks for the verdict of @p call; a refusal when its key cannot be used.
    std::optional<CallRefusal> begin(const CallerCall &call, TimePoint now);
    /// @brief The call ended with a whole answer of its target.
    void answered(const std::string &requestId, RecordedAnswer answer, TimePoint now);
    /// @brief The call ended with a failure, dispatched or not.
    void refused(const std::string &requestId, RunState run, TimePoint now);

    void setState(const FleetState &state, TimePoint now);
    void setLogReachable(bool reachable);
    /// @brief Tells what became of the record @p recordId.
    void settled(const std::string &recordId, BatchOutcome fate, std::uint64_t offset, TimePoint now);
    std::vector<ClaimNotification> takeNotices(TimePoint now);
    /// @brief Records to be appended now.
    std::vector<proto::LogRecord> takeRecords(TimePoint now);
    /// @brief Whether a call waits for its verdict.
    bool isBusy() const;

private:
    std::string m_instance;
    ClaimCoordinator m_coordinator;
    std::map<std::string, std::uint64_t> m_batches; ///< By record id.
};

/// @brief The answer to a repeat of a call that ran.
HttpResponse repeatResponse(const RecordedAnswer &answer, const std::string &requestId);

} // namespace celeryroute
