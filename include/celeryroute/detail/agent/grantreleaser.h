#pragma once

#include <celeryroute/detail/agent/agentview.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <map>
#include <string>

namespace celeryroute {

namespace proto {
class AuthorityChange;
}

/// @brief Proposes the release of grants until the agreed state shows it.
class GrantReleaser
{
public:
    GrantReleaser(std::string host, std::string pool);

    /// @brief The item of the grant with number @p fencing is not held any more.
    void add(const std::string &item, std::uint64_t fencing);
    /// @brief Releases to append now; empty when none is due.
    proto::AuthorityChange due(const AgentView &view, TimePoint now);
    bool empty() const;

private:
    std::string m_host;
    std::string m_pool;
    std::map<std::string, std::uint64_t> m_pending;
    TimePoint m_nextProposal;
};

} // namespace celeryroute
