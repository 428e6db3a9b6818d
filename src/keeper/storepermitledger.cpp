#include <celeryroute/detail/keeper/storepermitledger.h>

#include <algorithm>
#include <utility>

namespace celeryroute {

StorePermitLedger::StorePermitLedger(std::string address, TimePoint started, bool firstStart)
    : m_address(std::move(address))
    , m_started(started)
    , m_firstStart(firstStart)
{}

void StorePermitLedger::setLimit(std::uint32_t loads, Duration window)
{
    m_limit = loads;
    m_window = window;
}

// An agent uses a permit within Validity of its request, and the order is carried out within OrderLifetime or never.
Duration StorePermitLedger::holding() const
{
    return Validity + OrderLifetime + m_window;
}

void StorePermitLedger::noteEntries(const std::vector<std::string> &others, TimePoint now)
{
    for (const std::string &entry : others) {
        m_entries[entry] = now;
    }
    std::erase_if(m_entries, [&](const auto &entry) { return now - entry.second > holding(); });
}

// The entries are ranked by address, and the first ones get the remainder of the division. If each counts at least the
// entries that hold permits, the sum of all parts is at most the limit: one that counts more has a part that is not
// larger, since neither its rank falls nor the quotient rises.
std::uint32_t StorePermitLedger::share(TimePoint now) const
{
    std::uint32_t members = 1;
    std::uint32_t rank = 0;
    for (const auto &[entry, named] : m_entries) {
        if (now - named <= holding()) {
            ++members;
            rank += entry < m_address ? 1 : 0;
        }
    }
    return m_limit / members + (rank < m_limit % members ? 1 : 0);
}

void StorePermitLedger::expire(TimePoint now)
{
    std::erase_if(m_permits, [now](const auto &permit) { return permit.second.until < now; });
}

std::uint32_t StorePermitLedger::occupied(TimePoint now) const
{
    return static_cast<std::uint32_t>(std::count_if(m_permits.begin(), m_permits.end(), [now](const auto &permit) {
        return permit.second.until >= now;
    }));
}

std::optional<Duration> StorePermitLedger::tryGrant(const StorePermitId &id, TimePoint now)
{
    const TimePoint open = m_started + DiscoveryTime + (m_firstStart ? Duration::zero() : holding());
    if (now < open) {
        return open - now;
    }
    expire(now);
    if (m_permits.contains(id)) {
        return std::nullopt;
    }
    if (m_permits.size() >= share(now)) {
        TimePoint first = now + m_window;
        for (const auto &[known, permit] : m_permits) {
            first = std::min(first, permit.until);
        }
        return std::max(first - now, Duration(std::chrono::milliseconds(1)));
    }
    m_permits[id] = {now + holding(), false};
    return std::nullopt;
}

void StorePermitLedger::noteBegun(const StorePermitId &id, TimePoint now)
{
    const auto permit = m_permits.find(id);
    if (permit != m_permits.end() && !permit->second.begun) {
        permit->second = {std::min(permit->second.until, now + m_window), true};
    }
}

void StorePermitLedger::noteUnused(const StorePermitId &id)
{
    const auto permit = m_permits.find(id);
    if (permit != m_permits.end() && !permit->second.begun) {
        m_permits.erase(permit);
    }
}

} // namespace celeryroute
