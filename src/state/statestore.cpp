#include <celeryroute/detail/state/statestore.h>

#include <utility>

namespace celeryroute {

StateStore::StateStore()
    : m_state(std::make_shared<const FleetState>())
{}

std::shared_ptr<const FleetState> StateStore::state() const
{
    absl::ReaderMutexLock lock(&m_mutex);
    return m_state;
}

// The old state is destroyed after the lock is released: it may be the last reference to large tables.
void StateStore::publish(const FleetState &state)
{
    auto next = std::make_shared<const FleetState>(state);
    absl::MutexLock lock(&m_mutex);
    if (next->nextOffset() >= m_state->nextOffset()) {
        m_state.swap(next);
    }
}

bool StateStore::isFresh(TimePoint now) const
{
    return now < m_freshUntil.load(std::memory_order_acquire);
}

TimePoint StateStore::freshUntil() const
{
    return m_freshUntil.load(std::memory_order_acquire);
}

void StateStore::setFreshUntil(TimePoint time)
{
    m_freshUntil.store(time, std::memory_order_release);
}

} // namespace celeryroute
