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

/// Which processes were heard, and whether a message of theirs is newer than those before.
class PeerRoster
{
public:
    struct Peer {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        TimePoint heard;
        bool lost = false;
    };
    /// A peer was not heard for too long, or is heard for the first time or again.
    struct Change {
        std::string address;
        std::uint64_t incarnation = 0;
        bool lost = false;
        std::optional<Duration> silent; ///< Nothing when it is heard for the first time.
        bool operator==(const Change &) const = default;
    };
    using Changed = std::function<void(const Change &change)>;

    /// @param memory a silent peer is forgotten after this
    explicit PeerRoster(Duration memory, Changed changed = {});

    /// @brief Takes in a message; false when it is older than one that was heard.
    bool hear(const std::string &sender, std::uint64_t incarnation, std::uint64_t sequence, TimePoint now);
    void forgetSilent(TimePoint now);
    /// @brief Takes peers that were silent for more than @p silence for lost, and forgets as forgetSilent() does.
    void noteSilent(Duration silence, TimePoint now);
    bool heardWithin(const std::string &sender, Duration age, TimePoint now) const;

    /// @brief At most @p limit senders, the next ones at each call, so that all are named in turn.
    std::vector<std::string> inTurn(std::size_t limit);

    /// @brief Number of peers that are not lost.
    std::size_t present() const;
    const std::map<std::string, Peer> &peers() const
    {
        return m_peers;
    }

private:
    void noteLost(const std::string &address, Peer &peer, TimePoint now);

    Duration m_memory;
    Changed m_changed;
    std::map<std::string, Peer> m_peers;
    std::string m_lastNamed;
};

} // namespace celeryroute
