#include <celeryroute/detail/allowance/customeraccount.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace celeryroute {

namespace {

/// Part of the tolerance that all entries together may spend before their peers have acknowledged it.
constexpr double AheadPart = 0.5;
/// Part of the tolerance by which a request may exceed the level. Otherwise large requests would be refused more often
/// than small ones.
constexpr double DebtPart = 0.25;
/// Part of the slack that all entries together hold after a start or a suspension.
constexpr double StartPart = 0.25;

/// Peers that rejoin within this time are assumed to have been connected to each other.
constexpr Duration ReturnEpisode = std::chrono::seconds(1);
/// Time within which an acknowledgement or a first report usually arrives.
constexpr Duration AcknowledgementWait = std::chrono::milliseconds(100);
constexpr Duration LongestQueue = std::chrono::seconds(2);
constexpr std::size_t KeptReports = 128;

} // namespace

CustomerAccount::CustomerAccount(TimePoint now)
    : m_bucket(now)
{}

void CustomerAccount::setTerms(const std::optional<AllowanceTerms> &terms, TimePoint now)
{
    m_bucket.accrue(now);
    m_terms = terms;
    reshape(1);
}

// A peer that leaves takes its part of the level with it, tokens as well as debt, except for spending that it has not
// acknowledged. A peer that joins adds no tokens.
void CustomerAccount::setPart(const PoolPart &part, TimePoint now)
{
    m_bucket.accrue(now);
    const double scale = std::min(1.0, part.fraction / m_part.fraction);
    const bool discovered = m_part.undiscovered && !part.undiscovered;
    m_part = part;
    m_bucket.charge(-m_unheard);
    reshape(scale);
    m_bucket.charge(std::exchange(m_unheard, 0));
    if (discovered && m_terms) {
        m_bucket.charge(-startLevel());
    }
}

void CustomerAccount::reshape(double scale)
{
    if (!m_terms) {
        m_bucket.reshape(0, 0, 0, 0);
        return;
    }
    const double rate = m_part.undiscovered ? 0 : m_terms->rate * m_part.fraction;
    // The bound covers one window, so a debt of more than the rate of one window has no effect on it.
    const double floor = -rate * toSeconds(m_terms->window);
    m_bucket.reshape(rate, m_terms->burst * m_part.fraction, floor, scale);
}

std::optional<Duration> CustomerAccount::take(double cost, TimePoint now)
{
    if (!m_terms) {
        return std::nullopt;
    }
    if (m_part.undiscovered) {
        return AcknowledgementWait;
    }
    m_bucket.accrue(now);
    if (m_bucket.level() < needed(cost)) {
        return queueUp(cost, now);
    }
    if (ahead() > aheadLimit()) {
        return AcknowledgementWait;
    }
    m_bucket.charge(cost);
    m_total += cost;
    return std::nullopt;
}

void CustomerAccount::refund(double cost, std::uint64_t since, TimePoint now)
{
    if (m_terms) {
        m_bucket.accrue(now);
        m_total -= m_bucket.refund(cost, since);
    }
}

void CustomerAccount::empty(TimePoint now)
{
    if (m_terms) {
        m_bucket.accrue(now);
        m_bucket.limit(startLevel());
    }
}

double CustomerAccount::hear(const std::string &peer, double total, TimePoint now)
{
    Peer &entry = m_peers[peer];
    entry.heard = total;
    if (!entry.pooled) {
        return 0;
    }
    const double charge = total - entry.charged;
    entry.charged = total;
    if (m_terms && charge != 0) {
        m_bucket.accrue(now);
        m_bucket.charge(charge);
    }
    return charge;
}

void CustomerAccount::meet(const std::string &peer, double total)
{
    // A new account counts all connected peers as joined. The peer may be among them already, because its first report
    // created the account.
    const auto known = m_peers.find(peer);
    if (known != m_peers.end() && known->second.pooled) {
        m_acknowledgedSum -= known->second.acknowledged;
        --m_pooled;
    }
    m_peers[peer] = Peer{total, total};
}

void CustomerAccount::forget(const std::string &peer, TimePoint now)
{
    leave(peer, now);
    m_peers.erase(peer);
}

void CustomerAccount::join(const std::string &peer, Duration absence, std::uint64_t acknowledged, TimePoint now)
{
    Peer &entry = m_peers[peer];
    if (!entry.pooled) {
        entry.pooled = true;
        entry.acknowledged = reportedBy(acknowledged);
        m_acknowledgedSum += entry.acknowledged;
        ++m_pooled;
    }
    const double spent = entry.heard - entry.charged;
    entry.charged = entry.heard;
    if (m_terms && absence < m_terms->window) {
        const double share = m_terms->rate / static_cast<double>(m_part.members);
        settleReturn(entry.share + share * toSeconds(absence) - spent, now);
    }
}

void CustomerAccount::leave(const std::string &peer, TimePoint now)
{
    const auto found = m_peers.find(peer);
    if (found != m_peers.end() && found->second.pooled) {
        m_bucket.accrue(now);
        m_unheard = std::max(m_unheard, ahead());
        found->second.pooled = false;
        found->second.share = std::max(0.0, m_bucket.level()) / (m_part.fraction * static_cast<double>(m_part.members));
        m_acknowledgedSum -= found->second.acknowledged;
        --m_pooled;
    }
}

void CustomerAccount::acknowledge(const std::string &peer, std::uint64_t sequence)
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end() || !found->second.pooled || found->second.acknowledged == m_total) {
        return;
    }
    const double total = reportedBy(sequence);
    m_acknowledgedSum += total - found->second.acknowledged;
    found->second.acknowledged = total;
}

void CustomerAccount::reported(std::uint64_t sequence)
{
    if (m_total == (m_reports.empty() ? m_reportedBefore : m_reports.back().total)) {
        return;
    }
    m_reports.push_back({sequence, m_total});
    if (m_reports.size() > KeptReports) {
        m_reportedBefore = m_reports.front().total;
        m_reports.pop_front();
    }
}

bool CustomerAccount::urgent(double tokens) const
{
    return m_terms && tokens > m_terms->tolerance * AheadPart / static_cast<double>(m_part.members) / 2;
}

double CustomerAccount::startLevel() const
{
    const auto members = static_cast<double>(m_part.members);
    return std::min(m_terms->burst, m_terms->slack * StartPart) / members;
}

// What the entry has spent beyond what its peers, on average, have heard of.
double CustomerAccount::ahead() const
{
    return m_pooled == 0 ? 0 : m_total - m_acknowledgedSum / static_cast<double>(m_pooled);
}

double CustomerAccount::aheadLimit() const
{
    return m_terms->tolerance * AheadPart / static_cast<double>(m_part.members) + std::max(0.0, m_bucket.level()) / 2;
}

double CustomerAccount::needed(double cost) const
{
    const double debt = m_terms->tolerance * DebtPart * m_part.fraction;
    return std::min(m_bucket.capacity(), std::max(0.0, cost - debt));
}

// Refused requests are told to retry one after another, since the level would suffice for only one of them if all
// retried at the same time.
Duration CustomerAccount::queueUp(double cost, TimePoint now)
{
    const TimePoint soonest = now + m_bucket.timeUntil(needed(cost));
    const TimePoint due = std::min(std::max(soonest, m_queueEnd), now + LongestQueue);
    m_queueEnd = due + fromSeconds(cost / m_bucket.rate());
    return std::max(due, soonest) - now;
}

double CustomerAccount::reportedBy(std::uint64_t sequence) const
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
void CustomerAccount::settleReturn(double balance, TimePoint now)
{
    m_bucket.accrue(now);
    if (now - m_returnedAt > ReturnEpisode) {
        m_returnBalance = 0;
    }
    m_returnedAt = now;
    const double before = std::min(0.0, m_returnBalance);
    m_returnBalance += balance;
    m_bucket.charge(before - std::min(0.0, m_returnBalance));
}

} // namespace celeryroute
