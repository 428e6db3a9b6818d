#pragma once

#include <celeryroute/detail/allowance/entrymembership.h>
#include <celeryroute/detail/targetlimit/limitreport.h>
#include <celeryroute/detail/targetlimit/permitdemand.h>
#include <celeryroute/detail/targetlimit/permitissuer.h>
#include <celeryroute/detail/targetlimit/targetlimits.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief Shares the limits of targets among the entries.
///
/// One entry issues the permits for a target. It is chosen by rendezvous hashing over the entries that this one is
/// connected to, and grants the part of the limit that corresponds to the usable part of allowances, so that entries
/// that are cut off from each other grant no more than the limit together. See docs/design/targetlimits.md.
class LimitExchange
{
public:
    /// Time for which an entry must have been connected until it may issue permits.
    static constexpr Duration SettleTime = std::chrono::seconds(2);
    /// Time between requests for permits while calls wait for them.
    static constexpr Duration RequestInterval = std::chrono::milliseconds(150);

    struct Outgoing {
        std::string receiver;
        LimitReport report;
        bool operator==(const Outgoing &) const = default;
    };

    /// @param started when the process began
    LimitExchange(std::string address, TimePoint started, TargetLimits &limits);

    /// @brief Takes over a report of another entry, which no later one has overtaken.
    /// @return what has changed
    std::vector<TargetLimits::News>
    receive(const std::string &sender, std::uint64_t incarnation, const LimitReport &report, TimePoint now);

    /// @brief Asks for permits for @p demands, grants those of other entries, and returns what is to be sent.
    std::vector<Outgoing>
    advance(const EntryMembership &members, const std::vector<PermitDemand> &demands, TimePoint now);

    /// @brief Removes and returns the targets for which permits have arrived.
    std::vector<std::string> takeGranted();

    /// @brief When to call advance() again at the latest, if nothing happens before.
    std::optional<TimePoint> due() const;

    /// @brief Address of the entry that issues the permits for @p target; empty if none may yet.
    std::string issuerOf(const std::string &target) const;

    /// @brief Calls of all entries that wait for permits of this entry.
    std::uint64_t wanted() const;
    /// @brief Number of targets for which this entry issues permits.
    std::size_t issued() const;

private:
    struct Announcement {
        std::size_t transmissions = 0;
        TimePoint nextAt{};
    };
    struct Borrowed {
        std::string issuer; ///< That the newest request went to.
        std::uint64_t incarnation = 0; ///< Of the issuer of the newest grant.
        std::uint64_t seenGrant = 0;
        std::uint32_t asked = 0; ///< Calls of the newest request.
        TimePoint askedAt{};
    };
    using Reports = std::map<std::string, LimitReport>;

    void announceNews(TimePoint now);
    void updatePeers(const EntryMembership &members, Reports &reports, TimePoint now);
    void sendAnnouncements(Reports &reports, TimePoint now);
    void askFor(const PermitDemand &demand, Reports &reports, TimePoint now);
    void cancelOldRequests(const std::vector<PermitDemand> &demands, Reports &reports, TimePoint now);
    void sendRequest(const PermitDemand &demand, Borrowed &borrowed, Reports &reports, TimePoint now);
    void grantPermits(const EntryMembership &members, Reports &reports, TimePoint now);
    void applyGrant(const std::string &issuer, std::uint64_t incarnation, const PermitGrant &grant, TimePoint now);
    PermitIssuer &issuer(const std::string &target, TimePoint now);
    std::optional<LimitNotice> noticeOf(const std::string &target) const;
    void updateDue(const std::vector<PermitDemand> &demands, TimePoint now);

    std::string m_address;
    TimePoint m_started;
    TimePoint m_advanced;
    TargetLimits &m_limits;
    std::vector<std::string> m_candidates; ///< Entries that may issue permits.
    std::vector<std::string> m_peers; ///< Connected entries.
    std::map<std::string, std::uint64_t> m_told; ///< Incarnations of the peers that were told all limits.
    std::map<std::string, Announcement> m_announcements; ///< By target.
    std::set<std::string> m_moved; ///< Targets whose issuer isn't told their newest limit yet.
    std::map<std::string, PermitIssuer> m_issuers; ///< By target.
    std::map<std::string, Borrowed> m_borrowed; ///< By target.
    Reports m_replies;
    std::set<std::string> m_granted;
    std::optional<TimePoint> m_due;
};

} // namespace celeryroute
