#pragma once

#include <celeryroute/detail/platform/logclient.h>
#include <celeryroute/detail/state/statefollower.h>
#include <celeryroute/result.h>

#include <functional>
#include <string>

namespace celeryroute {

/// The clock of a session, so that tests need not wait.
struct SessionClock {
    std::function<TimePoint()> now;
    std::function<void(Duration)> sleep;
};

/// @brief The clock of this machine.
SessionClock systemSessionClock();

/// @brief Reads the log to its end and appends records, waiting for each verdict.
class LogSession
{
public:
    LogSession(LogClient log, const std::string &author, Duration timeout, SessionClock clock);

    /// @brief The state at the end of the log. Fails with LogUnavailable, StateUnavailable or
    /// RecordNewerFormat.
    Result<FleetState> load();
    /// @brief Appends @p record and folds up to its verdict; Unsettled after the timeout.
    RecordResult append(const proto::LogRecord &record);
    /// @brief The state after the last call.
    const FleetState &state() const;

private:
    void round();

    LogClient m_log;
    Duration m_timeout;
    SessionClock m_clock;
    StateStore m_store;
    StateFollower m_follower;
    bool m_readToEnd = false;
};

} // namespace celeryroute
