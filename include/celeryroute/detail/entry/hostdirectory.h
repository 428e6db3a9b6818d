#pragma once

#include <celeryroute/detail/entry/hostlink.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief Links of one entry to the agents and the other entries in the host list.
class HostDirectory
{
public:
    /// @param ownHost name of this host; no link to its entry is opened.
    HostDirectory(TransportContext &context, LinkTimeouts timeouts, std::string ownHost);

    /// @brief Opens and closes links so that they match @p hosts. A host whose address changed gets a
    /// new link; one that is in @p inUse and not in @p hosts keeps its link as a leaving one. Returns the hosts
    /// whose links were closed.
    std::vector<std::string>
    update(const std::vector<HostEntry> &hosts, const std::set<std::string> &inUse, TimePoint now);
    /// @brief Closes the links to hosts that are not listed any more and not in @p inUse.
    /// Returns whether any was closed.
    bool closeUnlisted(const std::set<std::string> &inUse);
    bool hasUnlisted() const;
    HostLink *find(const std::string &host);
    /// @brief Incarnations of the other entries that answer.
    std::vector<std::string> reachableEntries(TimePoint now) const;
    std::map<std::string, std::unique_ptr<HostLink>> &links();

private:
    TransportContext &m_context;
    LinkTimeouts m_timeouts;
    std::string m_ownHost;
    std::map<std::string, std::unique_ptr<HostLink>> m_links;
    std::set<std::string> m_unlisted; ///< Hosts that left the list while they were in use.
};

} // namespace celeryroute
