#include <celeryroute/detail/gateway/crashingparts.h>

#include <algorithm>
#include <tuple>

namespace celeryroute {

namespace {

/// In a row, for a part that was never answered, while requests without it were.
constexpr std::size_t CrashesOfNewPart = 3;
constexpr std::size_t CrashesOfAnyPart = 5; ///< In a row, for all other parts.
constexpr std::size_t MaxCrashes = 512;
constexpr Duration CrashRetention = std::chrono::minutes(10); ///< After the crash, or the last request with its cause.
constexpr Duration ExpiryInterval = std::chrono::milliseconds(200);

/// Largest number of @p crashes of which each began when the one before had ended.
template <typename Interval>
std::size_t countInRow(std::vector<Interval> crashes)
{
    std::sort(crashes.begin(), crashes.end(), [](const Interval &left, const Interval &right) {
        return left.endedAt < right.endedAt;
    });
    std::size_t count = 0;
    std::optional<TimePoint> lastEnd;
    for (const Interval &crash : crashes) {
        if (!lastEnd || crash.sentAt >= *lastEnd) {
            ++count;
            lastEnd = crash.endedAt;
        }
    }
    return count;
}

} // namespace

void CrashingParts::setDeathDetectionDelay(Duration delay)
{
    m_deathDetectionDelay = delay;
}

void CrashingParts::add(const PartCrash &crash, TimePoint now)
{
    if (crash.parts.empty()) {
        return; // Also marks of entries that don't tell parts yet.
    }
    expire(now);
    const auto known = std::find_if(m_crashes.begin(), m_crashes.end(), [&crash](const PartCrash &other) {
        return other.request == crash.request && other.target == crash.target && other.bornMs == crash.bornMs;
    });
    if (known != m_crashes.end()) {
        known->pending = known->pending && crash.pending;
        // An entry that repeats its mark leaves out the parts that have been answered since.
        const std::size_t removed = std::erase_if(known->parts, [&crash](std::uint64_t part) {
            return std::find(crash.parts.begin(), crash.parts.end(), part) == crash.parts.end();
        });
        m_stale = m_stale || removed > 0;
        return;
    }
    m_crashes.push_back(crash);
    if (m_crashes.size() > MaxCrashes) {
        evictCrash();
    }
    m_uncleared.insert(crash.parts.begin(), crash.parts.end());
    m_stale = true;
}

void CrashingParts::targetDied(const std::string &target)
{
    for (PartCrash &crash : m_crashes) {
        crash.pending = crash.pending && crash.target != target;
    }
}

void CrashingParts::noteAnswered(const std::vector<std::uint64_t> &parts, TimePoint now)
{
    noteAnyAnswer(now);
    for (const std::uint64_t part : parts) {
        m_answered.note(part, now);
        if (m_uncleared.erase(part) > 0) {
            m_toldAnswers[part] = {now, takeNumber()};
            m_stale = true;
        }
    }
}

void CrashingParts::noteAnyAnswer(TimePoint at)
{
    m_stale = m_stale || (!m_crashes.empty() && m_lastAnswer < m_crashes.back().endedAt);
    m_lastAnswer = std::max(m_lastAnswer, at);
}

std::vector<std::uint64_t> CrashingParts::uncleared(std::vector<std::uint64_t> parts, TimePoint endedAt) const
{
    std::erase_if(parts, [this, endedAt](std::uint64_t part) { return isCleared(part, endedAt); });
    return parts;
}

bool CrashingParts::isCleared(std::uint64_t part, TimePoint crashedAt) const
{
    const std::optional<TimePoint> answeredAt = m_answered.lastAnswer(part);
    return answeredAt && *answeredAt >= crashedAt;
}

void CrashingParts::merge(const PartAnswer &answer, TimePoint now)
{
    noteAnyAnswer(now - answer.age);
    m_answered.note(answer.part, now - answer.age);
    m_stale = m_stale || m_uncleared.contains(answer.part);
}

std::optional<std::uint64_t> CrashingParts::find(const std::vector<std::uint64_t> &parts, TimePoint now)
{
    if (m_crashes.empty() && m_crashing.empty()) {
        return std::nullopt;
    }
    expire(now);
    if (m_stale) {
        assess(now);
    }
    for (const std::uint64_t part : parts) {
        const auto found = m_crashing.find(part);
        if (found != m_crashing.end()) {
            found->second = now;
            return part;
        }
    }
    return std::nullopt;
}

std::vector<PartChange> CrashingParts::takeChanges()
{
    return std::exchange(m_changes, {});
}

std::vector<CrashingParts::NumberedAnswer> CrashingParts::answers(TimePoint now) const
{
    std::vector<NumberedAnswer> answers;
    answers.reserve(m_toldAnswers.size());
    for (const auto &[part, told] : m_toldAnswers) {
        answers.push_back({told.number, {part, now - told.at}});
    }
    return answers;
}

void CrashingParts::expire(TimePoint now)
{
    if (m_crashes.empty() || now < m_nextExpiry) {
        return;
    }
    m_nextExpiry = now + ExpiryInterval;
    const auto isAskedFor = [this, now](std::uint64_t part) {
        const auto found = m_crashing.find(part);
        return found != m_crashing.end() && now - found->second <= CrashRetention;
    };
    const std::size_t removed = std::erase_if(m_crashes, [&](const PartCrash &crash) {
        const Duration age = now - crash.endedAt;
        return (crash.pending && age > m_deathDetectionDelay)
            || (age > CrashRetention && std::none_of(crash.parts.begin(), crash.parts.end(), isAskedFor));
    });
    m_stale = m_stale || removed > 0;
}

// Evicts the oldest crash on which no finding rests, or else the oldest one.
void CrashingParts::evictCrash()
{
    const auto isUnexplained = [this](const PartCrash &crash) {
        return std::none_of(crash.parts.begin(), crash.parts.end(), [this](std::uint64_t part) {
            return m_crashing.contains(part);
        });
    };
    const auto victim = std::find_if(m_crashes.begin(), m_crashes.end(), isUnexplained);
    m_crashes.erase(victim != m_crashes.end() ? victim : m_crashes.begin());
}

void CrashingParts::assess(TimePoint now)
{
    m_stale = false;
    const Evidence evidence = collectEvidence();
    m_uncleared.clear();
    for (const auto &[part, suspect] : evidence.suspects) {
        m_uncleared.insert(part);
    }
    std::map<std::uint64_t, PartChange> findings;
    std::vector<bool> explained(evidence.lifetimes);
    while (const std::optional<PartChange> cause = likeliestCause(evidence, explained)) {
        findings.emplace(cause->part, *cause);
        for (const Interval &crash : evidence.suspects.at(cause->part).crashes) {
            explained[crash.lifetime] = true;
        }
    }
    replaceFindings(std::move(findings), now);
    forgetUnusedAnswers();
}

void CrashingParts::forgetUnusedAnswers()
{
    std::unordered_set<std::uint64_t> used;
    for (const PartCrash &crash : m_crashes) {
        used.insert(crash.parts.begin(), crash.parts.end());
    }
    std::erase_if(m_toldAnswers, [&used](const auto &told) { return !used.contains(told.first); });
}

CrashingParts::Evidence CrashingParts::collectEvidence() const
{
    std::map<Lifetime, std::size_t> lifetimes;
    Evidence evidence;
    for (const PartCrash &crash : m_crashes) {
        const std::size_t lifetime = lifetimes.try_emplace({crash.target, crash.bornMs}, lifetimes.size())
                                         .first->second;
        for (std::size_t i = 0; i < crash.parts.size(); ++i) {
            if (isCleared(crash.parts[i], crash.endedAt)) {
                continue;
            }
            Suspect &suspect = evidence.suspects[crash.parts[i]];
            suspect.position = std::max(suspect.position, i);
            const auto same = std::find_if(suspect.crashes.begin(),
                                           suspect.crashes.end(),
                                           [lifetime](const Interval &other) { return other.lifetime == lifetime; });
            if (same == suspect.crashes.end()) {
                suspect.crashes.push_back({lifetime, crash.sentAt, crash.endedAt});
            } else if (crash.sentAt > same->sentAt) {
                // Of several sends that one crash ended, the last one says most about the time of the crash.
                *same = {lifetime, crash.sentAt, crash.endedAt};
            }
        }
    }
    evidence.lifetimes = lifetimes.size();
    return evidence;
}

// A part that was never answered is the likelier cause, then the one with more crashes in a row. Of equal parts the one
// that comes later in a prompt is taken, because fewer requests share it.
std::optional<PartChange> CrashingParts::likeliestCause(const Evidence &evidence,
                                                        const std::vector<bool> &explained) const
{
    std::optional<PartChange> best;
    std::size_t bestPosition = 0;
    for (const auto &[part, suspect] : evidence.suspects) {
        std::vector<Interval> crashes = suspect.crashes;
        std::erase_if(crashes, [&explained](const Interval &crash) { return explained[crash.lifetime]; });
        const PartChange change{part, true, countInRow(crashes), m_answered.lastAnswer(part).has_value()};
        const bool othersAnswered = !crashes.empty() && m_lastAnswer >= crashes.front().endedAt;
        const bool isContrast = othersAnswered && !change.answeredBefore;
        if (change.crashes < (isContrast ? CrashesOfNewPart : CrashesOfAnyPart)) {
            continue;
        }
        if (!best
            || std::tuple(!best->answeredBefore, best->crashes, bestPosition)
                < std::tuple(!change.answeredBefore, change.crashes, suspect.position)) {
            best = change;
            bestPosition = suspect.position;
        }
    }
    return best;
}

void CrashingParts::replaceFindings(std::map<std::uint64_t, PartChange> findings, TimePoint now)
{
    std::erase_if(m_crashing, [&](const auto &crashing) {
        const bool cleared = !findings.contains(crashing.first);
        if (cleared) {
            m_changes.push_back({crashing.first, false, 0, m_answered.lastAnswer(crashing.first).has_value()});
        }
        return cleared;
    });
    for (const auto &[part, finding] : findings) {
        if (m_crashing.try_emplace(part, now).second) {
            m_changes.push_back(finding);
        }
    }
}

} // namespace celeryroute
