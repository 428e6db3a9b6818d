#pragma once

#include <celeryroute/detail/gateway/answeredparts.h>
#include <celeryroute/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace celeryroute {

/// A send that ended without an answer, with the prompt parts that other requests may share.
struct PartCrash {
    std::uint64_t request = 0; ///< Digest of customer, path and body.
    std::string target;
    std::int64_t bornMs = 0; ///< Start of the target's lifetime, in Unix milliseconds.
    TimePoint sentAt;
    TimePoint endedAt;
    std::vector<std::uint64_t> parts; ///< Digests, in the order of the prompt.
    bool pending = false; ///< The target is not known to have died.
    bool operator==(const PartCrash &) const = default;
};

/// A complete answer to a request with a part. Exchanged between entries.
struct PartAnswer {
    std::uint64_t part = 0;
    Duration age{}; ///< Time since the answer.
    bool operator==(const PartAnswer &) const = default;
};

/// A part that was found to crash targets, or is no longer suspected of it.
struct PartChange {
    std::uint64_t part = 0;
    bool crashing = false;
    std::size_t crashes = 0; ///< Crashes in a row on which the finding rests.
    bool answeredBefore = false;
    bool operator==(const PartChange &) const = default;
};

/// Detects prompt parts that crash every target that runs a request with them.
///
/// Load pattern: requests that have one part in common and differ otherwise crash target after target, while sound
/// requests share their customer and their other parts and are cut off by the same crashes.
///
/// A part is found to crash targets after several crashes in a row, each of a send that began after the one before had
/// ended, with no complete answer to any request with the part since. Sends that a common cause ends at the same time,
/// such as a power loss, count as one crash. If several parts qualify, the likeliest one explains all crashes of
/// requests with it, and only the remaining crashes count against the other parts.
class CrashingParts
{
public:
    /// @brief Sets how long an unanswered send counts while its target is not known to have died.
    void setDeathDetectionDelay(Duration delay);

    /// @brief Records a send without an answer, or that the target of one already recorded has died.
    void add(const PartCrash &crash, TimePoint now);
    /// @brief Records that @p target has died.
    void targetDied(const std::string &target);
    /// @brief Records a complete answer to a request with @p parts.
    void noteAnswered(const std::vector<std::uint64_t> &parts, TimePoint now);
    /// @brief Those of @p parts that were not answered after a crash at @p endedAt.
    std::vector<std::uint64_t> uncleared(std::vector<std::uint64_t> parts, TimePoint endedAt) const;
    /// @brief Merges an answer that another entry has seen.
    void merge(const PartAnswer &answer, TimePoint now);

    /// @brief The first of @p parts that crashes targets. Asking extends the time for which this is remembered.
    std::optional<std::uint64_t> find(const std::vector<std::uint64_t> &parts, TimePoint now);
    /// @brief Changes since the last call, for the log.
    std::vector<PartChange> takeChanges();
    /// An answer that clears a part of recorded crashes, with its number.
    struct NumberedAnswer {
        std::uint64_t number = 0;
        PartAnswer answer;
        bool operator==(const NumberedAnswer &) const = default;
    };
    /// @brief Answers seen here that clear parts of recorded crashes, for the other entries.
    std::vector<NumberedAnswer> answers(TimePoint now) const;
    /// @brief Whether an answer to one of these parts may still be needed elsewhere.
    bool hasAnswers() const
    {
        return !m_toldAnswers.empty();
    }
    /// @brief The next number of a mark or answer.
    std::uint64_t takeNumber()
    {
        return ++m_lastNumber;
    }
    std::uint64_t lastNumber() const
    {
        return m_lastNumber;
    }

private:
    using Lifetime = std::pair<std::string, std::int64_t>; ///< Target and start.

    struct Interval {
        std::size_t lifetime; ///< Index among the lifetimes that ended.
        TimePoint sentAt;
        TimePoint endedAt;
    };
    struct Suspect {
        std::vector<Interval> crashes; ///< Since the last answer; one for each lifetime.
        std::size_t position = 0; ///< Latest position in a prompt.
    };
    struct Evidence {
        std::map<std::uint64_t, Suspect> suspects; ///< By part.
        std::size_t lifetimes = 0; ///< Number of lifetimes of targets that ended.
    };
    struct ToldAnswer {
        TimePoint at;
        std::uint64_t number = 0;
    };

    void expire(TimePoint now);
    void assess(TimePoint now);
    void evictCrash();
    void forgetUnusedAnswers();
    void noteAnyAnswer(TimePoint at);
    bool isCleared(std::uint64_t part, TimePoint crashedAt) const;
    Evidence collectEvidence() const;
    std::optional<PartChange> likeliestCause(const Evidence &evidence, const std::vector<bool> &explained) const;
    void replaceFindings(std::map<std::uint64_t, PartChange> findings, TimePoint now);

    Duration m_deathDetectionDelay = std::chrono::seconds(4);
    std::vector<PartCrash> m_crashes; ///< Oldest first.
    AnsweredParts m_answered;
    TimePoint m_lastAnswer = TimePoint::min(); ///< To a request with any parts.
    std::unordered_set<std::uint64_t> m_uncleared; ///< Parts of crashes that no answer has cleared.
    std::map<std::uint64_t, ToldAnswer> m_toldAnswers;
    std::unordered_map<std::uint64_t, TimePoint> m_crashing; ///< Crashing parts and when they were last asked for.
    std::vector<PartChange> m_changes;
    bool m_stale = false; ///< The crashing parts must be determined anew.
    TimePoint m_nextExpiry;
    std::uint64_t m_lastNumber = 0;
};

} // namespace celeryroute
