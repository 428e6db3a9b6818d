#include <celeryroute/detail/targetlimit/limitexchange.h>

#include <celeryroute/detail/base/digest.h>

#include <algorithm>
#include <array>
#include <utility>

namespace celeryroute {

namespace {

using namespace std::chrono_literals;

/// Delays between the transmissions of a notice, because datagrams may be lost.
constexpr std::array<Duration, 2> RepeatDelays{200ms, 400ms};
constexpr Duration LeastRequestInterval = 10ms; ///< Between requests when more calls wait.
constexpr Duration SuspensionThreshold = 400ms; ///< A longer pause means that the process was suspended.
/// Time from the start of a process until it issues permits. Others take it for an issuer after SettleTime, and may
/// have been in touch with the one before for as long as an acknowledgement is awaited.
constexpr Duration OwnSettleTime = LimitExchange::SettleTime + 1s;

double startingLevel(const std::string &target, const std::string &entry)
{
    constexpr std::uint64_t Steps = 1024;
    return static_cast<double>(rendezvousScore(entry, target) % Steps) / static_cast<double>(Steps);
}

std::uint64_t clockMs(TimePoint time)
{
    return static_cast<std::uint64_t>(toMilliseconds(time.time_since_epoch()));
}

} // namespace

LimitExchange::LimitExchange(std::string address, TimePoint started, TargetLimits &limits)
    : m_address(std::move(address))
    , m_started(started)
    , m_advanced(started)
    , m_limits(limits)
{}

// All entries are told that a limit has begun or ended. Its value matters to the issuer alone.
void LimitExchange::announceNews(TimePoint now)
{
    for (const TargetLimits::News &news : m_limits.takeNews()) {
        if (news.change == LimitChange::Moved) {
            m_moved.insert(news.target);
        } else {
            m_announcements[news.target] = {0, now};
        }
    }
}

std::vector<TargetLimits::News>
LimitExchange::receive(const std::string &sender, std::uint64_t incarnation, const LimitReport &report, TimePoint now)
{
    std::vector<TargetLimits::News> news;
    for (const LimitNotice &notice : report.notices) {
        const LimitChange change = m_limits.noteTold(notice.target, notice.limit);
        if (change != LimitChange::None) {
            news.push_back({notice.target, change});
        }
    }
    for (const ColdNotice &notice : report.cold) {
        m_limits.noteCold(notice.target, notice.limit, now);
    }
    for (const PermitRequest &request : report.requests) {
        if (m_limits.perSecond(request.target, now)) {
            issuer(request.target, now).request(sender, request, now);
        } else if (const std::optional<LimitNotice> ended = noticeOf(request.target)) {
            m_replies[sender].notices.push_back(*ended);
        }
    }
    for (const PermitGrant &grant : report.grants) {
        applyGrant(sender, incarnation, grant, now);
    }
    return news;
}

void LimitExchange::applyGrant(const std::string &issuer,
                               std::uint64_t incarnation,
                               const PermitGrant &grant,
                               TimePoint now)
{
    const auto known = m_borrowed.find(grant.target);
    if (known == m_borrowed.end()) {
        return;
    }
    Borrowed &borrowed = known->second;
    if (borrowed.incarnation != incarnation || borrowed.seenGrant < grant.number) {
        borrowed.incarnation = incarnation;
        borrowed.seenGrant = grant.number;
    }
    m_limits.expectPermit(grant.target, now + grant.nextAfter);
    const TimePoint askedAt = std::min(TimePoint(std::chrono::milliseconds(grant.askedAtMs)), now);
    const TimePoint until = askedAt + PermitIssuer::Validity;
    if (grant.calls > 0 && borrowed.issuer == issuer && until >= now) {
        m_limits.addPermits(grant.target, grant.calls, until);
        m_granted.insert(grant.target);
    }
}

std::vector<LimitExchange::Outgoing>
LimitExchange::advance(const EntryMembership &members, const std::vector<PermitDemand> &demands, TimePoint now)
{
    if (now - m_advanced > SuspensionThreshold) {
        for (auto &[target, issuer] : m_issuers) {
            issuer.empty(now);
        }
    }
    m_advanced = now;
    m_limits.expire(now);
    announceNews(now);
    Reports reports = std::exchange(m_replies, {});
    updatePeers(members, reports, now);
    sendAnnouncements(reports, now);
    for (const PermitDemand &demand : demands) {
        askFor(demand, reports, now);
    }
    cancelOldRequests(demands, reports, now);
    grantPermits(members, reports, now);
    updateDue(demands, now);
    std::vector<Outgoing> outgoing;
    for (auto &[receiver, report] : reports) {
        if (!report.empty()) {
            outgoing.push_back({receiver, std::move(report)});
        }
    }
    return outgoing;
}

// A process that has started knows no limits.
void LimitExchange::updatePeers(const EntryMembership &members, Reports &reports, TimePoint now)
{
    m_peers.clear();
    m_candidates.clear();
    if (now - m_started >= OwnSettleTime) {
        m_candidates.push_back(m_address);
    }
    for (const PeerConnection &peer : members.connections()) {
        m_peers.push_back(peer.address);
        if (now - peer.since >= SettleTime) {
            m_candidates.push_back(peer.address);
        }
        const auto [told, isNew] = m_told.try_emplace(peer.address, 0);
        if (told->second != peer.incarnation) {
            told->second = peer.incarnation;
            for (const std::string &target : m_limits.limited()) {
                reports[peer.address].notices.push_back(*noticeOf(target));
            }
        }
    }
}

void LimitExchange::sendAnnouncements(Reports &reports, TimePoint now)
{
    for (auto news = m_announcements.begin(); news != m_announcements.end();) {
        auto &[target, announcement] = *news;
        const std::optional<LimitNotice> notice = noticeOf(target);
        if (notice && announcement.nextAt <= now) {
            for (const std::string &peer : m_peers) {
                reports[peer].notices.push_back(*notice);
            }
            announcement.nextAt = now
                + (announcement.transmissions < RepeatDelays.size() ? RepeatDelays[announcement.transmissions] : 0ms);
            ++announcement.transmissions;
        }
        const bool done = !notice || announcement.transmissions > RepeatDelays.size();
        news = done ? m_announcements.erase(news) : std::next(news);
    }
    for (const std::string &target : std::exchange(m_moved, {})) {
        const std::string issuer = issuerOf(target);
        const std::optional<LimitNotice> notice = noticeOf(target);
        if (notice && !issuer.empty() && issuer != m_address) {
            reports[issuer].notices.push_back(*notice);
        }
    }
}

void LimitExchange::askFor(const PermitDemand &demand, Reports &reports, TimePoint now)
{
    if (!m_limits.perSecond(demand.target, now)) {
        return;
    }
    const std::string issuer = issuerOf(demand.target);
    const std::uint32_t held = m_limits.permits(demand.target, now);
    const std::uint32_t needed = demand.calls > held ? demand.calls - held : 0;
    Borrowed &borrowed = m_borrowed[demand.target];
    const bool isMore = needed > borrowed.asked;
    const Duration since = now - borrowed.askedAt;
    const bool isDue = issuer != borrowed.issuer || issuer == m_address || since >= RequestInterval
        || (isMore && since >= LeastRequestInterval);
    if (!issuer.empty() && needed > 0 && isDue) {
        borrowed.issuer = issuer;
        sendRequest({demand.target, needed, demand.priority}, borrowed, reports, now);
    }
}

// A request whose calls were sent elsewhere would take permits from other entries.
void LimitExchange::cancelOldRequests(const std::vector<PermitDemand> &demands, Reports &reports, TimePoint now)
{
    std::erase_if(m_borrowed, [this, now](const auto &borrowed) { return !m_limits.perSecond(borrowed.first, now); });
    std::set<std::string> wanted;
    for (const PermitDemand &demand : demands) {
        wanted.insert(demand.target);
    }
    for (auto &[target, borrowed] : m_borrowed) {
        if (borrowed.asked > 0 && !wanted.contains(target)) {
            sendRequest({target, 0, 0}, borrowed, reports, now);
        }
    }
}

void LimitExchange::sendRequest(const PermitDemand &demand, Borrowed &borrowed, Reports &reports, TimePoint now)
{
    borrowed.asked = demand.calls;
    borrowed.askedAt = now;
    const PermitRequest request{demand.target, demand.calls, demand.priority, clockMs(now), borrowed.seenGrant};
    if (borrowed.issuer == m_address) {
        issuer(demand.target, now).request(m_address, request, now);
        return;
    }
    LimitReport &report = reports[borrowed.issuer];
    if (const std::optional<LimitNotice> notice = noticeOf(demand.target)) {
        report.notices.push_back(*notice);
    }
    // The issuer may have read the registry before the target was cold.
    if (const ColdLimit *cold = m_limits.cold(demand.target, now)) {
        report.cold.push_back({demand.target, *cold});
    }
    report.requests.push_back(request);
}

void LimitExchange::grantPermits(const EntryMembership &members, Reports &reports, TimePoint now)
{
    for (auto issuing = m_issuers.begin(); issuing != m_issuers.end();) {
        auto &[target, issuer] = *issuing;
        const std::optional<double> limit = m_limits.perSecond(target, now);
        if (!limit) {
            issuing = m_issuers.erase(issuing);
            continue;
        }
        const bool isIssuer = issuerOf(target) == m_address;
        issuer.setRate(*limit, isIssuer ? members.usableFraction() : 0, now);
        if (isIssuer) {
            for (auto &[entry, grant] : issuer.grant(now)) {
                if (entry == m_address) {
                    applyGrant(m_address, 0, grant, now);
                } else {
                    if (const std::optional<LimitNotice> notice = noticeOf(target)) {
                        reports[entry].notices.push_back(*notice);
                    }
                    reports[entry].grants.push_back(std::move(grant));
                }
            }
        }
        ++issuing;
    }
}

PermitIssuer &LimitExchange::issuer(const std::string &target, TimePoint now)
{
    return m_issuers.try_emplace(target, startingLevel(target, m_address), now).first->second;
}

std::optional<LimitNotice> LimitExchange::noticeOf(const std::string &target) const
{
    const TargetLimit *limit = m_limits.newest(target);
    return limit == nullptr ? std::nullopt : std::optional(LimitNotice{target, *limit});
}

std::vector<std::string> LimitExchange::takeGranted()
{
    const std::set<std::string> granted = std::exchange(m_granted, {});
    return {granted.begin(), granted.end()};
}

void LimitExchange::updateDue(const std::vector<PermitDemand> &demands, TimePoint now)
{
    m_due.reset();
    const auto dueAt = [this](TimePoint time) { m_due = std::min(m_due.value_or(time), time); };
    for (const auto &[target, announcement] : m_announcements) {
        dueAt(announcement.nextAt);
    }
    for (const PermitDemand &demand : demands) {
        if (m_limits.perSecond(demand.target, now)) {
            dueAt(now + RequestInterval);
        }
    }
    for (const auto &[target, issuer] : m_issuers) {
        if (const std::optional<TimePoint> next = issuer.due()) {
            dueAt(*next);
        }
    }
}

std::optional<TimePoint> LimitExchange::due() const
{
    return m_due;
}

std::string LimitExchange::issuerOf(const std::string &target) const
{
    const auto best = std::max_element(m_candidates.begin(),
                                       m_candidates.end(),
                                       [&target](const std::string &left, const std::string &right) {
                                           return rendezvousScore(target, left) < rendezvousScore(target, right);
                                       });
    return best == m_candidates.end() ? std::string() : *best;
}

std::uint64_t LimitExchange::wanted() const
{
    std::uint64_t calls = 0;
    for (const auto &[target, issuer] : m_issuers) {
        calls += issuer.rate() > 0 ? issuer.wanted() : 0;
    }
    return calls;
}

std::size_t LimitExchange::issued() const
{
    return static_cast<std::size_t>(
        std::count_if(m_issuers.begin(), m_issuers.end(), [](const auto &issuer) { return issuer.second.rate() > 0; }));
}

} // namespace celeryroute
