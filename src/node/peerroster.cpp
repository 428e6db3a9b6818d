#include <celeryroute/detail/node/peerroster.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace celeryroute {

namespace {

/// After this silence, a lower incarnation is accepted: the process may have restarted after its clock was set back.
constexpr Duration IncarnationResetSilence = std::chrono::seconds(1);

} // namespace

PeerRoster::PeerRoster(Duration retention, ChangeCallback changed)
    : m_retention(retention)
    , m_changed(std::move(changed))
{}

bool PeerRoster::recordMessage(const std::string &sender,
                               std::uint64_t incarnation,
                               std::uint64_t sequence,
                               TimePoint now)
{
    const auto [found, added] = m_peers.try_emplace(sender);
    Peer &peer = found->second;
    const bool silent = now - peer.lastHeardAt > IncarnationResetSilence;
    const bool newer = incarnation == peer.incarnation ? sequence > peer.sequence
                                                       : incarnation > peer.incarnation || silent;
    if (newer) {
        const std::uint64_t datagram = incarnation == peer.incarnation ? peer.datagram : 0;
        const Peer before = std::exchange(peer, {incarnation, sequence, now, false, datagram});
        if (m_changed && (added || before.lost)) {
            m_changed({sender, incarnation, false, added ? std::nullopt : std::optional(now - before.lastHeardAt)});
        }
    }
    return newer;
}

std::uint64_t PeerRoster::recordDatagram(const std::string &sender, std::uint64_t incarnation, std::uint64_t number)
{
    const auto found = m_peers.find(sender);
    if (found == m_peers.end() || found->second.incarnation != incarnation || number <= found->second.datagram) {
        return 0;
    }
    const std::uint64_t before = std::exchange(found->second.datagram, number);
    return before == 0 ? 0 : number - before - 1;
}

void PeerRoster::removeSilent(TimePoint now)
{
    updateSilent(m_retention, now);
}

void PeerRoster::updateSilent(Duration silence, TimePoint now)
{
    for (auto entry = m_peers.begin(); entry != m_peers.end();) {
        auto &[address, peer] = *entry;
        const Duration silent = now - peer.lastHeardAt;
        if (!peer.lost && silent > silence) {
            markLost(address, peer, now);
        }
        entry = silent > m_retention ? m_peers.erase(entry) : std::next(entry);
    }
}

void PeerRoster::markLost(const std::string &address, Peer &peer, TimePoint now)
{
    peer.lost = true;
    if (m_changed) {
        m_changed({address, peer.incarnation, true, now - peer.lastHeardAt});
    }
}

std::vector<std::string> PeerRoster::addresses() const
{
    std::vector<std::string> result;
    result.reserve(m_peers.size());
    for (const auto &[address, peer] : m_peers) {
        result.push_back(address);
    }
    return result;
}

std::size_t PeerRoster::presentCount() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_peers, [](const auto &entry) { return !entry.second.lost; }));
}

bool PeerRoster::wasHeardWithin(const std::string &sender, Duration age, TimePoint now) const
{
    const auto found = m_peers.find(sender);
    return found != m_peers.end() && now - found->second.lastHeardAt <= age;
}

std::vector<std::string> PeerRoster::nextSenders(std::size_t limit)
{
    std::vector<std::string> named;
    auto next = m_peers.size() > limit ? m_peers.upper_bound(m_lastReturned) : m_peers.begin();
    while (named.size() < std::min(limit, m_peers.size())) {
        next = next == m_peers.end() ? m_peers.begin() : next;
        named.push_back(next->first);
        ++next;
    }
    m_lastReturned = named.empty() ? std::string() : named.back();
    return named;
}

} // namespace celeryroute
