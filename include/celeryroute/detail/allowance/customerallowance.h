#pragma once

#include <celeryroute/detail/allowance/allowancelimits.h>
#include <celeryroute/detail/allowance/tokenbucket.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace celeryroute {

/// @brief The part of each allowance that an entry may use.
struct UsableShare {
    double fraction = 1;
    std::size_t members = 1;
    bool awaitsDiscovery = false; ///< It is not known yet whether there are other entries.
    bool operator==(const UsableShare &) const = default;
};

/// @brief One customer's allowance at one entry: the token bucket, and the spending that each peer has acknowledged.
class CustomerAllowance
{
public:
    explicit CustomerAllowance(TimePoint now);

    /// @brief Sets the limits. Without limits every request is admitted and nothing is counted.
    void setLimits(const std::optional<AllowanceLimits> &limits, TimePoint now);
    void setUsableShare(const UsableShare &share, TimePoint now);

    /// @brief Whether the level covers @p cost now; nothing is taken.
    bool covers(double cost, TimePoint now);
    /// @brief Takes @p cost if the level suffices.
    /// @return nothing on success, otherwise the time after which to try again
    std::optional<Duration> tryTake(double cost, TimePoint now);

    /// @brief Puts back @p cost that was taken after step @p since of the bucket.
    void refund(double cost, std::uint64_t since, TimePoint now);

    /// @brief Lowers the level after the process was suspended, since other entries may have spent the rest.
    void capAfterSuspension(TimePoint now);

    /// @brief Sets the total that @p peer has spent.
    /// @return the tokens that were removed from the bucket for it
    double noteSpent(const std::string &peer, double total, TimePoint now);
    /// @brief Adds a new peer. What it spent before is not charged.
    void addNewPeer(const std::string &peer, double total);
    void removePeer(const std::string &peer, TimePoint now);
    void connectPeer(const std::string &peer, Duration absence, std::uint64_t acknowledged, TimePoint now);
    void disconnectPeer(const std::string &peer, TimePoint now);
    void acknowledge(const std::string &peer, std::uint64_t sequence);

    /// @brief Notes that report @p sequence carries the present total.
    void noteReported(std::uint64_t sequence);

    /// @brief Whether a report after @p sequence carries another total than the one before it.
    bool hasChangedSince(std::uint64_t sequence) const;

    /// @brief Whether a large part of what may be spent ahead of acknowledgements is used up.
    bool awaitsAcknowledgements() const;

    /// @brief Whether spending @p tokens should be reported to the other entries at once.
    bool isUrgent(double tokens) const;

    bool isLimited() const
    {
        return m_limits.has_value();
    }

    double total() const
    {
        return m_total;
    }
    const TokenBucket &bucket() const
    {
        return m_bucket;
    }

private:
    struct Peer {
        double reported = 0; ///< Newest total that the peer has reported.
        double charged = 0; ///< Part of that total for which the bucket was charged.
        double acknowledged = 0; ///< Own total that the peer has acknowledged.
        double levelShare = 0; ///< Part of the level that belonged to the peer when it left.
        bool connected = false;
    };
    struct Reported {
        std::uint64_t sequence;
        double total;
    };

    void reconfigure(double scale);
    double startLevel() const;
    double unacknowledged() const;
    double unacknowledgedLimit() const;
    double requiredLevel(double cost) const;
    Duration scheduleRetry(double cost, TimePoint now);
    double totalReportedBy(std::uint64_t sequence) const;
    void settleReconnect(double balance, TimePoint now);

    std::optional<AllowanceLimits> m_limits;
    UsableShare m_usableShare;
    TokenBucket m_bucket;
    double m_total = 0;
    std::deque<Reported> m_reports;
    double m_reportedBefore = 0; ///< Total of the newest report that was dropped from m_reports.
    std::map<std::string, Peer> m_peers;
    std::size_t m_connectedPeers = 0;
    double m_acknowledgedSum = 0; ///< Sum over the connected peers.
    double m_unacknowledgedAtDisconnect = 0; ///< Spending that a peer that has just left had not acknowledged.
    double m_reconnectBalance = 0; ///< Unused shares minus spending of peers that reconnected within ReconnectEpisode.
    TimePoint m_reconnectedAt{};
    TimePoint m_queueEnd{}; ///< Time at which all requests that were told to retry can be admitted.
};

} // namespace celeryroute
