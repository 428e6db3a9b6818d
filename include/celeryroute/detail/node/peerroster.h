#pragma once

#include <celeryroute/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
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
    };

    /// @param memory a silent peer is forgotten after this
    explicit PeerRoster(Duration memory);

    /// @brief Takes in a message; false when it is older than one that was heard.
    bool hear(const std::string &sender, std::uint64_t incarnation, std::uint64_t sequence, TimePoint now);
    void forgetSilent(TimePoint now);
    bool heardWithin(const std::string &sender, Duration age, TimePoint now) const;

    /// @brief At most @p limit senders, the next ones at each call, so that all are named in turn.
    std::vector<std::string> inTurn(std::size_t limit);

    const std::map<std::string, Peer> &peers() const
    {
        return m_peers;
    }

private:
    Duration m_memory;
    std::map<std::string, Peer> m_peers;
    std::string m_lastNamed;
};

} // namespace celeryroute
