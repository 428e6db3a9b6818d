#pragma once

#include <celeryroute/detail/agent/agentview.h>
#include <celeryroute/detail/residency/residencyaction.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <map>
#include <string>

namespace celeryroute {

namespace proto {
class AuthorityChange;
}

/// @brief Proposes the release of grants repeatedly until the replicated state shows the release.
class GrantReleaser
{
public:
    GrantReleaser(std::string host, std::string incarnation, std::string pool);

    void add(const ReleaseGrant &release);
    /// @brief Returns the releases to append to the log now; empty if none is due.
    proto::AuthorityChange due(const AgentView &view, TimePoint now);
    bool empty() const;

private:
    std::string m_host;
    std::string m_incarnation;
    std::string m_pool;
    std::map<std::string, ReleaseGrant> m_pending;
    TimePoint m_nextProposal;
};

} // namespace celeryroute
