#pragma once

#include <celeryroute/time.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief Records from which processes messages arrive and when, and detects repeated and out-of-order messages.
class PeerRoster
{
public:
    struct Peer {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        TimePoint lastHeardAt;
        bool lost = false;
        std::uint64_t datagram = 0; ///< Highest number of its messages to this process.
    };
    /// Reports that a peer was lost after too long a silence, or that it was heard for the first time or again.
    struct Change {
        std::string address;
        std::uint64_t incarnation = 0;
        bool lost = false;
        std::optional<Duration> silent; ///< Time without a message; empty for a new peer.
        bool operator==(const Change &) const = default;
    };
    using ChangeCallback = std::function<void(const Change &change)>;

    /// @param retention time after which a silent peer is forgotten
    explicit PeerRoster(Duration retention, ChangeCallback changed = {});

    /// @brief Records a message. Returns false and ignores it if it is not newer than the newest one of @p sender.
    bool recordMessage(const std::string &sender, std::uint64_t incarnation, std::uint64_t sequence, TimePoint now);
    /// @brief Records the number of a message of @p sender to this process.
    /// @return how many messages before it have not come, or come late
    std::uint64_t recordDatagram(const std::string &sender, std::uint64_t incarnation, std::uint64_t number);
    /// @brief Removes the peers that have been silent for longer than the retention time, and reports those as lost
    /// that were not lost before.
    void removeSilent(TimePoint now);
    /// @brief Marks the peers as lost that have been silent for longer than @p silence, and removes those that
    /// have been silent for longer than the retention time.
    void updateSilent(Duration silence, TimePoint now);
    bool wasHeardWithin(const std::string &sender, Duration age, TimePoint now) const;

    /// @brief Returns at most @p limit senders; successive calls go round-robin through all of them.
    std::vector<std::string> nextSenders(std::size_t limit);

    /// @brief Returns the addresses of all peers.
    std::vector<std::string> addresses() const;

    /// @brief Returns the number of peers that are not lost.
    std::size_t presentCount() const;
    const std::map<std::string, Peer> &peers() const
    {
        return m_peers;
    }

private:
    void markLost(const std::string &address, Peer &peer, TimePoint now);

    Duration m_retention;
    ChangeCallback m_changed;
    std::map<std::string, Peer> m_peers;
    std::string m_lastReturned;
};

} // namespace celeryroute
