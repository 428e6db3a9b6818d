#include <celeryroute/detail/gateway/crashsuspects.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr std::uint32_t CrashesToQuarantine = 3;
constexpr Duration DeathDelay = std::chrono::seconds(4); ///< Until a death shows in the registry.
constexpr Duration MarkLifetime = std::chrono::minutes(2);
constexpr std::size_t MaxUnanswered = 512;
constexpr std::size_t MaxMarks = 2048;
constexpr std::size_t MaxToldMarks = 32;

} // namespace

void CrashSuspects::noteUnanswered(std::uint64_t request,
                                   const std::string &target,
                                   TimePoint now,
                                   const std::string &id)
{
    expire(now);
    m_unanswered.push_back({request, target, now, id});
    if (m_unanswered.size() > MaxUnanswered) {
        m_unanswered.pop_front();
    }
}

void CrashSuspects::noteAnswered(std::uint64_t request, TimePoint now)
{
    std::erase_if(m_unanswered, [request](const Unanswered &entry) { return entry.request == request; });
    if (m_crashes.erase(request) == 0) {
        return;
    }
    for (Marked &marked : m_marks) {
        marked.cleared = marked.cleared || marked.mark.request == request;
    }
    expire(now);
}

std::vector<CrashSuspects::Suspicion> CrashSuspects::targetDied(const std::string &target, TimePoint now)
{
    expire(now);
    std::vector<Suspicion> marked;
    for (const Unanswered &entry : m_unanswered) {
        if (entry.target == target && add({entry.request, target}, now)) {
            marked.push_back({entry.id, entry.request, crashes(entry.request)});
        }
    }
    std::erase_if(m_unanswered, [&target](const Unanswered &entry) { return entry.target == target; });
    return marked;
}

bool CrashSuspects::merge(const CrashMark &mark, TimePoint now)
{
    expire(now);
    return add(mark, now);
}

bool CrashSuspects::add(const CrashMark &mark, TimePoint now)
{
    const bool known = std::any_of(m_marks.begin(), m_marks.end(), [&mark](const Marked &marked) {
        return marked.mark == mark;
    });
    if (known) {
        return false;
    }
    m_marks.push_back({mark, now});
    ++m_crashes[mark.request];
    if (m_marks.size() > MaxMarks) {
        m_marks.pop_front();
    }
    return true;
}

bool CrashSuspects::quarantined(std::uint64_t request, TimePoint) const
{
    return crashes(request) >= CrashesToQuarantine;
}

std::uint32_t CrashSuspects::crashes(std::uint64_t request) const
{
    const auto found = m_crashes.find(request);
    return found == m_crashes.end() ? 0 : found->second;
}

std::vector<CrashMark> CrashSuspects::marks() const
{
    std::vector<CrashMark> marks;
    for (auto marked = m_marks.rbegin(); marked != m_marks.rend() && marks.size() < MaxToldMarks; ++marked) {
        if (!marked->cleared) {
            marks.push_back(marked->mark);
        }
    }
    return marks;
}

void CrashSuspects::expire(TimePoint now)
{
    while (!m_unanswered.empty() && now - m_unanswered.front().at > DeathDelay) {
        m_unanswered.pop_front();
    }
    while (!m_marks.empty() && now - m_marks.front().at > MarkLifetime) {
        const Marked &oldest = m_marks.front();
        const auto crashes = m_crashes.find(oldest.mark.request);
        if (!oldest.cleared && crashes != m_crashes.end() && --crashes->second == 0) {
            m_crashes.erase(crashes);
        }
        m_marks.pop_front();
    }
}

} // namespace celeryroute
