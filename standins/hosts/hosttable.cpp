#include <standins/hosttable.h>

namespace celeryroute {

HostTable::HostTable(Duration lag)
    : m_lag(lag)
{}

void HostTable::put(const HostEntry &entry, TimePoint now)
{
    m_changes.push_back(Change{now + m_lag, entry.host, {entry}});
}

void HostTable::remove(const std::string &host, TimePoint now)
{
    m_changes.push_back(Change{now + m_lag, host, {}});
}

std::vector<HostEntry> HostTable::visible(TimePoint now)
{
    while (!m_changes.empty() && m_changes.front().due <= now) {
        const Change &change = m_changes.front();
        m_hosts.erase(change.host);
        if (!change.entry.empty()) {
            m_hosts.emplace(change.host, change.entry.front());
        }
        m_changes.pop_front();
    }
    std::vector<HostEntry> entries;
    for (const auto &[host, entry] : m_hosts) {
        entries.push_back(entry);
    }
    return entries;
}

} // namespace celeryroute
