#pragma once

#include <celeryroute/detail/allowance/entryreport.h>
#include <celeryroute/detail/allowance/reporttiming.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace celeryroute {

/// @brief Kind of a PeerChange.
enum class PeerEvent {
    Discovered, ///< First report of the entry.
    Restarted, ///< First report of a new incarnation.
    Connected, ///< Its share may be used from now on.
    Disconnected, ///< Its share may not be used any more.
};

/// @brief A change in what is known of another entry.
struct PeerChange {
    std::string address;
    PeerEvent event = PeerEvent::Discovered;
    Duration absence{}; ///< For Connected: time for which its share was not used here.
    bool operator==(const PeerChange &) const = default;
};

/// @brief Another entry that this one is connected to.
struct PeerConnection {
    std::string address;
    std::uint64_t incarnation = 0;
    TimePoint since{}; ///< First connection to this incarnation.
    bool operator==(const PeerConnection &) const = default;
};

/// @brief Tracks the members of the group of entries, and with which of them this entry can exchange reports.
///
/// A peer is connected while it has acknowledged a report that was sent to it within
/// ReportTiming::acknowledgementTimeout. Times must come from a clock that advances while the process is suspended.
class EntryMembership
{
public:
    EntryMembership(std::string address, std::uint64_t incarnation, TimePoint now, ReportTiming timing = {});

    /// @brief Assumes at least @p members entries, this one included: the number that a look-up has found.
    void expectMembers(std::size_t members, TimePoint now);

    /// @brief Applies the timeouts until @p now.
    /// @return true if the process was suspended since the last call
    bool advance(TimePoint now);

    /// @brief Time at which to call advance() again at the latest, since a longer pause counts as a suspension.
    TimePoint advanceDue() const
    {
        return m_advanced + m_timing.suspensionThreshold / 2;
    }

    /// @brief Applies the report of another entry.
    /// @return false if a newer report of its sender is known
    bool receive(const EntryReport &report, TimePoint now);

    /// @brief Assigns the sequence number of the report that is sent now.
    std::uint64_t nextSequence(TimePoint now);

    /// @brief Acknowledgements of all peers, for a whole report.
    std::vector<MemberAcknowledgement> acknowledgements() const;

    /// @brief The acknowledgement for an update to @p address, or nothing if that peer needs a whole report.
    std::optional<MemberAcknowledgement> acknowledgementOf(const std::string &address) const;

    /// @brief The report on which an update with the newest sequence number builds: the oldest that can still be
    /// acknowledged in time. 0 if there is none but the newest.
    std::uint64_t updateBase() const;

    /// @brief The timing for the present number of members.
    const ReportTiming &timing() const
    {
        return m_timing;
    }

    /// @brief Removes and returns the changes since the last call, in order.
    std::vector<PeerChange> takeChanges();

    /// @brief Number of entries over which each allowance is divided, this one included.
    std::size_t memberCount() const
    {
        return m_memberCount;
    }
    /// @brief How often peers have connected so far.
    std::uint64_t connectCount() const
    {
        return m_connectCount;
    }
    /// @brief Part of each allowance that this entry may use together with its connected peers, from 0 to 1.
    double usableFraction() const
    {
        return m_usableFraction;
    }
    /// @brief Whether no other entry is known and the time for their discovery has not passed.
    bool awaitsDiscovery(TimePoint now) const;

    /// @brief Sequence of the newest own report that @p address has acknowledged, or 0.
    std::uint64_t acknowledged(const std::string &address) const;

    std::vector<std::string> connectedPeers() const;
    /// @brief The connected peers, sorted by address.
    std::vector<PeerConnection> connections() const;
    const std::string &address() const
    {
        return m_address;
    }
    std::uint64_t incarnation() const
    {
        return m_incarnation;
    }

private:
    struct Peer {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0; ///< Newest report received.
        std::uint64_t known = 0; ///< Newest report of which everything that it builds on is known.
        std::uint64_t acknowledged = 0;
        TimePoint receivedAt{};
        TimePoint confirmedAt{}; ///< Time at which the newest acknowledged report was sent.
        TimePoint absentSince{};
        std::optional<TimePoint> connectedSince; ///< First connection to the incarnation.
        bool connected = false;
        std::size_t hidden = 0; ///< Entries that use its share and whose reports do not arrive here.
        TimePoint hiddenSince{};
        std::vector<MemberAcknowledgement> acknowledgements;
    };
    struct SentReport {
        std::uint64_t sequence;
        TimePoint sentAt;
    };

    Peer *acceptReport(const EntryReport &report, TimePoint now);
    void noteMembers(Peer &peer, const EntryReport &report, TimePoint now);
    void noteAcknowledgement(const std::string &address, Peer &peer, TimePoint now);
    void disconnect(const std::string &address, Peer &peer, TimePoint since);
    void disconnectSilent(TimePoint now);
    void removeSilentMembers(TimePoint now);
    std::size_t countHiddenUsers(const Peer &peer) const;
    void updateMemberCount(TimePoint now);
    void countMention(const std::string &address, bool add);
    void setAcknowledgements(Peer &peer, std::vector<MemberAcknowledgement> acknowledgements);
    void updateHidden(Peer &peer, TimePoint now);
    void lowerHiddenCounts(TimePoint now);
    void updateUsableFraction(TimePoint now);

    std::string m_address;
    std::uint64_t m_incarnation;
    ReportTiming m_basicTiming;
    ReportTiming m_timing; ///< For the present number of members.
    TimePoint m_started;
    TimePoint m_advanced;
    TimePoint m_nextCheck;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_firstValidSequence = 1; ///< Acknowledgements of older reports do not count.
    std::deque<SentReport> m_sent;
    std::map<std::string, Peer> m_peers;
    std::unordered_map<std::string, std::size_t> m_mentions; ///< Number of reports that name each entry.
    std::vector<PeerChange> m_changes;
    std::size_t m_expectedMembers = 1;
    bool m_lookedUp = false; ///< The number of entries was set by a look-up.
    std::size_t m_memberCount = 1;
    double m_usableFraction = 1;
    std::uint64_t m_connectCount = 0;
};

} // namespace celeryroute
