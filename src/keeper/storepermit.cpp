#include <celeryroute/detail/keeper/storepermit.h>

#include <celeryroute/detail/keeper/storepermitledger.h>

namespace celeryroute {

std::uint64_t StorePermit::request(TimePoint now)
{
    m_requestedAt = now;
    m_granted = false;
    return ++m_number;
}

bool StorePermit::isValid(TimePoint now) const
{
    return m_requestedAt && now - *m_requestedAt <= StorePermitLedger::Validity;
}

bool StorePermit::noteGranted(std::uint64_t number, TimePoint now)
{
    if (number != m_number || !isValid(now)) {
        return false;
    }
    m_granted = true;
    return true;
}

bool StorePermit::isUsable(TimePoint now) const
{
    return m_granted && isValid(now);
}

std::uint64_t StorePermit::use()
{
    m_requestedAt.reset();
    m_granted = false;
    return m_number;
}

} // namespace celeryroute
