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

/// @brief Updates one TargetChooser per pool from links, load reports and the replicated state.
class TargetRouter
{
public:
    TargetRouter(HostDirectory &directory, std::string instance);

    void setState(std::shared_ptr<const FleetState> state);
    /// @brief Updates the choosers to match the links.
    void refresh(TimePoint now);
    /// @brief Applies the latest load report of @p link.
    void takeReport(const HostLink &link);
    /// @brief The host for @p call; nullptr if no host is available.
    HostLink *choose(const CallerCall &call, const std::set<std::string> &triedHosts);
    void noteSent(const HostLink &link, const std::string &attemptId, std::uint64_t tokens, TimePoint now);
    void noteEnded(const std::string &host, const std::string &attemptId);

private:
    void refreshHolders(TargetChooser &chooser, const std::string &pool, const std::string &model);

    HostDirectory &m_directory;
    std::string m_instance;
    std::shared_ptr<const FleetState> m_state;
    std::map<std::string, TargetChooser> m_choosers; ///< Keyed by pool.
    std::map<std::string, std::string> m_poolOfHost;
    std::map<std::pair<std::string, std::string>, Revision> m_holdersSeen; ///< Keyed by pool and model.
    absl::BitGen m_random;
};

} // namespace celeryroute
