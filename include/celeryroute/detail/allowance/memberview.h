#pragma once

#include <celeryroute/detail/allowance/allowancetiming.h>
#include <celeryroute/detail/allowance/entryreport.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace celeryroute {

/// @brief Kind of a PeerChange.
enum class PeerEvent {
    Met, ///< First report of the entry.
    Restarted, ///< First report of a new incarnation.
    Joined, ///< Its share may be used from now on.
    Left, ///< Its share may not be used any more.
};

/// @brief A change in what is known of another entry.
struct PeerChange {
    std::string address;
    PeerEvent event = PeerEvent::Met;
    Duration absence{}; ///< For Joined: time for which its share was not used here.
    bool operator==(const PeerChange &) const = default;
};

/// @brief Tracks the members of the group of entries, and with which of them this entry can exchange reports.
///
/// A peer is pooled while it has acknowledged a report that was sent to it within AllowanceTiming::silence. Times must
/// come from a clock that advances while the process is suspended.
class MemberView
{
public:
    MemberView(std::string address, std::uint64_t incarnation, TimePoint now, AllowanceTiming timing = {});

    /// @brief Assumes at least @p members entries, this one included: the number that a look-up has found.
    void expect(std::size_t members, TimePoint now);

    /// @brief Applies the timeouts until @p now.
    /// @return true if the process was suspended since the last call
    bool advance(TimePoint now);

    /// @brief Applies the report of another entry.
    /// @return false if a newer report of its sender is known
    bool hear(const EntryReport &report, TimePoint now);

    /// @brief Assigns the sequence number of the report that is sent now.
    std::uint64_t nextSequence(TimePoint now);

    /// @brief Acknowledgements of all peers, for the next report.
    std::vector<MemberMark> marks() const;

    /// @brief Removes and returns the changes since the last call, in order.
    std::vector<PeerChange> takeChanges();

    /// @brief Number of entries over which each allowance is divided, this one included.
    std::size_t memberCount() const
    {
        return m_memberCount;
    }
    /// @brief How often peers have joined so far.
    std::uint64_t joins() const
    {
        return m_joins;
    }
    /// @brief Part of each allowance that this entry may use together with its pooled peers, from 0 to 1.
    double poolFraction() const
    {
        return m_poolFraction;
    }
    /// @brief Whether no other entry is known and the time for their discovery has not passed.
    bool undiscovered(TimePoint now) const;

    /// @brief Sequence of the newest own report that @p address has acknowledged, or 0.
    std::uint64_t acknowledged(const std::string &address) const;

    std::vector<std::string> pooledPeers() const;
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
        std::uint64_t sequence = 0;
        std::uint64_t acknowledged = 0;
        TimePoint heardAt{};
        TimePoint confirmedAt{}; ///< Time at which the newest acknowledged report was sent.
        TimePoint absentSince{};
        bool pooled = false;
        std::size_t hidden = 0; ///< Entries that use its share and whose reports do not arrive here.
        TimePoint hiddenSince{};
        std::vector<MemberMark> marks;
    };
    struct SentReport {
        std::uint64_t sequence;
        TimePoint sentAt;
    };

    Peer *admitReport(const EntryReport &report, TimePoint now);
    void confirm(const std::string &address, Peer &peer, TimePoint now);
    void leave(const std::string &address, Peer &peer, TimePoint since);
    void dropSilent(TimePoint now);
    void forgetGone(TimePoint now);
    std::size_t hiddenUsers(const Peer &peer) const;
    void countMembers(TimePoint now);
    void name(const std::string &address, bool add);
    void setMarks(Peer &peer, std::vector<MemberMark> marks);
    void noteHidden(Peer &peer, TimePoint now);
    void updateFraction(TimePoint now);

    std::string m_address;
    std::uint64_t m_incarnation;
    AllowanceTiming m_timing;
    TimePoint m_started;
    TimePoint m_advanced;
    TimePoint m_nextCheck;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_freshFrom = 1; ///< Acknowledgements of older reports do not count.
    std::deque<SentReport> m_sent;
    std::map<std::string, Peer> m_peers;
    std::unordered_map<std::string, std::size_t> m_named; ///< Number of reports that name each entry.
    std::vector<PeerChange> m_changes;
    std::size_t m_expected = 1;
    bool m_told = false; ///< The number of entries was set by a look-up.
    std::size_t m_memberCount = 1;
    double m_poolFraction = 1;
    std::uint64_t m_joins = 0;
};

} // namespace celeryroute
