#include <celeryroute/detail/entry/hostdirectory.h>

namespace celeryroute {

namespace {

bool sameLink(const HostEntry &left, const HostEntry &right)
{
    return left.role == right.role && left.address == right.address;
}

} // namespace

HostDirectory::HostDirectory(TransportContext &context, LinkTimeouts timeouts, std::string ownHost)
    : m_context(context)
    , m_timeouts(timeouts)
    , m_ownHost(std::move(ownHost))
{}

std::vector<std::string>
HostDirectory::update(const std::vector<HostEntry> &hosts, const std::set<std::string> &inUse, TimePoint now)
{
    std::map<std::string, const HostEntry *> wanted;
    for (const HostEntry &host : hosts) {
        if (host.role == HostRole::Agent || host.host != m_ownHost) {
            wanted[host.host] = &host;
        }
    }
    std::vector<std::string> closed;
    for (auto link = m_links.begin(); link != m_links.end();) {
        const auto found = wanted.find(link->first);
        if (found != wanted.end() && sameLink(*found->second, link->second->host())) {
            link->second->setHost(*found->second);
            m_unlisted.erase(link->first);
            ++link;
        } else if (found == wanted.end() && inUse.contains(link->first)) {
            link->second->setState(HostState::Leaving);
            m_unlisted.insert(link->first);
            ++link;
        } else {
            closed.push_back(link->first);
            m_unlisted.erase(link->first);
            link = m_links.erase(link);
        }
    }
    for (const auto &[name, host] : wanted) {
        if (m_links.count(name) == 0) {
            m_links.emplace(name, std::make_unique<HostLink>(m_context, *host, m_timeouts, now));
        }
    }
    return closed;
}

bool HostDirectory::closeUnlisted(const std::set<std::string> &inUse)
{
    const std::size_t closed = std::erase_if(m_unlisted, [this, &inUse](const std::string &host) {
        return !inUse.contains(host) && m_links.erase(host) > 0;
    });
    return closed > 0;
}

bool HostDirectory::hasUnlisted() const
{
    return !m_unlisted.empty();
}

HostLink *HostDirectory::find(const std::string &host)
{
    const auto found = m_links.find(host);
    return found == m_links.end() ? nullptr : found->second.get();
}

std::vector<std::string> HostDirectory::reachableEntries(TimePoint now) const
{
    std::vector<std::string> incarnations;
    for (const auto &[name, link] : m_links) {
        if (link->host().role == HostRole::Entry && link->usable(now)) {
            incarnations.push_back(link->incarnation());
        }
    }
    return incarnations;
}

std::map<std::string, std::unique_ptr<HostLink>> &HostDirectory::links()
{
    return m_links;
}

} // namespace celeryroute
