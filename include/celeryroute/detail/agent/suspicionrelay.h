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

/// @brief Keeps this agent's table of crash suspects and notifies the connected entries of changes.
class SuspicionRelay
{
public:
    SuspicionRelay(PeerGateway &gateway, std::string host, std::string incarnation);

    /// @brief Records a message on @p connection. Notices are sent to all recently active connections.
    void peerSeen(const std::string &connection, TimePoint now);
    /// @brief Applies a notice from a peer and forwards the parts that were new.
    void receive(const proto::SuspicionNotice &notice, TimePoint now);
    /// @brief Records that the target crashed while the requests @p digests were running.
    void targetDied(const std::vector<std::string> &digests, TimePoint now);
    /// @brief Records that the request @p digest finished while it was running alone.
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
