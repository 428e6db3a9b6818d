#pragma once

#include <celeryroute/detail/entry/dispatchersettings.h>
#include <celeryroute/detail/entry/flight.h>
#include <celeryroute/detail/platform/hostentry.h>
#include <celeryroute/detail/state/fleetstate.h>

#include <functional>
#include <memory>
#include <vector>

namespace celeryroute {

class TransportContext;

/// The agreed state as of now.
using StateSource = std::function<std::shared_ptr<const FleetState>()>;

/// @brief The traffic thread of an entry: sends calls to agents and relays their answers.
class Dispatcher
{
public:
    Dispatcher(DispatcherSettings settings, TransportContext &context, StateSource state);
    ~Dispatcher();
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    void start();
    /// @brief Takes over a call and answers it; any thread.
    void submit(CallerCall call, std::shared_ptr<HttpResponder> responder);
    /// @brief Replaces the list of hosts; any thread.
    void setHosts(std::vector<HostEntry> hosts);
    /// @brief Checks running calls against a new state; any thread.
    void stateChanged();
    /// @brief Refuses new calls from now on; any thread.
    void refuseNew();
    /// @brief Calls in work; any thread.
    std::size_t flights() const;
    /// @brief Failure domains of agents, and whether any agent of each can be reached; any thread.
    std::map<std::string, bool> domainReachability() const;
    /// @brief Ends the thread; calls in work are refused.
    void stop();

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace celeryroute
