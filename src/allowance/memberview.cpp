#include <celeryroute/detail/allowance/memberview.h>

#include <algorithm>
#include <utility>

namespace celeryroute {

namespace {

bool sameAddresses(const std::vector<MemberMark> &left, const std::vector<MemberMark> &right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](const auto &a, const auto &b) {
        return a.address == b.address;
    });
}

} // namespace

MemberView::MemberView(std::string address, std::uint64_t incarnation, TimePoint now, AllowanceTiming timing)
    : m_address(std::move(address))
    , m_incarnation(incarnation)
    , m_timing(timing)
    , m_started(now)
    , m_advanced(now)
    , m_nextCheck(now)
{
    name(m_address, true);
}

void MemberView::expect(std::size_t members, TimePoint now)
{
    m_expected = std::max<std::size_t>(members, 1);
    m_told = true;
    countMembers(now);
}

// After a suspension the reports that wait in the socket are old. Only the acknowledgement of a report that is sent
// from now on shows that a peer is connected.
bool MemberView::advance(TimePoint now)
{
    const TimePoint before = std::exchange(m_advanced, std::max(m_advanced, now));
    const bool stalled = now - before > m_timing.stall;
    if (stalled) {
        m_freshFrom = m_sequence + 1;
        for (auto &[address, peer] : m_peers) {
            leave(address, peer, before);
        }
        updateFraction(now);
    }
    if (now >= m_nextCheck) {
        m_nextCheck = now + m_timing.urgent;
        dropSilent(now);
        forgetGone(now);
        updateFraction(now);
    }
    return stalled;
}

bool MemberView::hear(const EntryReport &report, TimePoint now)
{
    Peer *peer = admitReport(report, now);
    if (!peer) {
        return false;
    }
    const bool sameMembers = sameAddresses(peer->marks, report.members);
    setMarks(*peer, report.members);
    for (const MemberMark &mark : peer->marks) {
        if (mark.address == m_address && mark.incarnation == m_incarnation && mark.sequence <= m_sequence) {
            peer->acknowledged = std::max(peer->acknowledged, mark.sequence);
        }
    }
    if (!sameMembers) {
        countMembers(now);
    }
    confirm(report.sender, *peer, now);
    noteHidden(*peer, now);
    return true;
}

std::uint64_t MemberView::nextSequence(TimePoint now)
{
    while (!m_sent.empty() && now - m_sent.front().sentAt > m_timing.silence) {
        m_sent.pop_front();
    }
    m_sent.push_back({++m_sequence, now});
    return m_sequence;
}

std::vector<MemberMark> MemberView::marks() const
{
    std::vector<MemberMark> marks;
    marks.reserve(m_peers.size());
    for (const auto &[address, peer] : m_peers) {
        marks.push_back({address, peer.incarnation, peer.sequence, peer.pooled});
    }
    return marks;
}

std::vector<PeerChange> MemberView::takeChanges()
{
    return std::exchange(m_changes, {});
}

bool MemberView::undiscovered(TimePoint now) const
{
    return m_peers.empty() && !m_told && now - m_started < m_timing.discovery;
}

std::uint64_t MemberView::acknowledged(const std::string &address) const
{
    const auto found = m_peers.find(address);
    return found == m_peers.end() ? 0 : found->second.acknowledged;
}

std::vector<std::string> MemberView::pooledPeers() const
{
    std::vector<std::string> addresses;
    for (const auto &[address, peer] : m_peers) {
        if (peer.pooled) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

MemberView::Peer *MemberView::admitReport(const EntryReport &report, TimePoint now)
{
    if (report.sender == m_address || report.sender.empty()) {
        return nullptr;
    }
    const auto [position, isNew] = m_peers.try_emplace(report.sender);
    Peer &peer = position->second;
    if (isNew) {
        peer.absentSince = now;
        name(report.sender, true);
        m_changes.push_back({report.sender, PeerEvent::Met, {}});
    } else if (report.incarnation > peer.incarnation) {
        leave(report.sender, peer, now);
        peer.acknowledged = 0;
        m_changes.push_back({report.sender, PeerEvent::Restarted, {}});
    } else if (report.incarnation < peer.incarnation || report.sequence <= peer.sequence) {
        return nullptr;
    }
    peer.incarnation = report.incarnation;
    peer.sequence = report.sequence;
    peer.heardAt = now;
    if (isNew) {
        countMembers(now);
    }
    return &peer;
}

void MemberView::confirm(const std::string &address, Peer &peer, TimePoint now)
{
    if (peer.acknowledged < m_freshFrom) {
        return;
    }
    const auto sent = std::lower_bound(
        m_sent.begin(),
        m_sent.end(),
        peer.acknowledged,
        [](const SentReport &report, std::uint64_t sequence) { return report.sequence < sequence; });
    if (sent == m_sent.end() || sent->sequence != peer.acknowledged || now - sent->sentAt > m_timing.silence) {
        return;
    }
    peer.confirmedAt = sent->sentAt;
    if (!peer.pooled) {
        peer.pooled = true;
        ++m_joins;
        m_changes.push_back({address, PeerEvent::Joined, now - peer.absentSince});
        updateFraction(now);
    }
}

void MemberView::leave(const std::string &address, Peer &peer, TimePoint since)
{
    if (!peer.pooled) {
        return;
    }
    peer.pooled = false;
    peer.absentSince = since;
    m_changes.push_back({address, PeerEvent::Left, {}});
}

void MemberView::dropSilent(TimePoint now)
{
    for (auto &[address, peer] : m_peers) {
        if (peer.pooled && now - peer.confirmedAt > m_timing.silence) {
            leave(address, peer, now);
        }
    }
}

void MemberView::forgetGone(TimePoint now)
{
    bool forgotten = false;
    for (auto peer = m_peers.begin(); peer != m_peers.end();) {
        if (peer->second.pooled || now - peer->second.heardAt <= m_timing.memberMemory) {
            ++peer;
            continue;
        }
        setMarks(peer->second, {});
        name(peer->first, false);
        peer = m_peers.erase(peer);
        forgotten = true;
    }
    if (forgotten) {
        countMembers(now);
    }
}

void MemberView::name(const std::string &address, bool add)
{
    if (add) {
        ++m_named[address];
        return;
    }
    const auto named = m_named.find(address);
    if (--named->second == 0) {
        m_named.erase(named);
    }
}

// Skips the counting if the addresses are the same, since nearly all reports name the same entries as the one before.
void MemberView::setMarks(Peer &peer, std::vector<MemberMark> marks)
{
    if (!sameAddresses(peer.marks, marks)) {
        for (const MemberMark &mark : marks) {
            name(mark.address, true);
        }
        for (const MemberMark &mark : peer.marks) {
            name(mark.address, false);
        }
    }
    peer.marks = std::move(marks);
}

// A peer lists only entries from which it has received reports itself. If it passed on the lists of others, a dead
// entry would stay known forever.
void MemberView::countMembers(TimePoint now)
{
    m_memberCount = std::max(m_named.size(), m_expected);
    updateFraction(now);
}

// Counts the entries that use the peer's share and are alive, as their advancing sequence shows, but whose reports do
// not arrive here.
std::size_t MemberView::hiddenUsers(const Peer &peer) const
{
    return static_cast<std::size_t>(std::count_if(peer.marks.begin(), peer.marks.end(), [&](const MemberMark &mark) {
        if (!mark.pooled || mark.address == m_address) {
            return false;
        }
        const auto known = m_peers.find(mark.address);
        return known == m_peers.end()
            || (!known->second.pooled
                && std::pair(mark.incarnation, mark.sequence)
                    > std::pair(known->second.incarnation, known->second.sequence));
    }));
}

void MemberView::noteHidden(Peer &peer, TimePoint now)
{
    const std::size_t before = std::exchange(peer.hidden, hiddenUsers(peer));
    if (before == 0 && peer.hidden > 0) {
        peer.hiddenSince = now;
    }
}

// Two entries that do not receive each other's reports must not both use the whole share of a third entry that receives
// both, so the share is divided among them. See docs/design/allowances.md for the proof. An entry that joins or leaves
// looks hidden for a short time, because the others do not learn of it at the same time, so there is a grace time.
void MemberView::updateFraction(TimePoint now)
{
    double shares = 1;
    for (auto &[address, peer] : m_peers) {
        if (peer.pooled) {
            const bool lasting = peer.hidden > 0 && now - peer.hiddenSince >= m_timing.grace;
            shares += 1.0 / static_cast<double>(1 + (lasting ? peer.hidden : 0));
        }
    }
    m_poolFraction = std::min(1.0, shares / static_cast<double>(m_memberCount));
}

} // namespace celeryroute
