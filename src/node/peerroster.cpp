#include <celeryroute/detail/node/peerroster.h>

#include <algorithm>

namespace celeryroute {

namespace {

/// A process that was silent this long may have started anew with a lower number: clocks can be set back.
constexpr Duration IncarnationMemory = std::chrono::seconds(1);

} // namespace

PeerRoster::PeerRoster(Duration memory)
    : m_memory(memory)
{}

bool PeerRoster::hear(const std::string &sender, std::uint64_t incarnation, std::uint64_t sequence, TimePoint now)
{
    Peer &peer = m_peers[sender];
    const bool silent = now - peer.heard > IncarnationMemory;
    const bool newer = incarnation == peer.incarnation ? sequence > peer.sequence
                                                       : incarnation > peer.incarnation || silent;
    if (newer) {
        peer = {incarnation, sequence, now};
    }
    return newer;
}

void PeerRoster::forgetSilent(TimePoint now)
{
    std::erase_if(m_peers, [this, now](const auto &entry) { return now - entry.second.heard > m_memory; });
}

bool PeerRoster::heardWithin(const std::string &sender, Duration age, TimePoint now) const
{
    const auto found = m_peers.find(sender);
    return found != m_peers.end() && now - found->second.heard <= age;
}

std::vector<std::string> PeerRoster::inTurn(std::size_t limit)
{
    std::vector<std::string> named;
    auto next = m_peers.size() > limit ? m_peers.upper_bound(m_lastNamed) : m_peers.begin();
    while (named.size() < std::min(limit, m_peers.size())) {
        next = next == m_peers.end() ? m_peers.begin() : next;
        named.push_back(next->first);
        ++next;
    }
    m_lastNamed = named.empty() ? std::string() : named.back();
    return named;
}

} // namespace celeryroute
