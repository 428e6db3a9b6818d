#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace celeryroute {

/// A request that was running at a target when the target died.
struct CrashMark {
    std::uint64_t request = 0; ///< Digest of caller, path and body.
    std::string target;
    std::int64_t bornMs = 0; ///< Of the lifetime that ended.
    bool pending = false; ///< The request got no answer; whether the target died is not known yet.
    bool operator==(const CrashMark &) const = default;
};

/// A send that ended without an answer.
struct LostSend {
    std::uint64_t request = 0;
    std::string target;
    std::int64_t bornMs = 0; ///< Of the target's lifetime.
    TimePoint sentAt;
    std::string id = {}; ///< The caller's, for the log.
    bool operator==(const LostSend &) const = default;
};

/// Finds requests that crash the targets that run them, by what ended there and was never answered.
///
/// A request is quarantined after crashes of several targets with no answer to it in between.
/// Innocent requests that ran beside it are answered elsewhere, which clears them. A death shows some
/// seconds late, so until then a send without an answer counts like a crash.
class CrashSuspects
{
public:
    /// A request that was marked.
    struct Suspicion {
        std::string id; ///< The caller's, of the send that was not answered.
        std::uint64_t request = 0;
        std::size_t crashes = 0; ///< Marks that count.
        bool operator==(const Suspicion &) const = default;
    };

    CrashSuspects();

    /// @brief Targets renew their records in the registry about so often.
    void useHeartbeat(Duration heartbeat);

    /// @return what was marked, if the target is known to have died meanwhile
    std::optional<Suspicion> noteUnanswered(const LostSend &send, TimePoint now);
    void noteAnswered(std::uint64_t request, TimePoint now);
    /// @brief A lifetime of @p target has ended; marks what was lost there shortly before.
    std::vector<Suspicion> targetDied(const std::string &target, TimePoint now);
    /// @brief Takes in a mark of another entry.
    /// @return whether it is of a crash that was not known
    bool merge(const CrashMark &mark, TimePoint now);

    /// @brief Whether @p request must not be sent. One that comes again is remembered for longer.
    bool quarantined(std::uint64_t request, TimePoint now);
    /// @brief Marks of @p request that count.
    std::size_t crashes(std::uint64_t request) const;

    /// @brief Marks for one message to all other entries. Each is told several times, and all anew when
    /// @p joins, the number of times that an entry came in touch, has changed.
    std::vector<CrashMark> marks(std::uint64_t joins);

private:
    struct Ended {
        LostSend send;
        TimePoint at;
        std::uint32_t told = 0;
    };
    struct Crash {
        std::string target;
        std::int64_t bornMs = 0;
        std::uint32_t told = 0; ///< Messages that it was in.
        bool sameAs(const Crash &other) const
        {
            return target == other.target && bornMs == other.bornMs;
        }
    };
    struct Candidate {
        CrashMark mark;
        std::size_t crashes;
        std::uint32_t *told;
    };
    struct Suspect {
        std::vector<Crash> crashes; ///< Since it was last answered.
        std::vector<Crash> cleared; ///< Crashes before that.
        TimePoint news; ///< Last crash or return.
    };

    bool add(std::uint64_t request, const Crash &crash, TimePoint now);
    std::optional<Suspicion> mark(const LostSend &send, TimePoint now);
    void remember(const LostSend &send, std::uint32_t told, TimePoint now);
    std::vector<Candidate> candidates(bool again);
    void expire(TimePoint now);
    void makeRoom();

    Duration m_deathDelay; ///< Until a death shows in the registry.
    std::deque<Ended> m_lost; ///< Oldest first.
    std::unordered_map<std::string, TimePoint> m_died; ///< Targets, and when that was noticed last.
    std::unordered_map<std::uint64_t, Suspect> m_suspects;
    std::uint64_t m_joins = 0;
    bool m_telling = false; ///< Some marks have not been told often enough.
    TimePoint m_nextExpiry;
};

} // namespace celeryroute
