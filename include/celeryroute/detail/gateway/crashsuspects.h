#pragma once

#include <celeryroute/detail/gateway/crashingparts.h>
#include <celeryroute/detail/gateway/crashmark.h>
#include <celeryroute/detail/gateway/crashnews.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace celeryroute {

/// A send that ended without an answer.
struct UnansweredSend {
    std::uint64_t request = 0;
    std::string target;
    std::int64_t bornMs = 0; ///< Start of the target's lifetime, in Unix milliseconds.
    TimePoint sentAt;
    std::string id = {}; ///< Request id of the caller, for the log.
    std::vector<std::uint64_t> parts = {}; ///< Digests of the prompt parts that other requests may share.
    bool operator==(const UnansweredSend &) const = default;
};

/// Detects requests that crash their targets, from sends that got no answer before a target died.
///
/// A request is quarantined after it was lost in crashes of several targets without any answer in
/// between. Other requests that ran at the same targets are answered by a retry elsewhere, which clears
/// them. The death of a target is detected some seconds late, so until then every send without an
/// answer counts as a crash.
class CrashSuspects
{
public:
    /// A request that was newly marked as the possible cause of a crash.
    struct Suspicion {
        std::string id; ///< Request id of the caller, from the send that was not answered.
        std::uint64_t request = 0; ///< Digest of customer, path and body.
        std::size_t crashes = 0; ///< Crashes of the request that count so far.
        std::vector<std::uint64_t> parts = {}; ///< Digests of the prompt parts that other requests may share.
        bool operator==(const Suspicion &) const = default;
    };

    CrashSuspects();

    /// @brief Sets the interval at which targets renew their registry records.
    void setHeartbeatInterval(Duration heartbeat);

    /// @brief Records a send that ended without an answer.
    /// @return the new suspicion, if the target is already known to have died after the send
    std::optional<Suspicion> noteUnanswered(const UnansweredSend &send, TimePoint now);
    /// @brief Clears @p request of its crashes so far, because it was answered.
    void noteAnswered(std::uint64_t request, TimePoint now);
    /// @brief Marks all requests that recently got no answer from @p target, which has died.
    std::vector<Suspicion> targetDied(const std::string &target, TimePoint now);
    /// @brief Merges a mark that another entry sent.
    /// @return whether the crash was not known before
    bool merge(const CrashMark &mark, TimePoint now);

    /// @brief Whether @p request must not be sent. Asking extends the quarantine of a quarantined request.
    bool isQuarantined(std::uint64_t request, TimePoint now);
    /// @brief Number of crashes of @p request since it was last answered.
    std::size_t crashes(std::uint64_t request) const;

    /// @brief All marks and answers that other entries may need, the most useful ones first. Unanswered sends are only
    /// told by the entry that sent them.
    std::vector<CrashNews> news(TimePoint now);
    /// @brief Whether news() has any.
    bool hasNews() const
    {
        return !m_suspects.empty() || !m_unanswered.empty() || m_parts.hasAnswers();
    }
    /// @brief Number of the newest mark or answer so far.
    std::uint64_t lastNumber() const
    {
        return m_parts.lastNumber();
    }
    /// @brief Number under which the crash of @p mark is known here, or 0.
    std::uint64_t numberOf(const CrashMark &mark) const;

    /// @brief Prompt parts that crash targets, as the same crashes show.
    CrashingParts &parts()
    {
        return m_parts;
    }

private:
    struct PendingSend {
        UnansweredSend send;
        TimePoint at;
        std::uint64_t number = 0;
        bool own = true; ///< Sent by this entry.
    };
    struct Crash {
        std::string target;
        std::int64_t bornMs = 0;
        std::uint64_t number = 0;
        bool own = true; ///< Of a send of this entry.
        TimePoint sentAt;
        TimePoint endedAt;
        std::vector<std::uint64_t> parts;
        bool sameAs(const Crash &other) const
        {
            return target == other.target && bornMs == other.bornMs;
        }
    };
    struct Suspect {
        std::vector<Crash> crashes; ///< Crashes since the request was last answered.
        std::vector<Crash> cleared; ///< Crashes before that answer.
        TimePoint updated; ///< Last crash, or last attempt to send it while quarantined.
    };

    bool add(std::uint64_t request, const Crash &crash, TimePoint now);
    std::optional<Suspicion> mark(const UnansweredSend &send, bool own, TimePoint endedAt, TimePoint now);
    void addPending(const UnansweredSend &send, bool own, TimePoint now);
    void expire(TimePoint now);
    void evictSuspect();

    Duration m_deathDetectionDelay; ///< Longest time from the death of a target until the registry shows it.
    std::deque<PendingSend> m_unanswered; ///< Sends without an answer, oldest first.
    std::unordered_map<std::string, TimePoint> m_deaths; ///< When the last death of each target was detected.
    std::unordered_map<std::uint64_t, Suspect> m_suspects;
    CrashingParts m_parts;
    TimePoint m_nextExpiry;
};

} // namespace celeryroute
