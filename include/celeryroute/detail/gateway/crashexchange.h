#pragma once

#include <celeryroute/detail/gateway/crashexchangelimits.h>
#include <celeryroute/detail/gateway/crashreceipt.h>
#include <celeryroute/detail/gateway/crashreport.h>
#include <celeryroute/detail/gateway/crashsuspects.h>
#include <celeryroute/time.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace celeryroute {

/// @brief Decides which crash marks and answered parts are sent to which entry.
///
/// Each peer is told what it is not known to have: by the entry that saw it, and by a few relays that are chosen for
/// the peer by rendezvous hashing, so that a new entry learns of everything and a cut between two entries hides
/// nothing. Receipts say which reports arrived. Reports share a byte rate, and the most useful marks go first.
class CrashExchange
{
public:
    /// A report for one peer.
    struct Outgoing {
        std::string receiver;
        CrashReport report;
        bool operator==(const Outgoing &) const = default;
    };

    CrashExchange(std::string address, std::uint64_t incarnation, const CrashExchangeLimits &limits = {});

    /// @brief Records a message of @p peer, from which on it is told of crashes.
    void noteHeard(const std::string &peer, std::uint64_t incarnation, TimePoint now);
    /// @brief Records which reports @p peer has received.
    void noteReceipt(const std::string &peer, const CrashReceipt &receipt);
    /// @brief Merges @p report of @p peer into @p suspects.
    /// @return the marks of crashes that were not known before
    std::vector<CrashMark> receive(const std::string &peer,
                                   std::uint64_t incarnation,
                                   const CrashReport &report,
                                   CrashSuspects &suspects,
                                   TimePoint now);
    /// @brief The receipt for a message to @p peer, if that may still wait for it.
    std::optional<CrashReceipt> receiptFor(const std::string &peer, TimePoint now) const;
    /// @brief The reports that are due, at most one for each peer.
    std::vector<Outgoing> makeReports(CrashSuspects &suspects, TimePoint now);

private:
    struct Told {
        std::uint32_t transmissions = 0;
        TimePoint resendAt = TimePoint::min();
        bool known = false; ///< The peer has it.
    };
    struct SentReport {
        std::uint64_t number;
        std::vector<std::uint64_t> news;
    };
    struct Peer {
        std::uint64_t incarnation = 0;
        std::optional<TimePoint> heardAt; ///< Newest message since which it is told of crashes.
        CrashReceipt received; ///< Of the reports from it.
        TimePoint receivedAt;
        std::uint64_t lastReport = 0; ///< Number of the newest report to it.
        std::deque<SentReport> unreceipted;
        std::unordered_map<std::uint64_t, Told> told; ///< By number of the mark or answer.
        bool givesReceipts = false;
        bool isRelayed = false; ///< This entry is one of its relays.
        double credit = 0; ///< Bytes that may be sent.
        TimePoint creditedAt;
        std::uint64_t seenNumber = 0; ///< Newest mark or answer that was considered.
        TimePoint dueAt = TimePoint::min(); ///< Nothing older is due before.
    };

    Peer &peerOf(const std::string &address, std::uint64_t incarnation);
    bool isHeard(const Peer &peer, TimePoint now) const;
    void forgetSilent(TimePoint now);
    void updateRelays(TimePoint now);
    bool isRelayFor(const std::string &peer) const;
    void refill(Peer &peer, TimePoint now) const;
    CrashReport fill(Peer &peer, const std::vector<CrashNews> &news, TimePoint now) const;
    bool mayTell(const Peer &peer, const CrashNews &news) const;
    void noteSent(Told &told, TimePoint now) const;
    void forgetOldNews(const std::vector<CrashNews> &news);

    std::string m_address;
    std::uint64_t m_incarnation;
    CrashExchangeLimits m_limits;
    std::map<std::string, Peer> m_peers;
    std::vector<std::string> m_heard; ///< Addresses of the peers that are told of crashes.
    TimePoint m_nextCleanup;
};

} // namespace celeryroute
