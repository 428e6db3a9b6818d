#pragma once

#include <celeryroute/detail/platform/hostentry.h>
#include <celeryroute/detail/residency/placement.h>
#include <celeryroute/time.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief Follows the lagging host list for one pool: who is live, and who has been gone for long.
class MembershipView
{
public:
    /// An isolated agent gives up its authority well before this time.
    static constexpr Duration GoneAfter = std::chrono::seconds(45);

    explicit MembershipView(std::string pool);

    void update(const std::vector<HostEntry> &hosts, TimePoint now);
    const std::vector<PlacementHost> &liveHosts() const;
    bool leaving(const std::string &host) const;
    /// @brief Those of @p holders that no list has shown for GoneAfter.
    std::set<std::string> goneHosts(const std::set<std::string> &holders, TimePoint now) const;

private:
    std::string m_pool;
    std::vector<PlacementHost> m_live;
    std::set<std::string> m_leaving;
    std::map<std::string, TimePoint> m_lastListed;
    TimePoint m_firstUpdate;
    TimePoint m_lastUpdate;
    bool m_updated = false;
};

} // namespace celeryroute
