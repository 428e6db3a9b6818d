#include <standins/faultstate.h>

#include <utility>

namespace celeryroute {

Faults FaultState::faults() const
{
    absl::MutexLock lock(&m_mutex);
    return m_faults;
}

void FaultState::setFaults(const Faults &faults, std::uint64_t lastConnection)
{
    absl::MutexLock lock(&m_mutex);
    if (faults.silent && !m_faults.silent) {
        m_silentUpTo = lastConnection;
    }
    m_faults = faults;
}

bool FaultState::silences(std::uint64_t connection) const
{
    absl::MutexLock lock(&m_mutex);
    return m_faults.silent && connection <= m_silentUpTo;
}

bool FaultState::takeDroppedAnswer()
{
    absl::MutexLock lock(&m_mutex);
    if (m_faults.dropAnswers == 0) {
        return false;
    }
    --m_faults.dropAnswers;
    return true;
}

void FaultState::hold(std::shared_ptr<HttpResponder> responder)
{
    absl::MutexLock lock(&m_mutex);
    m_held.push_back(std::move(responder));
}

void FaultState::releaseHeld()
{
    std::vector<std::shared_ptr<HttpResponder>> released;
    {
        absl::MutexLock lock(&m_mutex);
        released = std::exchange(m_held, {});
    }
}

} // namespace celeryroute
