#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace celeryroute {

/// Time limits for using the state without new confirmation.
struct FreshnessLimits {
    Duration maxLogSilence = std::chrono::seconds(3); ///< Limit since the start of the last successful read.
    Duration maxDomainSilence = std::chrono::seconds(3); ///< Limit since the last answered heartbeat was sent.
    Duration maxLag = std::chrono::seconds(3); ///< Limit while a peer is known to have folded more records.
    bool operator==(const FreshnessLimits &) const = default;
};

/// @brief Decides how long requests with keys may be admitted on the current state.
///
/// The state is fresh while the log confirms it. If the log does not respond, the state stays fresh as long
/// as every failure domain with a live host answers heartbeats: the log is then unreachable for all
/// processes, and no key can have been withdrawn. Otherwise this process may be partitioned from processes
/// that still read the log.
class FreshnessTracker
{
public:
    explicit FreshnessTracker(FreshnessLimits bounds = {});

    /// @brief Records that the state contained all records of the log at @p readStartedAt.
    void recordLogRead(TimePoint readStartedAt);
    /// @brief Records that a host of @p domain answered a heartbeat that was sent at @p sentAt.
    void recordHeartbeat(const std::string &domain, TimePoint sentAt);
    /// @brief Sets the domains in which the host list has at least one other live host.
    void setLiveDomains(std::set<std::string> domains);
    /// @brief Sets the next offset of this process, @p own, and the highest next offset of its peers, @p farthest.
    void setOffsets(std::uint64_t own, std::uint64_t farthest, TimePoint now);

    /// @brief The time from which keyed requests are refused unless the state is confirmed again before.
    /// A process that was paused beyond this time admits none until its state is confirmed again.
    TimePoint freshUntil() const;

private:
    TimePoint freshUntilByHeartbeats() const;

    FreshnessLimits m_limits;
    TimePoint m_lastLogReadAt = TimePoint::min();
    std::set<std::string> m_liveDomains;
    std::map<std::string, TimePoint> m_lastHeartbeats;
    TimePoint m_lagSince = TimePoint::max();
};

} // namespace celeryroute
