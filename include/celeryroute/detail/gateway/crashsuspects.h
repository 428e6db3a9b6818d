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
    /// @brief A send of @p request ended without an answer at @p target.
    void noteUnanswered(std::uint64_t request, const std::string &target, TimePoint now);
    void noteAnswered(std::uint64_t request, TimePoint now);
    /// @brief @p target has died; marks what had ended there without an answer shortly before.
    void targetDied(const std::string &target, TimePoint now);
    /// @brief Takes in a mark of another entry.
    void merge(const CrashMark &mark, TimePoint now);

    bool quarantined(std::uint64_t request, TimePoint now) const;
    /// @brief The newest marks, for the other entries.
    std::vector<CrashMark> marks() const;

private:
    struct Unanswered {
        std::uint64_t request;
        std::string target;
        TimePoint at;
    };
    struct Marked {
        CrashMark mark;
        TimePoint at;
        bool cleared = false;
    };

    void add(const CrashMark &mark, TimePoint now);
    void expire(TimePoint now);

    std::deque<Unanswered> m_unanswered; ///< Oldest first.
    std::deque<Marked> m_marks; ///< Oldest first.
    std::unordered_map<std::uint64_t, std::uint32_t> m_crashes; ///< Marks that count, by request.
};

} // namespace celeryroute
