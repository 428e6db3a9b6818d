#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace celeryroute {

/// How long a process may rely on its state.
struct FreshnessBounds {
    Duration logSilence = std::chrono::seconds(3); ///< After the start of the last good read.
    Duration domainSilence = std::chrono::seconds(3); ///< After the last answered heartbeat was sent.
    Duration lag = std::chrono::seconds(3); ///< While a peer is known to have folded more.
    bool operator==(const FreshnessBounds &) const = default;
};

/// @brief Decides until when requests with keys may be admitted on the state at hand.
///
/// The state counts as new enough while the log confirms it. When the log does not, it counts as long
/// as every failure domain with a live host answers: then the log is silent for all, and nothing can
/// have been withdrawn. Otherwise the process may be cut off from those that still read the log.
class FreshnessRule
{
public:
    explicit FreshnessRule(FreshnessBounds bounds = {});

    /// @brief The state held everything that the log held at @p readStartedAt.
    void confirmedByLog(TimePoint readStartedAt);
    /// @brief A host of @p domain answered a heartbeat that was sent at @p sentAt.
    void heardFrom(const std::string &domain, TimePoint sentAt);
    /// @brief Domains of which the host list calls at least one other host live.
    void setLiveDomains(std::set<std::string> domains);
    /// @brief This process has folded up to @p own, and the farthest peer heard of up to @p farthest.
    void setOffsets(std::uint64_t own, std::uint64_t farthest, TimePoint now);

    /// @brief The time from which keyed requests are refused unless more is heard before. A process
    /// that was paused beyond it is refused service until it has validated its state again.
    TimePoint freshUntil() const;

private:
    TimePoint domainsHeardUntil() const;

    FreshnessBounds m_bounds;
    TimePoint m_confirmed = TimePoint::min();
    std::set<std::string> m_liveDomains;
    std::map<std::string, TimePoint> m_heard;
    TimePoint m_lagSince = TimePoint::max();
};

} // namespace celeryroute
