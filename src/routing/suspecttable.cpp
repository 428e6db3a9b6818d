#include <celeryroute/detail/routing/suspecttable.h>

#include <algorithm>
#include <chrono>

namespace celeryroute {

namespace {

constexpr Duration CrashRetention = std::chrono::hours(2);
constexpr std::size_t MaxCrashes = 4096;
/// A request involved in this many unexplained crashes is quarantined.
constexpr std::size_t MaxCrashesPerRequest = 2;

} // namespace

std::vector<CrashNotice> SuspectTable::recordCrash(const std::string &host,
                                                   const std::string &crashId,
                                                   const std::vector<std::string> &digests,
                                                   TimePoint now)
{
    std::vector<CrashNotice> notices;
    for (const std::string &digest : digests) {
        notices.push_back({digest, crashId, host, digests.size() == 1, false});
        merge(notices.back(), now);
    }
    return notices;
}

std::vector<CrashNotice> SuspectTable::recordFinishedAlone(const std::string &digest)
{
    std::vector<CrashNotice> notices;
    const auto found = m_crashIds.find(digest);
    if (found == m_crashIds.end()) {
        return notices;
    }
    for (const std::string &crashId : found->second) {
        Crash &crash = m_crashes.at(crashId);
        if (!crash.alone && crash.cleared.insert(digest).second) {
            notices.push_back({digest, crashId, crash.host, false, true});
        }
    }
    return notices;
}

bool SuspectTable::merge(const CrashNotice &notice, TimePoint now)
{
    const auto [position, isNew] = m_crashes.try_emplace(notice.crashId);
    Crash &crash = position->second;
    if (isNew) {
        crash.host = notice.host;
        crash.firstSeen = now;
    }
    crash.alone = crash.alone || notice.alone;
    std::set<std::string> &facts = notice.cleared ? crash.cleared : crash.suspects;
    const bool changed = facts.insert(notice.requestDigest).second;
    m_crashIds[notice.requestDigest].insert(notice.crashId);
    if (m_crashes.size() > MaxCrashes) {
        const auto oldest = std::min_element(
            m_crashes.begin(),
            m_crashes.end(),
            [](const auto &left, const auto &right) { return left.second.firstSeen < right.second.firstSeen; });
        forget(std::string(oldest->first));
    }
    return changed;
}

// A request is quarantined after two crashes that no other request explains, even if it never ran
// alone, so that it cannot crash a third target. A request is no longer a suspect for a crash once another
// request is confirmed as its cause.
SuspectStatus SuspectTable::status(const std::string &digest) const
{
    if (isConfirmedCause(digest)) {
        return SuspectStatus::Quarantined;
    }
    std::size_t unexplained = 0;
    for (const Crash *crash : crashesOf(digest)) {
        unexplained += isExplained(*crash, digest) ? 0 : 1;
    }
    if (unexplained >= MaxCrashesPerRequest) {
        return SuspectStatus::Quarantined;
    }
    return unexplained > 0 ? SuspectStatus::Suspect : SuspectStatus::Clear;
}

void SuspectTable::expire(TimePoint now)
{
    std::vector<std::string> old;
    for (const auto &[crashId, crash] : m_crashes) {
        if (now - crash.firstSeen >= CrashRetention) {
            old.push_back(crashId);
        }
    }
    for (const std::string &crashId : old) {
        forget(crashId);
    }
}

std::vector<const SuspectTable::Crash *> SuspectTable::crashesOf(const std::string &digest) const
{
    std::vector<const Crash *> crashes;
    const auto found = m_crashIds.find(digest);
    if (found == m_crashIds.end()) {
        return crashes;
    }
    for (const std::string &crashId : found->second) {
        const Crash &crash = m_crashes.at(crashId);
        if (crash.suspects.contains(digest) && !crash.cleared.contains(digest)) {
            crashes.push_back(&crash);
        }
    }
    return crashes;
}

// A request is a confirmed cause if it was involved in two crashes and ran alone in one of them.
bool SuspectTable::isConfirmedCause(const std::string &digest) const
{
    const std::vector<const Crash *> crashes = crashesOf(digest);
    const bool alone = std::any_of(crashes.begin(), crashes.end(), [](const Crash *crash) { return crash->alone; });
    return alone && crashes.size() >= MaxCrashesPerRequest;
}

bool SuspectTable::isExplained(const Crash &crash, const std::string &besides) const
{
    return std::any_of(crash.suspects.begin(), crash.suspects.end(), [&](const std::string &other) {
        return other != besides && isConfirmedCause(other);
    });
}

void SuspectTable::forget(const std::string &crashId)
{
    const auto found = m_crashes.find(crashId);
    std::set<std::string> digests = found->second.suspects;
    digests.insert(found->second.cleared.begin(), found->second.cleared.end());
    for (const std::string &digest : digests) {
        const auto ids = m_crashIds.find(digest);
        ids->second.erase(crashId);
        if (ids->second.empty()) {
            m_crashIds.erase(ids);
        }
    }
    m_crashes.erase(found);
}

} // namespace celeryroute
