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

/// @brief Records which processes sent messages, and detects messages that are older than earlier ones.
class PeerRoster
{
public:
    struct Peer {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        TimePoint heard;
        bool lost = false;
    };
    /// A peer has been silent for too long, or was heard for the first time or again.
    struct Change {
        std::string address;
        std::uint64_t incarnation = 0;
        bool lost = false;
        std::optional<Duration> silent; ///< Empty if the peer is heard for the first time.
        bool operator==(const Change &) const = default;
    };
    using Changed = std::function<void(const Change &change)>;

    /// @param retention time after which a silent peer is forgotten
    explicit PeerRoster(Duration retention, Changed changed = {});

    /// @brief Records a message; returns false if it is not newer than an earlier one.
    bool recordMessage(const std::string &sender, std::uint64_t incarnation, std::uint64_t sequence, TimePoint now);
    void forgetSilent(TimePoint now);
    /// @brief Marks peers as lost that were silent for more than @p silence, and forgets peers as forgetSilent() does.
    void markSilent(Duration silence, TimePoint now);
    bool wasHeardWithin(const std::string &sender, Duration age, TimePoint now) const;

    /// @brief Returns at most @p limit senders; successive calls go round-robin through all of them.
    std::vector<std::string> nextSenders(std::size_t limit);

    /// @brief Returns the number of peers that are not lost.
    std::size_t presentCount() const;
    const std::map<std::string, Peer> &peers() const
    {
        return m_peers;
    }

private:
    void markLost(const std::string &address, Peer &peer, TimePoint now);

    Duration m_retention;
    Changed m_changed;
    std::map<std::string, Peer> m_peers;
    std::string m_lastReturned;
};

} // namespace celeryroute
