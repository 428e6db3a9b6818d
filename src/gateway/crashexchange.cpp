#include <celeryroute/detail/gateway/crashexchange.h>

#include <celeryroute/detail/base/digest.h>

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace celeryroute {

namespace {

constexpr std::size_t MarkBytes = 48; ///< Of a mark without its target and parts.
constexpr std::size_t PartBytes = 8;
constexpr std::size_t AnswerBytes = 16;
constexpr std::size_t ReportsInReceipt = 65;
constexpr Duration CleanupInterval = std::chrono::seconds(10);

struct SizeOf {
    std::size_t operator()(const CrashMark &mark) const
    {
        return MarkBytes + mark.target.size() + PartBytes * mark.parts.size();
    }
    std::size_t operator()(const PartAnswer &) const
    {
        return AnswerBytes;
    }
};

struct AddTo {
    CrashReport &report;

    void operator()(const CrashMark &mark) const
    {
        report.marks.push_back(mark);
    }
    void operator()(const PartAnswer &answer) const
    {
        report.partAnswers.push_back(answer);
    }
};

} // namespace

CrashExchange::CrashExchange(std::string address, std::uint64_t incarnation, const CrashExchangeLimits &limits)
    : m_address(std::move(address))
    , m_incarnation(incarnation)
    , m_limits(limits)
{}

CrashExchange::Peer &CrashExchange::peerOf(const std::string &address, std::uint64_t incarnation)
{
    Peer &peer = m_peers[address];
    if (peer.incarnation != incarnation) {
        // A report that was sent before the restart was known may have reached the new process under its number.
        const std::uint64_t lastReport = peer.lastReport;
        peer = Peer();
        peer.lastReport = lastReport;
        m_heard.clear();
        peer.incarnation = incarnation;
        peer.credit = static_cast<double>(m_limits.datagramBytes);
    }
    return peer;
}

void CrashExchange::noteHeard(const std::string &peer, std::uint64_t incarnation, TimePoint now)
{
    peerOf(peer, incarnation).heardAt = now;
}

void CrashExchange::noteReceipt(const std::string &peer, const CrashReceipt &receipt)
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end() || receipt.incarnation != m_incarnation) {
        return;
    }
    Peer &receiver = found->second;
    if (!std::exchange(receiver.givesReceipts, true)) {
        receiver.dueAt = TimePoint::min();
    }
    std::erase_if(receiver.unreceipted, [&](const SentReport &sent) {
        if (!receipt.contains(sent.number)) {
            return false;
        }
        for (const std::uint64_t number : sent.news) {
            receiver.told[number].known = true;
        }
        return true;
    });
}

std::vector<CrashMark> CrashExchange::receive(const std::string &peer,
                                              std::uint64_t incarnation,
                                              const CrashReport &report,
                                              CrashSuspects &suspects,
                                              TimePoint now)
{
    Peer &sender = peerOf(peer, incarnation);
    if (report.number > 0) {
        sender.received.incarnation = incarnation;
        sender.received.add(report.number);
        sender.receivedAt = now;
    }
    std::vector<CrashMark> added;
    for (const CrashMark &mark : report.marks) {
        if (suspects.merge(mark, now)) {
            added.push_back(mark);
        }
        if (const std::uint64_t number = suspects.numberOf(mark)) {
            sender.told[number].known = true;
        }
    }
    for (const PartAnswer &answer : report.partAnswers) {
        suspects.parts().merge(answer, now);
    }
    return added;
}

std::optional<CrashReceipt> CrashExchange::receiptFor(const std::string &peer, TimePoint now) const
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end() || found->second.received.newest == 0
        || now - found->second.receivedAt > m_limits.receiptRetention) {
        return std::nullopt;
    }
    return found->second.received;
}

std::vector<CrashExchange::Outgoing> CrashExchange::makeReports(CrashSuspects &suspects, TimePoint now)
{
    forgetSilent(now);
    if (!suspects.hasNews()) {
        return {};
    }
    updateRelays(now);
    std::vector<CrashNews> news;
    std::vector<Outgoing> reports;
    for (const std::string &address : m_heard) {
        Peer &peer = m_peers.at(address);
        refill(peer, now);
        if (peer.seenNumber == suspects.lastNumber() && now < peer.dueAt) {
            continue;
        }
        if (news.empty()) {
            news = suspects.news(now);
        }
        CrashReport report = fill(peer, news, now);
        peer.seenNumber = suspects.lastNumber();
        if (report.number > 0) {
            reports.push_back({address, std::move(report)});
        }
    }
    if (now >= m_nextCleanup) {
        m_nextCleanup = now + CleanupInterval;
        forgetOldNews(suspects.news(now));
    }
    return reports;
}

CrashReport CrashExchange::fill(Peer &peer, const std::vector<CrashNews> &news, TimePoint now) const
{
    CrashReport report;
    SentReport sent{peer.lastReport + 1, {}};
    const auto full = static_cast<double>(m_limits.datagramBytes);
    double room = peer.credit;
    peer.dueAt = TimePoint::max();
    for (const CrashNews &item : news) {
        if (!mayTell(peer, item)) {
            continue;
        }
        const auto told = peer.told.find(item.number);
        if (told != peer.told.end() && now < told->second.resendAt) {
            peer.dueAt = std::min(peer.dueAt, told->second.resendAt);
            continue;
        }
        // A mark that is larger than any report is sent alone.
        const auto size = std::min(static_cast<double>(std::visit(SizeOf{}, item.body)), full);
        if (size > room) {
            peer.dueAt = now;
            break;
        }
        room -= size;
        std::visit(AddTo{report}, item.body);
        sent.news.push_back(item.number);
        noteSent(peer.told[item.number], now);
        peer.dueAt = std::min(peer.dueAt, peer.told[item.number].resendAt);
    }
    if (!sent.news.empty()) {
        peer.credit = room;
        report.number = ++peer.lastReport;
        peer.unreceipted.push_back(std::move(sent));
        if (peer.unreceipted.size() > ReportsInReceipt) {
            peer.unreceipted.pop_front();
        }
    }
    return report;
}

bool CrashExchange::mayTell(const Peer &peer, const CrashNews &news) const
{
    if (!news.own && !peer.isRelayed) {
        return false;
    }
    const auto told = peer.told.find(news.number);
    return told == peer.told.end()
        || (!told->second.known
            && (peer.givesReceipts || told->second.transmissions < m_limits.transmissionsWithoutReceipts));
}

void CrashExchange::noteSent(Told &told, TimePoint now) const
{
    ++told.transmissions;
    Duration interval = m_limits.resendInterval;
    for (std::uint32_t i = m_limits.promptTransmissions;
         i < told.transmissions && interval < m_limits.maxResendInterval;
         ++i) {
        interval *= 2;
    }
    told.resendAt = now + std::min(interval, m_limits.maxResendInterval);
}

// The rate is divided among the peers, so that all of them together don't fill the link of one of them either.
void CrashExchange::refill(Peer &peer, TimePoint now) const
{
    const double rate = static_cast<double>(m_limits.linkBytesPerSecond) / static_cast<double>(m_heard.size());
    const Duration elapsed = now - std::exchange(peer.creditedAt, now);
    peer.credit = std::min(peer.credit + rate * toSeconds(elapsed), static_cast<double>(m_limits.datagramBytes));
}

bool CrashExchange::isHeard(const Peer &peer, TimePoint now) const
{
    return peer.heardAt && now - *peer.heardAt <= m_limits.heardTimeout;
}

void CrashExchange::updateRelays(TimePoint now)
{
    std::vector<std::string> heard;
    for (const auto &[address, peer] : m_peers) {
        if (isHeard(peer, now)) {
            heard.push_back(address);
        }
    }
    if (heard == m_heard) {
        return;
    }
    m_heard = std::move(heard);
    for (const std::string &address : m_heard) {
        Peer &peer = m_peers.at(address);
        peer.isRelayed = isRelayFor(address);
        peer.dueAt = TimePoint::min();
    }
}

bool CrashExchange::isRelayFor(const std::string &peer) const
{
    const std::uint64_t score = rendezvousScore(peer, m_address);
    const auto above = std::count_if(m_heard.begin(), m_heard.end(), [&](const std::string &other) {
        return other != peer && rendezvousScore(peer, other) > score;
    });
    return static_cast<std::size_t>(above) < m_limits.relays;
}

void CrashExchange::forgetSilent(TimePoint now)
{
    std::erase_if(m_peers, [&](const auto &entry) {
        const Peer &peer = entry.second;
        return now - std::max(peer.heardAt.value_or(peer.receivedAt), peer.receivedAt) > m_limits.peerRetention;
    });
}

void CrashExchange::forgetOldNews(const std::vector<CrashNews> &news)
{
    std::unordered_set<std::uint64_t> numbers;
    for (const CrashNews &item : news) {
        numbers.insert(item.number);
    }
    for (auto &[address, peer] : m_peers) {
        std::erase_if(peer.told, [&numbers](const auto &told) { return !numbers.contains(told.first); });
    }
}

} // namespace celeryroute
