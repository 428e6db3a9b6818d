#pragma once

#include <celeryroute/detail/allowance/allowancebucket.h>
#include <celeryroute/detail/allowance/allowanceterms.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace celeryroute {

/// The part of all shares that an entry uses.
struct PoolPart {
    double fraction = 1;
    std::size_t members = 1;
    bool undiscovered = false; ///< Other entries have not been looked for yet.
    bool operator==(const PoolPart &) const = default;
};

/// One customer's allowance at one entry: the pooled bucket, and who has heard of what was spent.
class CustomerAccount
{
public:
    explicit CustomerAccount(TimePoint now);

    /// @brief Sets the limits; without terms everything is admitted and nothing is counted.
    void setTerms(const std::optional<AllowanceTerms> &terms, TimePoint now);
    void setPart(const PoolPart &part, TimePoint now);

    /// @brief Takes @p cost; otherwise the time after which to ask again.
    std::optional<Duration> take(double cost, TimePoint now);

    /// @brief Puts @p cost back that was taken after step @p since of the bucket.
    void refund(double cost, std::uint64_t since, TimePoint now);

    /// @brief The process has stood still: what is left may have been spent by others.
    void empty(TimePoint now);

    /// @brief Enters what @p peer has spent in all; returns what the bucket was charged.
    double hear(const std::string &peer, double total, TimePoint now);
    void meet(const std::string &peer, double total);
    void forget(const std::string &peer, TimePoint now);
    void join(const std::string &peer, Duration absence, std::uint64_t acknowledged, TimePoint now);
    void leave(const std::string &peer, TimePoint now);
    void acknowledge(const std::string &peer, std::uint64_t sequence);

    /// @brief Notes that report @p sequence carries the present total.
    void reported(std::uint64_t sequence);

    /// @brief Whether @p tokens are so much that the other entries should know at once.
    bool urgent(double tokens) const;

    bool limited() const
    {
        return m_terms.has_value();
    }

    double total() const
    {
        return m_total;
    }
    const AllowanceBucket &bucket() const
    {
        return m_bucket;
    }

private:
    struct Peer {
        double heard = 0; ///< Its newest total.
        double charged = 0; ///< Of which the bucket was charged.
        double acknowledged = 0; ///< Own total that it has heard of.
        double share = 0; ///< Part of the level that it took along when it left.
        bool pooled = false;
    };
    struct Reported {
        std::uint64_t sequence;
        double total;
    };

    void reshape(double scale);
    double startLevel() const;
    double ahead() const;
    double aheadLimit() const;
    double needed(double cost) const;
    Duration queueUp(double cost, TimePoint now);
    double reportedBy(std::uint64_t sequence) const;
    void settleReturn(double balance, TimePoint now);

    std::optional<AllowanceTerms> m_terms;
    PoolPart m_part;
    AllowanceBucket m_bucket;
    double m_total = 0;
    std::deque<Reported> m_reports;
    double m_reportedBefore = 0; ///< Total of the reports that were dropped.
    std::map<std::string, Peer> m_peers;
    std::size_t m_pooled = 0;
    double m_acknowledgedSum = 0; ///< Over pooled peers.
    double m_unheard = 0; ///< Spending that those who have just left, or are left, do not know of.
    double m_returnBalance = 0; ///< Of peers that came back shortly one after the other.
    TimePoint m_returnedAt{};
    TimePoint m_queueEnd{}; ///< When those that were told to come back are served.
};

} // namespace celeryroute
