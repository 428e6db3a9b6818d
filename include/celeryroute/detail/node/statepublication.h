#pragma once

#include <celeryroute/detail/keeper/targetstatus.h>
#include <celeryroute/time.h>

#include <cstddef>
#include <cstdint>

namespace celeryroute {

/// @brief What an agent sends to the entries.
enum class Publication {
    None,
    Load, ///< The load of its target.
    State, ///< The whole state of its target, to the entries with waiting calls only.
    StateToAll, ///< The whole state of its target, to all entries.
};

/// @brief Decides when an agent tells the entries about its target.
///
/// Every agent tells every entry. With many entries, the whole state follows a change with a delay, except to entries
/// with waiting calls; between changes only the load is sent, at intervals that grow with the number of entries.
class StatePublication
{
public:
    /// @brief What to send now.
    /// @param version number of the state of the target, which changes with everything but its load
    Publication due(const TargetStatus &status, std::uint64_t version, std::size_t entries, TimePoint now) const;

    /// @brief When a change that is delayed now is to be sent, or TimePoint::max() if there is none.
    TimePoint changeDue(std::uint64_t version, std::size_t entries) const;

    /// @brief Notes that @p publication was sent.
    void notePublished(Publication publication, const TargetStatus &status, std::uint64_t version, TimePoint now);

    /// @brief Whether an entry that uses @p version lacks a state that was sent to it long enough ago.
    bool needsState(std::uint64_t version, TimePoint now) const;

private:
    TargetStatus m_published; ///< Its load is the one published last.
    std::uint64_t m_versionToAll = 0;
    std::uint64_t m_versionToWaiting = 0;
    TimePoint m_publishedAt;
    TimePoint m_stateToAllAt;
};

} // namespace celeryroute
