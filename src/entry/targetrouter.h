#pragma once

#include <celeryroute/detail/entry/callercall.h>
#include <celeryroute/detail/entry/hostdirectory.h>
#include <celeryroute/detail/routing/targetchooser.h>
#include <celeryroute/detail/state/fleetstate.h>

#include <absl/random/random.h>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace celeryroute {

/// @brief Feeds one TargetChooser per pool from links, load reports and the agreed state.
class TargetRouter
{
public:
    TargetRouter(HostDirectory &directory, std::string instance);

    void setState(std::shared_ptr<const FleetState> state);
    /// @brief Brings the choosers up to date with the links.
    void refresh(TimePoint now);
    /// @brief Takes the load report that @p link has received last.
    void takeReport(const HostLink &link);
    /// @brief The host for @p call; nullptr when none is left.
    HostLink *choose(const CallerCall &call, const std::set<std::string> &triedHosts);
    void noteSent(const HostLink &link, const std::string &attemptId, std::uint64_t tokens, TimePoint now);
    void noteEnded(const std::string &host, const std::string &attemptId);

private:
    void refreshHolders(TargetChooser &chooser, const std::string &pool, const std::string &model);

    HostDirectory &m_directory;
    std::string m_instance;
    std::shared_ptr<const FleetState> m_state;
    std::map<std::string, TargetChooser> m_choosers; ///< By pool.
    std::map<std::string, std::string> m_poolOfHost;
    std::map<std::pair<std::string, std::string>, Revision> m_holdersSeen; ///< By pool and model.
    absl::BitGen m_random;
};

} // namespace celeryroute
