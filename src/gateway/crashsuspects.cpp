#include <celeryroute/detail/gateway/crashsuspects.h>

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace celeryroute {

namespace {

constexpr std::size_t CrashesToQuarantine = 3;
constexpr int HeartbeatsToExpiry = 3; ///< Missed heartbeats after which a registry record expires.
constexpr Duration RegistryDelay = std::chrono::seconds(1); ///< From the expiry of a record until it is read here.
/// How long target deaths are remembered. A send that hangs on a dead target fails within this time.
constexpr Duration DeathMemory = std::chrono::minutes(1);
constexpr Duration Lifetime = std::chrono::minutes(10); ///< Suspects expire this long after their last update.
constexpr Duration ExpiryInterval = std::chrono::seconds(10);
constexpr std::size_t MaxLost = 512;
constexpr std::size_t MaxSuspects = 1024;
constexpr std::ptrdiff_t MaxCleared = 8; ///< Remembered crashes that one request was cleared of.
constexpr std::size_t MarksPerMessage = 32;
constexpr std::uint32_t TimesTold = 20; ///< Transmissions of a mark; repeated because datagrams may be lost.
constexpr std::uint32_t TimesRelayed = 3; ///< Transmissions of a mark that was received from another entry.
constexpr std::uint32_t TimesToldAgain = 8; ///< Further transmissions when another entry joins.

} // namespace

CrashSuspects::CrashSuspects()
{
    useHeartbeat(std::chrono::seconds(1));
}

void CrashSuspects::useHeartbeat(Duration heartbeat)
{
    m_deathDelay = heartbeat * HeartbeatsToExpiry + RegistryDelay;
}

// When a host loses power, the registry drops its target long before a send to it fails. Such a send is
// matched with the deaths that are already known.
std::optional<CrashSuspects::Suspicion> CrashSuspects::noteUnanswered(const LostSend &send, TimePoint now)
{
    expire(now);
    const auto died = m_died.find(send.target);
    if (died != m_died.end() && died->second >= send.sentAt) {
        return mark(send, now);
    }
    remember(send, 0, now);
    return std::nullopt;
}

std::optional<CrashSuspects::Suspicion> CrashSuspects::mark(const LostSend &send, TimePoint now)
{
    if (!add(send.request, {send.target, send.bornMs}, now)) {
        return std::nullopt;
    }
    return Suspicion{send.id, send.request, crashes(send.request)};
}

void CrashSuspects::remember(const LostSend &send, std::uint32_t told, TimePoint now)
{
    const bool known = std::any_of(m_lost.begin(), m_lost.end(), [&send](const Ended &lost) {
        return lost.send.request == send.request && lost.send.target == send.target && lost.send.bornMs == send.bornMs;
    });
    if (known) {
        return;
    }
    m_lost.push_back({send, now, told});
    m_telling = true;
    if (m_lost.size() > MaxLost) {
        m_lost.pop_front();
    }
}

void CrashSuspects::noteAnswered(std::uint64_t request, TimePoint now)
{
    expire(now);
    std::erase_if(m_lost, [request](const Ended &lost) { return lost.send.request == request; });
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
    m_died[target] = now;
    std::vector<Suspicion> marked;
    for (const Ended &lost : m_lost) {
        if (lost.send.target != target) {
            continue;
        }
        if (std::optional<Suspicion> suspicion = mark(lost.send, now)) {
            marked.push_back(*std::move(suspicion));
        }
    }
    std::erase_if(m_lost, [&target](const Ended &lost) { return lost.send.target == target; });
    return marked;
}

bool CrashSuspects::merge(const CrashMark &mark, TimePoint now)
{
    expire(now);
    if (mark.pending) {
        remember({mark.request, mark.target, mark.bornMs, now}, TimesTold, now);
        return false;
    }
    return add(mark.request, {mark.target, mark.bornMs, TimesTold - TimesRelayed}, now);
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
    suspect.news = now;
    m_telling = true;
    if (isNew && m_suspects.size() > MaxSuspects) {
        makeRoom();
    }
    return true;
}

std::size_t CrashSuspects::crashes(std::uint64_t request) const
{
    const auto found = m_suspects.find(request);
    return found == m_suspects.end() ? 0 : found->second.crashes.size();
}

bool CrashSuspects::quarantined(std::uint64_t request, TimePoint now)
{
    expire(now);
    const std::size_t certain = crashes(request);
    const auto pending = static_cast<std::size_t>(
        std::count_if(m_lost.begin(), m_lost.end(), [request](const Ended &lost) {
            return lost.send.request == request;
        }));
    if (certain >= CrashesToQuarantine) {
        m_suspects.at(request).news = now;
    }
    return certain + pending >= CrashesToQuarantine;
}

std::vector<CrashMark> CrashSuspects::marks(std::uint64_t joins)
{
    const bool again = std::exchange(m_joins, joins) != joins;
    if (!m_telling && !again) {
        return {};
    }
    std::vector<Candidate> all = candidates(again);
    m_telling = !all.empty();
    // Marks with the fewest transmissions come first, so that all get sent; ties go to requests with more crashes.
    std::sort(all.begin(), all.end(), [](const Candidate &left, const Candidate &right) {
        return std::tie(*left.told, right.crashes, left.mark.request, left.mark.target)
            < std::tie(*right.told, left.crashes, right.mark.request, right.mark.target);
    });
    all.resize(std::min(all.size(), MarksPerMessage));
    std::vector<CrashMark> marks;
    for (const Candidate &candidate : all) {
        ++*candidate.told;
        marks.push_back(candidate.mark);
    }
    return marks;
}

std::vector<CrashSuspects::Candidate> CrashSuspects::candidates(bool again)
{
    std::vector<Candidate> all;
    for (auto &[request, suspect] : m_suspects) {
        for (Crash &crash : suspect.crashes) {
            crash.told = again ? std::min(crash.told, TimesTold - TimesToldAgain) : crash.told;
            if (crash.told < TimesTold) {
                all.push_back({{request, crash.target, crash.bornMs, false}, suspect.crashes.size(), &crash.told});
            }
        }
    }
    for (Ended &lost : m_lost) {
        if (lost.told < TimesTold) {
            all.push_back({{lost.send.request, lost.send.target, lost.send.bornMs, true}, 0, &lost.told});
        }
    }
    return all;
}

void CrashSuspects::expire(TimePoint now)
{
    while (!m_lost.empty() && now - m_lost.front().at > m_deathDelay) {
        m_lost.pop_front();
    }
    if (now < m_nextExpiry) {
        return;
    }
    m_nextExpiry = now + ExpiryInterval;
    std::erase_if(m_died, [now](const auto &died) { return now - died.second > DeathMemory; });
    std::erase_if(m_suspects, [now](const auto &entry) { return now - entry.second.news > Lifetime; });
}

// Evicts the suspect with the fewest crashes; ties go to the one that was updated least recently.
void CrashSuspects::makeRoom()
{
    m_suspects.erase(std::min_element(m_suspects.begin(), m_suspects.end(), [](const auto &left, const auto &right) {
        return std::pair(left.second.crashes.size(), left.second.news)
            < std::pair(right.second.crashes.size(), right.second.news);
    }));
}

} // namespace celeryroute
