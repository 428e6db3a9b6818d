#pragma once

#include <celeryroute/detail/claims/claimcoordinator.h>
#include <celeryroute/detail/entry/dispatchersettings.h>
#include <celeryroute/detail/entry/flight.h>
#include <celeryroute/detail/observe/observers.h>
#include <celeryroute/detail/platform/hostentry.h>
#include <celeryroute/detail/state/fleetstate.h>
#include <celeryroute/result.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace celeryroute {

class TransportContext;

namespace proto {
class Envelope;
class ShareDivision;
class LogRecord;
} // namespace proto

/// Returns the current replicated state.
using StateSource = std::function<std::shared_ptr<const FleetState>()>;

/// Callbacks of a dispatcher into its process; called on the traffic thread, must not block.
struct DispatcherHooks {
    StateSource state;
    /// Answers messages of other processes, such as StateQuery, that arrive at the peer endpoint.
    std::function<std::optional<proto::Envelope>(const proto::Envelope &message)> otherMessage;
    /// Reports that a peer has applied the log up to this offset.
    std::function<void(const std::string &sender, std::uint64_t offset)> peerOffset;
    /// Time at which the replicated state was last confirmed as current.
    std::function<TimePoint()> confirmedAt;
    /// Appends a new division of budgets to the log.
    std::function<void(const proto::ShareDivision &division)> submitDivision;
    /// Appends @p record to the log and calls @p handler, on any thread, with the outcome.
    std::function<void(proto::LogRecord record, std::function<void(BatchOutcome fate, std::uint64_t offset)> handler)>
        submitRecord;
    /// Whether the log answered recently.
    std::function<bool()> logReachable;
    /// Reports that a host of this failure domain answered a heartbeat that was sent at this time.
    std::function<void(const std::string &domain, TimePoint sentAt)> heardFrom;
};

/// @brief The traffic thread of an entry: sends calls to agents and relays their answers.
class Dispatcher
{
public:
    Dispatcher(DispatcherSettings settings, TransportContext &context, DispatcherHooks hooks, Observers observers);
    ~Dispatcher();
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    /// @brief Binds the peer endpoint and starts the thread. Fails with PortUnavailable.
    Result<void> start();
    /// @brief The bound peer endpoint `ip:port`.
    std::string endpoint() const;
    /// @brief Takes ownership of a call and answers it; any thread.
    void submit(CallerCall call, std::shared_ptr<HttpResponder> responder);
    /// @brief Replaces the list of hosts; any thread.
    void setHosts(std::vector<HostEntry> hosts);
    /// @brief Checks running calls against a new state; any thread.
    void stateChanged();
    /// @brief Refuses new calls from now on; any thread.
    void refuseNew();
    /// @brief Number of calls in progress; any thread.
    std::size_t flights() const;
    /// @brief Whether this entry has held a share of the customers' budgets at any time; any thread.
    bool hasHeldShare() const;
    /// @brief Failure domains of the agents that this entry has links to; any thread.
    std::set<std::string> linkedDomains() const;
    /// @brief Ends the thread; calls in progress are refused.
    void stop();

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace celeryroute
