#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace celeryroute {

/// A request that was running at a target when the target died.
struct CrashMark {
    std::uint64_t request = 0; ///< Digest of path and body.
    std::string crash; ///< The target's instance; equal at all entries.
    auto operator<=>(const CrashMark &) const = default;
};

/// Finds requests that crash the targets that run them, by what ended there and was never answered.
///
/// A request is quarantined after crashes of several targets with no answer to it in between.
/// Innocent requests that ran beside it are answered elsewhere, which clears them.
class CrashSuspects
{
public:
    /// A request that was marked.
    struct Suspicion {
        std::string id; ///< The caller's, of the send that was not answered.
        std::uint64_t request = 0;
        std::uint32_t crashes = 0; ///< Marks that count.
        bool operator==(const Suspicion &) const = default;
    };

    /// @brief A send of @p request, called @p id by its caller, ended without an answer at @p target.
    void noteUnanswered(std::uint64_t request, const std::string &target, TimePoint now, const std::string &id = {});
    void noteAnswered(std::uint64_t request, TimePoint now);
    /// @brief @p target has died; marks what had ended there without an answer shortly before.
    std::vector<Suspicion> targetDied(const std::string &target, TimePoint now);
    /// @brief Takes in a mark of another entry; false when it is known.
    bool merge(const CrashMark &mark, TimePoint now);

    bool quarantined(std::uint64_t request, TimePoint now) const;
    /// @brief Marks of @p request that count.
    std::uint32_t crashes(std::uint64_t request) const;
    /// @brief The newest marks, for the other entries.
    std::vector<CrashMark> marks() const;

private:
    struct Unanswered {
        std::uint64_t request;
        std::string target;
        TimePoint at;
        std::string id;
    };
    struct Marked {
        CrashMark mark;
        TimePoint at;
        bool cleared = false;
    };

    bool add(const CrashMark &mark, TimePoint now);
    void expire(TimePoint now);

    std::deque<Unanswered> m_unanswered; ///< Oldest first.
    std::deque<Marked> m_marks; ///< Oldest first.
    std::unordered_map<std::uint64_t, std::uint32_t> m_crashes; ///< Marks that count, by request.
};

} // namespace celeryroute
