#include <celeryroute/detail/agent/suspicionrelay.h>

#include <absl/strings/str_cat.h>
#include <peer.pb.h>

namespace celeryroute {

namespace {

constexpr Duration ConnectionRetention = std::chrono::seconds(30);

} // namespace

SuspicionRelay::SuspicionRelay(PeerGateway &gateway, std::string host, std::string incarnation)
    : m_gateway(gateway)
    , m_host(std::move(host))
    , m_incarnation(std::move(incarnation))
{}

void SuspicionRelay::peerSeen(const std::string &connection, TimePoint now)
{
    m_connections[connection] = now;
}

void SuspicionRelay::receive(const proto::SuspicionNotice &notice, TimePoint now)
{
    const CrashNotice fact{notice.request_digest(), notice.crash_id(), notice.host(), notice.alone(), notice.cleared()};
    if (m_table.merge(fact, now)) {
        send({fact});
    }
}

void SuspicionRelay::targetDied(const std::vector<std::string> &digests, TimePoint now)
{
    const std::string crashId = absl::StrCat(m_incarnation, "/", ++m_crashes);
    send(m_table.recordCrash(m_host, crashId, digests, now));
}

void SuspicionRelay::finishedAlone(const std::string &digest)
{
    send(m_table.recordFinishedAlone(digest));
}

SuspectStatus SuspicionRelay::verdict(const std::string &digest) const
{
    return digest.empty() ? SuspectStatus::Clear : m_table.status(digest);
}

void SuspicionRelay::expire(TimePoint now)
{
    m_table.expire(now);
    std::erase_if(m_connections, [now](const auto &entry) { return now - entry.second > ConnectionRetention; });
}

void SuspicionRelay::send(const std::vector<CrashNotice> &notices)
{
    for (const CrashNotice &notice : notices) {
        proto::Envelope envelope;
        proto::SuspicionNotice *message = envelope.mutable_suspicion();
        message->set_request_digest(notice.requestDigest);
        message->set_crash_id(notice.crashId);
        message->set_host(notice.host);
        message->set_alone(notice.alone);
        message->set_cleared(notice.cleared);
        for (const auto &[connection, lastSeen] : m_connections) {
            m_gateway.send(connection, envelope);
        }
    }
}

} // namespace celeryroute
