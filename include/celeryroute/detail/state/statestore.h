#pragma once

#include <celeryroute/detail/state/fleetstate.h>
#include <celeryroute/time.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <memory>

namespace celeryroute {

/// @brief The newest state of this process; one thread publishes, any thread reads.
class StateStore
{
public:
    StateStore();

    /// @brief The state last published; never null.
    std::shared_ptr<const FleetState> state() const;
    /// @brief Replaces the state; a state older than the current one is ignored.
    void publish(const FleetState &state);

    /// @brief Whether the state is fresh enough at @p now to admit requests with keys.
    bool isFresh(TimePoint now) const;
    /// @brief Time from which isFresh() returns false.
    TimePoint freshUntil() const;
    void setFreshUntil(TimePoint time);

private:
    mutable absl::Mutex m_mutex;
    std::shared_ptr<const FleetState> m_state ABSL_GUARDED_BY(m_mutex);
    std::atomic<TimePoint> m_freshUntil{TimePoint::min()};
};

} // namespace celeryroute
