#pragma once

#include <celeryroute/time.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace celeryroute {

/// One fact about a request and a crash of a target, as sent between processes.
struct CrashNotice {
    std::string requestDigest;
    std::string crashId; ///< Unique per crash.
    std::string host; ///< Whose target crashed.
    bool alone = false; ///< Nothing else ran at the target.
    bool cleared = false; ///< The request has since finished alone, so it did not cause the crash.
    bool operator==(const CrashNotice &) const = default;
};

/// How a request may run.
enum class SuspectVerdict {
    Clear,
    Suspect, ///< Alone on its target.
    Quarantined, ///< Not at all.
};

/// Finds the requests that crash targets.
///
/// The verdict depends only on the set of notices, so processes that received the same ones in any
/// order, any number of times, agree.
class SuspectTable
{
public:
    /// @brief A target died while the requests @p digests ran; returns the notices to send.
    std::vector<CrashNotice> targetDied(const std::string &host,
                                        const std::string &crashId,
                                        const std::vector<std::string> &digests,
                                        TimePoint now);

    /// @brief A suspect finished while it ran alone; returns the notices to send.
    std::vector<CrashNotice> finishedAlone(const std::string &digest);

    /// @brief Takes in a notice; false when it was known.
    bool merge(const CrashNotice &notice, TimePoint now);

    SuspectVerdict verdict(const std::string &digest) const;

    /// @brief Forgets crashes that were first heard of long ago. Quarantines that must outlast this
    /// are recorded in the platform's log.
    void expire(TimePoint now);

    std::size_t crashes() const
    {
        return m_crashes.size();
    }

private:
    struct Crash {
        std::string host;
        TimePoint heard{};
        bool alone = false;
        std::set<std::string> suspects;
        std::set<std::string> cleared;
    };

    std::vector<const Crash *> crashesOf(const std::string &digest) const;
    bool proved(const std::string &digest) const;
    bool explained(const Crash &crash, const std::string &besides) const;
    void forget(const std::string &crashId);

    std::map<std::string, Crash> m_crashes;
    std::map<std::string, std::set<std::string>> m_crashIds; ///< By request digest.
};

} // namespace celeryroute
