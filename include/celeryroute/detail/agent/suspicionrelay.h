#pragma once

#include <celeryroute/detail/agent/peergateway.h>
#include <celeryroute/detail/routing/suspecttable.h>
#include <celeryroute/time.h>

#include <map>
#include <string>
#include <vector>

namespace celeryroute {

namespace proto {
class SuspicionNotice;
}

/// @brief Keeps this agent's table of crash suspects and tells the entries linked to it.
class SuspicionRelay
{
public:
    SuspicionRelay(PeerGateway &gateway, std::string host, std::string incarnation);

    /// @brief Notices go to every connection seen lately.
    void peerSeen(const std::string &connection, TimePoint now);
    /// @brief Takes in a notice of a peer and passes on what was not known.
    void receive(const proto::SuspicionNotice &notice, TimePoint now);
    /// @brief The target died while the requests @p digests ran.
    void targetDied(const std::vector<std::string> &digests, TimePoint now);
    /// @brief The request @p digest has finished while it ran alone.
    void finishedAlone(const std::string &digest);
    SuspectStatus verdict(const std::string &digest) const;
    void expire(TimePoint now);

private:
    void send(const std::vector<CrashNotice> &notices);

    PeerGateway &m_gateway;
    std::string m_host;
    std::string m_incarnation;
    std::uint64_t m_crashes = 0;
    SuspectTable m_table;
    std::map<std::string, TimePoint> m_connections;
};

} // namespace celeryroute
