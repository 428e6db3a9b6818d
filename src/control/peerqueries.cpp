#include "peerqueries.h"

#include <peer.pb.h>

namespace celeryroute {

namespace {

/// A link without an answer for this long is opened anew before the next question.
constexpr Duration SilenceLimit = std::chrono::seconds(2);
/// Links kept; a question to one more host closes all others.
constexpr std::size_t MostLinks = 4;

} // namespace

PeerQueries::PeerQueries(TransportContext &context)
    : m_context(context)
{}

void PeerQueries::setHosts(const std::vector<HostEntry> &hosts)
{
    m_addresses.clear();
    for (const HostEntry &host : hosts) {
        m_addresses[host.host] = host.address;
    }
}

void PeerQueries::ask(const std::string &host, const proto::Envelope &question, TimePoint now)
{
    const auto address = m_addresses.find(host);
    if (address == m_addresses.end()) {
        return;
    }
    auto link = m_links.find(host);
    if (link != m_links.end() && link->second->endpoint() != address->second) {
        m_links.erase(link);
        link = m_links.end();
    }
    if (link == m_links.end()) {
        if (m_links.size() >= MostLinks) {
            m_links.clear();
        }
        link = m_links.emplace(host, std::make_unique<PeerLink>(m_context, address->second, now)).first;
    }
    if (now - link->second->lastReceived() > SilenceLimit) {
        link->second->reconnect(now);
    }
    link->second->send(question);
}

std::vector<std::shared_ptr<const proto::Envelope>> PeerQueries::takeAnswers(TimePoint now)
{
    std::vector<std::shared_ptr<const proto::Envelope>> answers;
    for (const auto &[host, link] : m_links) {
        while (auto answer = link->receive(now)) {
            answers.push_back(std::move(answer));
        }
    }
    return answers;
}

std::vector<void *> PeerQueries::sockets() const
{
    std::vector<void *> sockets;
    for (const auto &[host, link] : m_links) {
        sockets.push_back(link->socket());
    }
    return sockets;
}

} // namespace celeryroute
