#include <celeryroute/detail/residency/membershipview.h>

namespace celeryroute {

namespace {

/// A longer gap between two host lists restarts the ExpireAfter period, because changes in the gap are unknown.
constexpr Duration MaxReadingGap = std::chrono::seconds(15);

} // namespace

MembershipView::MembershipView(std::string pool)
    : m_pool(std::move(pool))
{}

void MembershipView::update(const std::vector<HostEntry> &hosts, TimePoint now)
{
    if (!m_updated || now - m_lastUpdate > MaxReadingGap) {
        m_firstUpdate = now;
        m_lastListed.clear();
    }
    m_updated = true;
    m_lastUpdate = now;
    m_live.clear();
    m_leaving.clear();
    for (const HostEntry &entry : hosts) {
        if (entry.role != HostRole::Agent || entry.pool != m_pool) {
            continue;
        }
        m_lastListed[entry.host] = now;
        if (entry.state == HostState::Live) {
            m_live.push_back({entry.host, entry.domain});
        } else {
            m_leaving.insert(entry.host);
        }
    }
}

const std::vector<PlacementHost> &MembershipView::liveHosts() const
{
    return m_live;
}

bool MembershipView::isLeaving(const std::string &host) const
{
    return m_leaving.contains(host);
}

std::set<std::string> MembershipView::expiredHosts(const std::set<std::string> &holders, TimePoint now) const
{
    std::set<std::string> expired;
    if (!m_updated || now - m_lastUpdate > MaxReadingGap) {
        return expired;
    }
    for (const std::string &host : holders) {
        const auto listed = m_lastListed.find(host);
        const TimePoint last = listed == m_lastListed.end() ? m_firstUpdate : listed->second;
        if (now - last >= ExpireAfter) {
            expired.insert(host);
        }
    }
    return expired;
}

} // namespace celeryroute
