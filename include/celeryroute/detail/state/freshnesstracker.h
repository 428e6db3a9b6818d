#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace celeryroute {

/// Maximum times for which the state counts as fresh without a new confirmation.
struct FreshnessLimits {
    Duration maxLogSilence = std::chrono::seconds(3); ///< Since the start of the last read to the end of the log.
    Duration maxDomainSilence = std::chrono::seconds(3); ///< Since the sending of a domain's last answered heartbeat.
    Duration maxLag = std::chrono::seconds(3); ///< Since a peer is known to have folded more records.
    bool operator==(const FreshnessLimits &) const = default;
};

/// @brief Decides until when requests with API keys may be admitted on the basis of the current state.
///
/// The state is fresh while the log confirms it. If the log does not respond, the state stays fresh as long
/// as every failure domain with a live host answers heartbeats: the log is then unreachable for all
/// processes, and no key can have been withdrawn. If a domain does not answer, the state becomes stale: a
/// network partition may separate this process from processes that still read the log.
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

    /// @brief Returns the time at which the state becomes stale if it is not confirmed again before. Requests
    /// with API keys are refused from then on until the next confirmation, also after a pause of the process.
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
