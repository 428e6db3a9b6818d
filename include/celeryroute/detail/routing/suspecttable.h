#pragma once

#include <celeryroute/time.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace celeryroute {

/// States that a request was in flight during a crash of a target, or that it was later cleared of the
/// crash. Sent between processes.
struct CrashNotice {
    std::string requestDigest;
    std::string crashId; ///< Unique per crash.
    std::string host; ///< Host of the target that crashed.
    bool alone = false; ///< Whether no other request ran at the target.
    /// Whether the request has since finished while running alone, so that it did not cause the crash.
    bool cleared = false;
    bool operator==(const CrashNotice &) const = default;
};

/// Restrictions on running a request.
enum class SuspectStatus {
    Clear,
    Suspect, ///< The request must run alone on its target.
    Quarantined, ///< The request must not run.
};

/// Identifies the requests that crash targets.
///
/// The status of a request depends only on the set of merged notices. Processes that received the same
/// notices, in any order and any number of times, agree on it.
class SuspectTable
{
public:
    /// @brief Records that a target crashed while the requests @p digests ran. Returns the notices to send
    /// to the other processes.
    std::vector<CrashNotice> recordCrash(const std::string &host,
                                         const std::string &crashId,
                                         const std::vector<std::string> &digests,
                                         TimePoint now);

    /// @brief Records that a suspect finished while it ran alone. Returns the notices to send to the other
    /// processes.
    std::vector<CrashNotice> recordFinishedAlone(const std::string &digest);

    /// @brief Adds a notice. Returns false if it was already known.
    bool merge(const CrashNotice &notice, TimePoint now);

    SuspectStatus status(const std::string &digest) const;

    /// @brief Removes crashes older than two hours. Quarantines that must last longer are recorded in the
    /// platform's log.
    void expire(TimePoint now);

    std::size_t crashes() const
    {
        return m_crashes.size();
    }

private:
    struct Crash {
        std::string host;
        TimePoint firstSeen{}; ///< Time when the first notice was merged.
        bool alone = false;
        std::set<std::string> suspects;
        std::set<std::string> cleared;
    };

    /// @brief Crashes for which @p digest is a suspect and was not cleared.
    std::vector<const Crash *> crashesOf(const std::string &digest) const;
    bool isConfirmedCause(const std::string &digest) const;
    /// @brief Whether a request other than @p besides is confirmed to have caused @p crash.
    bool isExplained(const Crash &crash, const std::string &besides) const;
    void forget(const std::string &crashId);

    std::map<std::string, Crash> m_crashes;
    std::map<std::string, std::set<std::string>> m_crashIds; ///< By request digest.
};

} // namespace celeryroute
