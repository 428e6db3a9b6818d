#include <celeryroute/detail/allowance/entrymembership.h>

#include <algorithm>
#include <utility>

namespace celeryroute {

namespace {

bool sameAddresses(const std::vector<MemberAcknowledgement> &left, const std::vector<MemberAcknowledgement> &right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](const auto &a, const auto &b) {
        return a.address == b.address;
    });
}

} // namespace

EntryMembership::EntryMembership(std::string address, std::uint64_t incarnation, TimePoint now, ReportTiming timing)
    : m_address(std::move(address))
    , m_incarnation(incarnation)
    , m_basicTiming(timing)
    , m_timing(timing)
    , m_started(now)
    , m_advanced(now)
    , m_nextCheck(now)
{
    countMention(m_address, true);
}

void EntryMembership::expectMembers(std::size_t members, TimePoint now)
{
    m_expectedMembers = std::max<std::size_t>(members, 1);
    m_lookedUp = true;
    updateMemberCount(now);
}

// After a suspension of the process, the socket still holds reports from before it. Therefore a peer counts as
// connected only after it acknowledges a report that is sent from now on.
bool EntryMembership::advance(TimePoint now)
{
    const TimePoint before = std::exchange(m_advanced, std::max(m_advanced, now));
    const bool suspended = now - before > m_timing.suspensionThreshold;
    if (suspended) {
        m_firstValidSequence = m_sequence + 1;
        for (auto &[address, peer] : m_peers) {
            disconnect(address, peer, before);
        }
        updateUsableFraction(now);
    }
    if (now >= m_nextCheck) {
        m_nextCheck = now + m_timing.urgentDelay;
        disconnectSilent(now);
        removeSilentMembers(now);
        updateUsableFraction(now);
    }
    return suspended;
}

bool EntryMembership::receive(const EntryReport &report, TimePoint now)
{
    Peer *peer = acceptReport(report, now);
    if (!peer) {
        return false;
    }
    for (const MemberAcknowledgement &acknowledgement : report.members) {
        if (acknowledgement.address == m_address && acknowledgement.incarnation == m_incarnation
            && acknowledgement.sequence <= m_sequence) {
            peer->acknowledged = std::max(peer->acknowledged, acknowledgement.sequence);
        }
    }
    if (!report.isUpdate()) {
        noteMembers(*peer, report, now);
    }
    noteAcknowledgement(report.sender, *peer, now);
    if (!report.isUpdate()) {
        updateHidden(*peer, now);
    }
    return true;
}

void EntryMembership::noteMembers(Peer &peer, const EntryReport &report, TimePoint now)
{
    const bool sameMembers = sameAddresses(peer.acknowledgements, report.members);
    setAcknowledgements(peer, report.members);
    if (!sameMembers) {
        updateMemberCount(now);
    }
}

std::uint64_t EntryMembership::nextSequence(TimePoint now)
{
    while (!m_sent.empty() && now - m_sent.front().sentAt > m_timing.acknowledgementTimeout) {
        m_sent.pop_front();
    }
    m_sent.push_back({++m_sequence, now});
    return m_sequence;
}

std::vector<MemberAcknowledgement> EntryMembership::acknowledgements() const
{
    std::vector<MemberAcknowledgement> result;
    result.reserve(m_peers.size());
    for (const auto &[address, peer] : m_peers) {
        result.push_back({address, peer.incarnation, peer.known, peer.connected});
    }
    return result;
}

std::optional<MemberAcknowledgement> EntryMembership::acknowledgementOf(const std::string &address) const
{
    const auto found = m_peers.find(address);
    if (found == m_peers.end() || !found->second.connected) {
        return std::nullopt;
    }
    const Peer &peer = found->second;
    return MemberAcknowledgement{address, peer.incarnation, peer.known, peer.connected};
}

std::uint64_t EntryMembership::updateBase() const
{
    return m_sent.size() < 2 ? 0 : m_sent.front().sequence;
}

std::vector<PeerChange> EntryMembership::takeChanges()
{
    return std::exchange(m_changes, {});
}

bool EntryMembership::awaitsDiscovery(TimePoint now) const
{
    return m_peers.empty() && !m_lookedUp && now - m_started < m_timing.discoveryTime;
}

std::uint64_t EntryMembership::acknowledged(const std::string &address) const
{
    const auto found = m_peers.find(address);
    return found == m_peers.end() ? 0 : found->second.acknowledged;
}

std::vector<std::string> EntryMembership::connectedPeers() const
{
    std::vector<std::string> addresses;
    for (const auto &[address, peer] : m_peers) {
        if (peer.connected) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

std::vector<PeerConnection> EntryMembership::connections() const
{
    std::vector<PeerConnection> connections;
    for (const auto &[address, peer] : m_peers) {
        if (peer.connected) {
            connections.push_back({address, peer.incarnation, *peer.connectedSince});
        }
    }
    return connections;
}

EntryMembership::Peer *EntryMembership::acceptReport(const EntryReport &report, TimePoint now)
{
    if (report.sender == m_address || report.sender.empty()) {
        return nullptr;
    }
    // The spending that an update leaves out is needed of a new peer.
    if (report.isUpdate() && !m_peers.contains(report.sender)) {
        return nullptr;
    }
    const auto [position, isNew] = m_peers.try_emplace(report.sender);
    Peer &peer = position->second;
    if (isNew) {
        peer.absentSince = now;
        countMention(report.sender, true);
        m_changes.push_back({report.sender, PeerEvent::Discovered, {}});
    } else if (report.incarnation > peer.incarnation) {
        disconnect(report.sender, peer, now);
        peer.acknowledged = 0;
        peer.known = 0;
        peer.connectedSince.reset();
        m_changes.push_back({report.sender, PeerEvent::Restarted, {}});
    } else if (report.incarnation < peer.incarnation || report.sequence <= peer.sequence) {
        return nullptr;
    }
    peer.incarnation = report.incarnation;
    peer.sequence = report.sequence;
    if (peer.known >= report.base) {
        peer.known = report.sequence;
    }
    peer.receivedAt = now;
    if (isNew) {
        updateMemberCount(now);
    }
    return &peer;
}

void EntryMembership::noteAcknowledgement(const std::string &address, Peer &peer, TimePoint now)
{
    if (peer.acknowledged < m_firstValidSequence) {
        return;
    }
    const auto sent = std::lower_bound(
        m_sent.begin(),
        m_sent.end(),
        peer.acknowledged,
        [](const SentReport &report, std::uint64_t sequence) { return report.sequence < sequence; });
    if (sent == m_sent.end() || sent->sequence != peer.acknowledged
        || now - sent->sentAt > m_timing.acknowledgementTimeout) {
        return;
    }
    peer.confirmedAt = sent->sentAt;
    if (!peer.connected) {
        peer.connected = true;
        peer.connectedSince = peer.connectedSince.value_or(now);
        ++m_connectCount;
        m_changes.push_back({address, PeerEvent::Connected, now - peer.absentSince});
        lowerHiddenCounts(now);
        updateUsableFraction(now);
    }
}

void EntryMembership::disconnect(const std::string &address, Peer &peer, TimePoint since)
{
    if (!peer.connected) {
        return;
    }
    peer.connected = false;
    peer.absentSince = since;
    m_changes.push_back({address, PeerEvent::Disconnected, {}});
}

void EntryMembership::disconnectSilent(TimePoint now)
{
    for (auto &[address, peer] : m_peers) {
        if (peer.connected && now - peer.confirmedAt > m_timing.acknowledgementTimeout) {
            disconnect(address, peer, now);
        }
    }
}

void EntryMembership::removeSilentMembers(TimePoint now)
{
    bool removed = false;
    for (auto peer = m_peers.begin(); peer != m_peers.end();) {
        if (peer->second.connected || now - peer->second.receivedAt <= m_timing.memberTimeout) {
            ++peer;
            continue;
        }
        setAcknowledgements(peer->second, {});
        countMention(peer->first, false);
        peer = m_peers.erase(peer);
        removed = true;
    }
    if (removed) {
        updateMemberCount(now);
    }
}

void EntryMembership::countMention(const std::string &address, bool add)
{
    if (add) {
        ++m_mentions[address];
        return;
    }
    const auto named = m_mentions.find(address);
    if (--named->second == 0) {
        m_mentions.erase(named);
    }
}

// The mentions are counted again only if the addresses differ. Nearly all reports name the same entries as the previous
// report of their sender.
void EntryMembership::setAcknowledgements(Peer &peer, std::vector<MemberAcknowledgement> acknowledgements)
{
    if (!sameAddresses(peer.acknowledgements, acknowledgements)) {
        for (const MemberAcknowledgement &acknowledgement : acknowledgements) {
            countMention(acknowledgement.address, true);
        }
        for (const MemberAcknowledgement &acknowledgement : peer.acknowledgements) {
            countMention(acknowledgement.address, false);
        }
    }
    peer.acknowledgements = std::move(acknowledgements);
}

// Members are all entries that this entry or a peer knows from reports. An entry lists only senders of reports that it
// received itself: if it relayed the lists of others, a dead entry would remain a member forever.
void EntryMembership::updateMemberCount(TimePoint now)
{
    m_memberCount = std::max(m_mentions.size(), m_expectedMembers);
    m_timing = m_basicTiming.forEntries(m_memberCount);
    updateUsableFraction(now);
}

// Counts the hidden entries: connected to the peer, so that they use its share, but not to this entry. An entry that
// this entry has heard of is hidden only if the peer knows a newer report of it, which shows that it is alive.
std::size_t EntryMembership::countHiddenUsers(const Peer &peer) const
{
    return static_cast<std::size_t>(
        std::count_if(peer.acknowledgements.begin(),
                      peer.acknowledgements.end(),
                      [&](const MemberAcknowledgement &acknowledgement) {
                          if (!acknowledgement.connected || acknowledgement.address == m_address) {
                              return false;
                          }
                          const auto known = m_peers.find(acknowledgement.address);
                          return known == m_peers.end()
                              || (!known->second.connected
                                  && std::pair(acknowledgement.incarnation, acknowledgement.sequence)
                                      > std::pair(known->second.incarnation, known->second.sequence));
                      }));
}

void EntryMembership::updateHidden(Peer &peer, TimePoint now)
{
    const std::size_t before = std::exchange(peer.hidden, countHiddenUsers(peer));
    if (before == 0 && peer.hidden > 0) {
        peer.hiddenSince = now;
    }
}

// An entry that connects is hidden no more, so the counts can only fall.
void EntryMembership::lowerHiddenCounts(TimePoint now)
{
    for (auto &[address, peer] : m_peers) {
        if (peer.hidden > 0) {
            updateHidden(peer, now);
        }
    }
}

// Two entries that do not receive each other's reports must not both use the whole share of a third entry that receives
// both, so the share is divided among them. See docs/design/allowances.md for the proof. An entry that joins or leaves
// looks hidden for a short time, because the others do not learn of it at the same time. Therefore an entry counts as
// hidden only after a grace time.
void EntryMembership::updateUsableFraction(TimePoint now)
{
    double shares = 1;
    for (auto &[address, peer] : m_peers) {
        if (peer.connected) {
            const bool lasting = peer.hidden > 0 && now - peer.hiddenSince >= m_timing.hiddenGrace;
            shares += 1.0 / static_cast<double>(1 + (lasting ? peer.hidden : 0));
        }
    }
    m_usableFraction = std::min(1.0, shares / static_cast<double>(m_memberCount));
}

} // namespace celeryroute
