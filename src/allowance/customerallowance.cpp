#include <celeryroute/detail/allowance/customerallowance.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace celeryroute {

namespace {

/// Part of the tolerance that all entries together may spend before their peers have acknowledged it.
constexpr double UnacknowledgedPart = 0.5;
/// Part of the level that one entry may spend before its peers have acknowledged it.
constexpr double MaxUnacknowledgedLevelPart = 0.5;
/// The level that all entries together may spend before their peers have acknowledged it, as a multiple.
constexpr double UnacknowledgedLevels = 8;
/// Part of the limit on unacknowledged spending from which on acknowledgements are urgent.
constexpr double UrgentUnacknowledgedPart = 0.25;
/// Part of the tolerance by which a request may exceed the level. Otherwise large requests would be refused more often
/// than small ones.
constexpr double DebtPart = 0.25;
/// At most one group of connected entries has more than this fraction of the shares.
constexpr double MajorityFraction = 0.5;
/// Part of the slack that all entries together hold after a start or a suspension.
constexpr double InitialPart = 0.25;

/// Peers that reconnect within this time are assumed to have been connected to each other.
constexpr Duration ReconnectEpisode = std::chrono::seconds(1);
/// Time within which an acknowledgement or a first report usually arrives.
constexpr Duration AcknowledgementWait = std::chrono::milliseconds(100);
constexpr Duration MaxRetryDelay = std::chrono::seconds(2);
constexpr std::size_t MaxStoredReports = 128;

} // namespace

CustomerAllowance::CustomerAllowance(TimePoint now)
    : m_bucket(now)
{}

void CustomerAllowance::setLimits(const std::optional<AllowanceLimits> &limits, TimePoint now)
{
    m_bucket.refill(now);
    m_limits = limits;
    reconfigure(1);
}

// A peer that leaves takes its part of the level with it, tokens as well as debt, except for spending that it has not
// acknowledged. A peer that joins adds no tokens.
void CustomerAllowance::setUsableShare(const UsableShare &share, TimePoint now)
{
    m_bucket.refill(now);
    const double scale = std::min(1.0, share.fraction / m_usableShare.fraction);
    const bool discovered = m_usableShare.awaitsDiscovery && !share.awaitsDiscovery;
    m_usableShare = share;
    m_bucket.charge(-m_unacknowledgedAtDisconnect);
    reconfigure(scale);
    m_bucket.charge(std::exchange(m_unacknowledgedAtDisconnect, 0));
    if (discovered && m_limits) {
        m_bucket.charge(-startLevel());
    }
}

void CustomerAllowance::reconfigure(double scale)
{
    if (!m_limits) {
        m_bucket.reconfigure(0, 0, 0, 0);
        return;
    }
    const double rate = m_usableShare.awaitsDiscovery ? 0 : m_limits->rate * m_usableShare.fraction;
    // The bound covers one window, so a debt of more than the rate of one window has no effect on it.
    const double floor = -rate * toSeconds(m_limits->window);
    m_bucket.reconfigure(rate, m_limits->burst * m_usableShare.fraction, floor, scale);
}

bool CustomerAllowance::covers(double cost, TimePoint now)
{
    m_bucket.refill(now);
    return m_bucket.level() >= requiredLevel(cost);
}

std::optional<Duration> CustomerAllowance::tryTake(double cost, TimePoint now)
{
    if (!m_limits) {
        return std::nullopt;
    }
    if (m_usableShare.awaitsDiscovery) {
        return AcknowledgementWait;
    }
    m_bucket.refill(now);
    if (m_bucket.level() < requiredLevel(cost)) {
        return scheduleRetry(cost, now);
    }
    if (unacknowledged() > unacknowledgedLimit()) {
        return AcknowledgementWait;
    }
    m_bucket.charge(cost);
    m_total += cost;
    return std::nullopt;
}

void CustomerAllowance::refund(double cost, std::uint64_t since, TimePoint now)
{
    if (m_limits) {
        m_bucket.refill(now);
        m_total -= m_bucket.refund(cost, since);
    }
}

void CustomerAllowance::capAfterSuspension(TimePoint now)
{
    if (m_limits) {
        m_bucket.refill(now);
        m_bucket.lowerTo(startLevel());
    }
}

double CustomerAllowance::noteSpent(const std::string &peer, double total, TimePoint now)
{
    Peer &entry = m_peers[peer];
    entry.reported = total;
    if (!entry.connected) {
        return 0;
    }
    const double charge = total - entry.charged;
    entry.charged = total;
    if (m_limits && charge != 0) {
        m_bucket.refill(now);
        m_bucket.charge(charge);
    }
    return charge;
}

void CustomerAllowance::addNewPeer(const std::string &peer, double total)
{
    // A new allowance counts all connected peers from the start. The peer may be among them already, because its first
    // report created the allowance.
    const auto known = m_peers.find(peer);
    if (known != m_peers.end() && known->second.connected) {
        m_acknowledgedSum -= known->second.acknowledged;
        --m_connectedPeers;
    }
    m_peers[peer] = Peer{total, total};
}

void CustomerAllowance::removePeer(const std::string &peer, TimePoint now)
{
    disconnectPeer(peer, now);
    m_peers.erase(peer);
}

void CustomerAllowance::connectPeer(const std::string &peer,
                                    Duration absence,
                                    std::uint64_t acknowledged,
                                    TimePoint now)
{
    Peer &entry = m_peers[peer];
    if (!entry.connected) {
        entry.connected = true;
        entry.acknowledged = totalReportedBy(acknowledged);
        m_acknowledgedSum += entry.acknowledged;
        ++m_connectedPeers;
    }
    const double spent = entry.reported - entry.charged;
    entry.charged = entry.reported;
    if (m_limits && absence < m_limits->window) {
        const double share = m_limits->rate / static_cast<double>(m_usableShare.members);
        settleReconnect(entry.levelShare + share * toSeconds(absence) - spent, now);
    }
}

void CustomerAllowance::disconnectPeer(const std::string &peer, TimePoint now)
{
    const auto found = m_peers.find(peer);
    if (found != m_peers.end() && found->second.connected) {
        m_bucket.refill(now);
        m_unacknowledgedAtDisconnect = std::max(m_unacknowledgedAtDisconnect, unacknowledged());
        found->second.connected = false;
        found->second.levelShare = std::max(0.0, m_bucket.level())
            / (m_usableShare.fraction * static_cast<double>(m_usableShare.members));
        m_acknowledgedSum -= found->second.acknowledged;
        --m_connectedPeers;
    }
}

void CustomerAllowance::acknowledge(const std::string &peer, std::uint64_t sequence)
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end() || !found->second.connected || found->second.acknowledged == m_total) {
        return;
    }
    const double total = totalReportedBy(sequence);
    m_acknowledgedSum += total - found->second.acknowledged;
    found->second.acknowledged = total;
}

void CustomerAllowance::noteReported(std::uint64_t sequence)
{
    if (m_total == (m_reports.empty() ? m_reportedBefore : m_reports.back().total)) {
        return;
    }
    m_reports.push_back({sequence, m_total});
    if (m_reports.size() > MaxStoredReports) {
        m_reportedBefore = m_reports.front().total;
        m_reports.pop_front();
    }
}

bool CustomerAllowance::hasChangedSince(std::uint64_t sequence) const
{
    return !m_reports.empty() && m_reports.back().sequence > sequence;
}

bool CustomerAllowance::awaitsAcknowledgements() const
{
    return m_limits && unacknowledged() > unacknowledgedLimit() * UrgentUnacknowledgedPart;
}

bool CustomerAllowance::isUrgent(double tokens) const
{
    return m_limits
        && tokens > m_limits->tolerance * UnacknowledgedPart / static_cast<double>(m_usableShare.members) / 2;
}

double CustomerAllowance::startLevel() const
{
    const auto members = static_cast<double>(m_usableShare.members);
    return std::min(m_limits->burst, m_limits->slack * InitialPart) / members;
}

// The spending of this entry that its peers have not acknowledged, on average over the connected peers.
double CustomerAllowance::unacknowledged() const
{
    return m_connectedPeers == 0 ? 0 : m_total - m_acknowledgedSum / static_cast<double>(m_connectedPeers);
}

double CustomerAllowance::unacknowledgedLimit() const
{
    const auto members = static_cast<double>(m_usableShare.members);
    const double levelPart = std::min(MaxUnacknowledgedLevelPart, UnacknowledgedLevels / members);
    return m_limits->tolerance * UnacknowledgedPart / members + std::max(0.0, m_bucket.level()) * levelPart;
}

// With most of the shares, a request of any size is admitted once the bucket is full. With fewer of them, other groups
// of entries may admit such requests too, so the debts of all these groups must fit into the tolerance.
double CustomerAllowance::requiredLevel(double cost) const
{
    const double debt = m_limits->tolerance * DebtPart * m_usableShare.fraction;
    const double required = std::max(0.0, cost - debt);
    return m_usableShare.fraction > MajorityFraction ? std::min(m_bucket.capacity(), required) : required;
}

// Refused requests are told to retry one after another, since the level would suffice for only one of them if all
// retried at the same time.
Duration CustomerAllowance::scheduleRetry(double cost, TimePoint now)
{
    const TimePoint soonest = now + m_bucket.timeUntil(requiredLevel(cost));
    const TimePoint due = std::min(std::max(soonest, m_queueEnd), now + MaxRetryDelay);
    m_queueEnd = due + fromSeconds(cost / m_bucket.rate());
    return std::max(due, soonest) - now;
}

double CustomerAllowance::totalReportedBy(std::uint64_t sequence) const
{
    const auto after = std::upper_bound(
        m_reports.begin(),
        m_reports.end(),
        sequence,
        [](std::uint64_t number, const Reported &report) { return number < report.sequence; });
    return after == m_reports.begin() ? m_reportedBefore : std::prev(after)->total;
}

// Peers that were disconnected from this entry at the same time may have used each other's shares, so their balances
// are added: spending beyond the sum of their shares is charged, unused tokens are not credited.
void CustomerAllowance::settleReconnect(double balance, TimePoint now)
{
    m_bucket.refill(now);
    if (now - m_reconnectedAt > ReconnectEpisode) {
        m_reconnectBalance = 0;
    }
    m_reconnectedAt = now;
    const double before = std::min(0.0, m_reconnectBalance);
    m_reconnectBalance += balance;
    m_bucket.charge(before - std::min(0.0, m_reconnectBalance));
}

} // namespace celeryroute
