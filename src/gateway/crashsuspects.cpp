#include <celeryroute/detail/gateway/crashsuspects.h>

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace celeryroute {

namespace {

constexpr std::size_t CrashesToQuarantine = 3;
constexpr int HeartbeatsToExpiry = 3; ///< Missed heartbeats after which a registry record expires.
/// Longest time from the expiry of a record until this entry learns of it.
constexpr Duration RegistryDelay = std::chrono::seconds(1);
/// Time for which target deaths are remembered. A send to a dead target that gets no answer fails within this time.
constexpr Duration DeathRetention = std::chrono::minutes(1);
constexpr Duration SuspectLifetime = std::chrono::minutes(10); ///< Suspects expire this long after their last update.
constexpr Duration ExpiryInterval = std::chrono::seconds(10);
constexpr std::size_t MaxUnanswered = 512;
constexpr std::size_t MaxSuspects = 1024;
constexpr std::ptrdiff_t MaxCleared = 8; ///< Limit per request of the remembered crashes that an answer cleared it of.

} // namespace

CrashSuspects::CrashSuspects()
{
    setHeartbeatInterval(std::chrono::seconds(1));
}

void CrashSuspects::setHeartbeatInterval(Duration heartbeat)
{
    m_deathDetectionDelay = heartbeat * HeartbeatsToExpiry + RegistryDelay;
    m_parts.setDeathDetectionDelay(m_deathDetectionDelay);
}

// When a host loses power, its target's registry record expires long before a send to that target fails. The send is
// therefore compared with the target deaths that are already known.
std::optional<CrashSuspects::Suspicion> CrashSuspects::noteUnanswered(const UnansweredSend &send, TimePoint now)
{
    expire(now);
    const auto death = m_deaths.find(send.target);
    const bool dead = death != m_deaths.end() && death->second >= send.sentAt;
    m_parts.add({send.request, send.target, send.bornMs, send.sentAt, now, send.parts, !dead}, now);
    if (dead) {
        return mark(send, true, now, now);
    }
    addPending(send, true, now);
    return std::nullopt;
}

std::optional<CrashSuspects::Suspicion>
CrashSuspects::mark(const UnansweredSend &send, bool own, TimePoint endedAt, TimePoint now)
{
    if (!add(send.request, {send.target, send.bornMs, 0, own, send.sentAt, endedAt, send.parts}, now)) {
        return std::nullopt;
    }
    return Suspicion{send.id, send.request, crashes(send.request), send.parts};
}

void CrashSuspects::addPending(const UnansweredSend &send, bool own, TimePoint now)
{
    const bool known = std::any_of(m_unanswered.begin(), m_unanswered.end(), [&send](const PendingSend &pending) {
        return pending.send.request == send.request && pending.send.target == send.target
            && pending.send.bornMs == send.bornMs;
    });
    if (known) {
        return;
    }
    m_unanswered.push_back({send, now, m_parts.takeNumber(), own});
    if (m_unanswered.size() > MaxUnanswered) {
        m_unanswered.pop_front();
    }
}

void CrashSuspects::noteAnswered(std::uint64_t request, TimePoint now)
{
    expire(now);
    std::erase_if(m_unanswered, [request](const PendingSend &pending) { return pending.send.request == request; });
    const auto found = m_suspects.find(request);
    if (found == m_suspects.end()) {
        return;
    }
    Suspect &suspect = found->second;
    std::move(suspect.crashes.begin(), suspect.crashes.end(), std::back_inserter(suspect.cleared));
    suspect.crashes.clear();
    if (std::ssize(suspect.cleared) > MaxCleared) {
        suspect.cleared.erase(suspect.cleared.begin(), suspect.cleared.end() - MaxCleared);
    }
}

std::vector<CrashSuspects::Suspicion> CrashSuspects::targetDied(const std::string &target, TimePoint now)
{
    expire(now);
    m_deaths[target] = now;
    m_parts.targetDied(target);
    std::vector<Suspicion> marked;
    for (const PendingSend &pending : m_unanswered) {
        if (pending.send.target != target) {
            continue;
        }
        if (std::optional<Suspicion> suspicion = mark(pending.send, pending.own, pending.at, now)) {
            marked.push_back(*std::move(suspicion));
        }
    }
    std::erase_if(m_unanswered, [&target](const PendingSend &pending) { return pending.send.target == target; });
    return marked;
}

bool CrashSuspects::merge(const CrashMark &mark, TimePoint now)
{
    expire(now);
    const TimePoint sentAt = now - mark.sentAge;
    const TimePoint endedAt = now - mark.endedAge;
    m_parts.add({mark.request, mark.target, mark.bornMs, sentAt, endedAt, mark.parts, mark.pending}, now);
    if (mark.pending) {
        addPending({mark.request, mark.target, mark.bornMs, sentAt, {}, mark.parts}, false, now);
        return false;
    }
    return add(mark.request, {mark.target, mark.bornMs, 0, false, sentAt, endedAt, mark.parts}, now);
}

bool CrashSuspects::add(std::uint64_t request, const Crash &crash, TimePoint now)
{
    const auto [position, isNew] = m_suspects.try_emplace(request);
    Suspect &suspect = position->second;
    const auto same = [&crash](const Crash &other) { return crash.sameAs(other); };
    if (std::any_of(suspect.crashes.begin(), suspect.crashes.end(), same)
        || std::any_of(suspect.cleared.begin(), suspect.cleared.end(), same)) {
        return false;
    }
    suspect.crashes.push_back(crash);
    suspect.crashes.back().number = m_parts.takeNumber();
    suspect.updated = now;
    if (isNew && m_suspects.size() > MaxSuspects) {
        evictSuspect();
    }
    return true;
}

std::size_t CrashSuspects::crashes(std::uint64_t request) const
{
    const auto found = m_suspects.find(request);
    return found == m_suspects.end() ? 0 : found->second.crashes.size();
}

bool CrashSuspects::isQuarantined(std::uint64_t request, TimePoint now)
{
    expire(now);
    const std::size_t certain = crashes(request);
    const auto pendingCount = static_cast<std::size_t>(
        std::count_if(m_unanswered.begin(), m_unanswered.end(), [request](const PendingSend &pending) {
            return pending.send.request == request;
        }));
    if (certain >= CrashesToQuarantine) {
        m_suspects.at(request).updated = now;
    }
    return certain + pendingCount >= CrashesToQuarantine;
}

std::uint64_t CrashSuspects::numberOf(const CrashMark &mark) const
{
    const auto suspect = m_suspects.find(mark.request);
    if (mark.pending || suspect == m_suspects.end()) {
        return 0;
    }
    const std::vector<Crash> &crashes = suspect->second.crashes;
    const auto crash = std::find_if(crashes.begin(), crashes.end(), [&mark](const Crash &other) {
        return other.target == mark.target && other.bornMs == mark.bornMs;
    });
    return crash == crashes.end() ? 0 : crash->number;
}

// Of equally useful news the newest come first, since their requests are the likeliest to be repeated soon.
std::vector<CrashNews> CrashSuspects::news(TimePoint now)
{
    expire(now);
    std::vector<CrashNews> all;
    for (const auto &[request, suspect] : m_suspects) {
        for (const Crash &crash : suspect.crashes) {
            const Duration endedAge = now - crash.endedAt;
            CrashMark mark{request, crash.target, crash.bornMs, false, {}, now - crash.sentAt, endedAge};
            mark.parts = m_parts.uncleared(crash.parts, crash.endedAt);
            all.push_back({crash.number, std::move(mark), suspect.crashes.size(), crash.own});
        }
    }
    for (const PendingSend &pending : m_unanswered) {
        if (!pending.own) {
            continue;
        }
        const UnansweredSend &send = pending.send;
        CrashMark mark{send.request, send.target, send.bornMs, true, {}, now - send.sentAt, now - pending.at};
        mark.parts = m_parts.uncleared(send.parts, pending.at);
        all.push_back({pending.number, std::move(mark), crashes(send.request) + 1, true});
    }
    for (const CrashingParts::NumberedAnswer &answer : m_parts.answers(now)) {
        all.push_back({answer.number, answer.answer, 1, true});
    }
    std::sort(all.begin(), all.end(), [](const CrashNews &left, const CrashNews &right) {
        return std::tie(left.crashes, left.number) > std::tie(right.crashes, right.number);
    });
    return all;
}

void CrashSuspects::expire(TimePoint now)
{
    while (!m_unanswered.empty() && now - m_unanswered.front().at > m_deathDetectionDelay) {
        m_unanswered.pop_front();
    }
    if (now < m_nextExpiry) {
        return;
    }
    m_nextExpiry = now + ExpiryInterval;
    std::erase_if(m_deaths, [now](const auto &death) { return now - death.second > DeathRetention; });
    std::erase_if(m_suspects, [now](const auto &entry) { return now - entry.second.updated > SuspectLifetime; });
}

// Evicts the suspect with the fewest crashes; ties go to the one that was updated least recently.
void CrashSuspects::evictSuspect()
{
    m_suspects.erase(std::min_element(m_suspects.begin(), m_suspects.end(), [](const auto &left, const auto &right) {
        return std::pair(left.second.crashes.size(), left.second.updated)
            < std::pair(right.second.crashes.size(), right.second.updated);
    }));
}

} // namespace celeryroute
