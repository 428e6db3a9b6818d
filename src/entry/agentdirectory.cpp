#include <celeryroute/detail/entry/agentdirectory.h>

namespace celeryroute {

namespace {

bool sameLink(const HostEntry &left, const HostEntry &right)
{
    return left.address == right.address && left.pool == right.pool && left.domain == right.domain;
}

} // namespace

AgentDirectory::AgentDirectory(TransportContext &context, LinkTimeouts timeouts)
    : m_context(context)
    , m_timeouts(timeouts)
{}

std::vector<std::string> AgentDirectory::update(const std::vector<HostEntry> &hosts, TimePoint now)
{
    std::map<std::string, const HostEntry *> wanted;
    for (const HostEntry &host : hosts) {
        if (host.role == HostRole::Agent) {
            wanted[host.host] = &host;
        }
    }
    std::vector<std::string> closed;
    for (auto link = m_links.begin(); link != m_links.end();) {
        const auto found = wanted.find(link->first);
        if (found != wanted.end() && sameLink(*found->second, link->second->host())) {
            link->second->setState(found->second->state);
            ++link;
        } else {
            closed.push_back(link->first);
            link = m_links.erase(link);
        }
    }
    for (const auto &[name, host] : wanted) {
        if (m_links.count(name) == 0) {
            m_links.emplace(name, std::make_unique<AgentLink>(m_context, *host, m_timeouts, now));
        }
    }
    return closed;
}

AgentLink *AgentDirectory::find(const std::string &host)
{
    const auto found = m_links.find(host);
    return found == m_links.end() ? nullptr : found->second.get();
}

std::vector<AgentLink *> AgentDirectory::usable(const std::string &pool, TimePoint now)
{
    std::vector<AgentLink *> links;
    for (const auto &[name, link] : m_links) {
        if (link->host().pool == pool && link->usable(now)) {
            links.push_back(link.get());
        }
    }
    return links;
}

std::map<std::string, std::unique_ptr<AgentLink>> &AgentDirectory::links()
{
    return m_links;
}

} // namespace celeryroute
