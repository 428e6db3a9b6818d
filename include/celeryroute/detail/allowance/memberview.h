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

enum class PeerEvent {
    Met, ///< Heard for the first time.
    Restarted, ///< Heard in a new incarnation.
    Joined, ///< Its share may be used from now on.
    Left, ///< Its share may not be used any more.
};

/// A change in what is known of another entry.
struct PeerChange {
    std::string address;
    PeerEvent event = PeerEvent::Met;
    Duration absence{}; ///< Joined: how long its share has not been used here.
    bool operator==(const PeerChange &) const = default;
};

/// Which entries there are, and with which of them this entry is in touch both ways.
///
/// A peer is pooled while it has acknowledged a report that was sent to it not long ago. Times must
/// come from a clock that goes on while the process is suspended.
class MemberView
{
public:
    MemberView(std::string address, std::uint64_t incarnation, TimePoint now, AllowanceTiming timing = {});

    /// @brief Counts at least @p members entries, this one included: those that a look-up has found.
    void expect(std::size_t members, TimePoint now);

    /// @brief Brings the view up to @p now; true when the process has stood still since the last call.
    bool advance(TimePoint now);

    /// @brief Takes a report in; false when a newer one of its sender is known.
    bool hear(const EntryReport &report, TimePoint now);

    /// @brief Number of the report that is sent now.
    std::uint64_t nextSequence(TimePoint now);

    /// @brief What to say of the members in a report.
    std::vector<MemberMark> marks() const;

    /// @brief Changes since the last call, in order.
    std::vector<PeerChange> takeChanges();

    /// @brief Entries over which all shares are divided, this one included.
    std::size_t memberCount() const
    {
        return m_memberCount;
    }
    /// @brief Part of each allowance that this entry may use, together with those that it hears.
    /// @brief How often a peer has come in touch so far.
    std::uint64_t joins() const
    {
        return m_joins;
    }
    double poolFraction() const
    {
        return m_poolFraction;
    }
    /// @brief Whether no other entry is known and there has not been time to find one.
    bool undiscovered(TimePoint now) const;

    /// @brief Newest own report that @p address has acknowledged; 0 for none.
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
        TimePoint confirmedAt{}; ///< When the newest acknowledged report was sent.
        TimePoint absentSince{};
        bool pooled = false;
        std::size_t hidden = 0; ///< Entries that use its share and are not heard here.
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
    std::uint64_t m_freshFrom = 1; ///< Acknowledgements of older reports prove nothing.
    std::deque<SentReport> m_sent;
    std::map<std::string, Peer> m_peers;
    std::unordered_map<std::string, std::size_t> m_named; ///< Entries that are known, by how many know them.
    std::vector<PeerChange> m_changes;
    std::size_t m_expected = 1;
    bool m_told = false; ///< How many entries there are has been looked up.
    std::size_t m_memberCount = 1;
    double m_poolFraction = 1;
    std::uint64_t m_joins = 0;
};

} // namespace celeryroute
