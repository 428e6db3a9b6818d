#pragma once

#include <celeryroute/detail/platform/hostentry.h>
#include <celeryroute/detail/transport/peerlink.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace celeryroute {

namespace proto {
class Envelope;
}

/// @brief Short-lived links over which a control thread asks peers for state.
class PeerQueries
{
public:
    explicit PeerQueries(TransportContext &context);

    void setHosts(const std::vector<HostEntry> &hosts);
    /// @brief Sends @p question to @p host; a host that is not listed is skipped.
    void ask(const std::string &host, const proto::Envelope &question, TimePoint now);
    /// @brief Answers that have arrived.
    std::vector<std::shared_ptr<const proto::Envelope>> takeAnswers(TimePoint now);
    /// @brief Sockets to wait on.
    std::vector<void *> sockets() const;

private:
    TransportContext &m_context;
    std::map<std::string, std::string> m_addresses; ///< By host.
    std::map<std::string, std::unique_ptr<PeerLink>> m_links; ///< By host.
};

} // namespace celeryroute
