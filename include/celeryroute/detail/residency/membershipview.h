#pragma once

#include <celeryroute/detail/platform/hostentry.h>
#include <celeryroute/detail/residency/placement.h>
#include <celeryroute/time.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief Tracks which agents of one pool are live and which have left, based on the delayed host list.
class MembershipView
{
public:
    /// Time without a listing after which a host counts as expired. An isolated agent stops using its authority
    /// well before this time, see IsolationRule::UnloadAfter.
    static constexpr Duration ExpireAfter = std::chrono::seconds(45);

    explicit MembershipView(std::string pool);

    void update(const std::vector<HostEntry> &hosts, TimePoint now);
    const std::vector<PlacementHost> &liveHosts() const;
    bool isLeaving(const std::string &host) const;
    /// @brief Returns those of @p holders that no host list has contained for ExpireAfter.
    std::set<std::string> expiredHosts(const std::set<std::string> &holders, TimePoint now) const;

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
