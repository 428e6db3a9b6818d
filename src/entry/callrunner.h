#pragma once

#include "callclaims.h"
#include "entrybudget.h"
#include "flightreporter.h"
#include "flighttable.h"
#include "targetrouter.h"

#include <celeryroute/detail/entry/answers.h>
#include <celeryroute/detail/entry/dispatchersettings.h>
#include <celeryroute/detail/entry/hostdirectory.h>
#include <celeryroute/detail/observe/observers.h>
#include <celeryroute/detail/state/fleetstate.h>

#include <peer.pb.h>

#include <memory>
#include <set>
#include <string>

namespace celeryroute {

/// @brief Runs every call of an entry from admission to its final answer.
///
/// Used only on the traffic thread. Each call ends exactly once: with a complete or replayed answer, a
/// refusal, or the disconnect of its caller.
class CallRunner
{
public:
    CallRunner(DispatcherSettings settings, HostDirectory &directory, Observers observers);

    /// @brief Switches to @p state and ends the calls whose key is revoked in it.
    void setState(std::shared_ptr<const FleetState> state, TimePoint now);
    /// @brief Refuses new calls and transfers the token budgets to other entries.
    void setRefusingNew(TimePoint now);
    void start(CallerCall call, std::shared_ptr<HttpResponder> responder, TimePoint now);
    void callerGone(const std::string &requestId, TimePoint now);
    /// @brief Processes a message that an agent sent over @p link.
    void receive(HostLink &link, const proto::Envelope &envelope, TimePoint now);
    /// @brief Requests the missing chunks of the attempts at @p link again after a reconnect.
    void linkReconnected(HostLink &link);
    /// @brief Enforces deadlines and ends attempts at stalled streams and unreachable hosts.
    void tick(TimePoint now);
    /// @brief Hosts at which calls are in progress.
    std::set<std::string> hostsInUse() const;
    /// @brief Updates the target choosers after links were added or removed.
    void linksChanged(TimePoint now);
    /// @brief Ends the attempts at a host that was removed from the host list.
    void hostLost(const std::string &host, TimePoint now);
    /// @brief Refuses all calls in progress.
    void refuseAll(const Error &error, TimePoint now);
    std::size_t flights() const;
    /// @brief The claims of non-repeatable calls.
    CallClaims &claims();
    /// @brief Starts, answers or refuses calls according to the decisions on their claims.
    void processClaimNotices(TimePoint now);
    /// @brief Whether this entry may spend a share of the customers' budgets.
    bool holdsShare(TimePoint now) const;
    /// @brief Records that the replicated state was confirmed as current at @p at.
    void confirmState(TimePoint at);
    /// @brief Processes a message of another entry; false if this class does not handle its type.
    bool receiveFromEntry(const proto::Envelope &envelope, TimePoint now);

private:
    void admit(Flight &flight, TimePoint now);
    void retryWaitingForTokens(TimePoint now);
    void settleBudget(Flight &flight, double usedTokens, TimePoint now);
    void claimOrStart(Flight &flight, TimePoint now);
    void carryOut(const ClaimNotification &notice, TimePoint now);
    void startAttempt(Flight &flight, TimePoint now);
    bool sendAttempt(Flight &flight, HostLink &link, TimePoint now);
    void takeHead(Flight &flight, const proto::ResponseHead &head);
    void takeChunk(Flight &flight, HostLink &link, const proto::ResponseChunk &chunk, TimePoint now);
    void takeEnd(Flight &flight, HostLink &link, const proto::ResponseEnd &end, TimePoint now);
    void deliver(Flight &flight, const std::string &text, TimePoint now);
    void failAttempt(Flight &flight, const CallRefusal &refusal, TimePoint now);
    void expire(Flight &flight, TimePoint now);
    void finish(Flight &flight, TimePoint now);
    void refuse(Flight &flight, const CallRefusal &refusal, TimePoint now);
    void cancelAttempt(Flight &flight);
    void endAttempt(Flight &flight);
    void requestMissingChunks(Flight &flight, HostLink &link);
    bool send(HostLink &link, proto::Envelope &envelope);

    DispatcherSettings m_settings;
    HostDirectory &m_directory;
    TargetRouter m_router;
    EntryBudget m_budget;
    std::vector<std::string> m_waitingForTokens; ///< Request ids of calls that wait for tokens.
    Timeline &m_timeline;
    FlightReporter m_reporter;
    std::shared_ptr<const FleetState> m_state;
    FlightTable m_table;
    CallClaims m_claims;
    bool m_refusingNew = false;
};

} // namespace celeryroute
