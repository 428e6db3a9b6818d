#pragma once

#include "claimdesk.h"
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
#include <string>

namespace celeryroute {

/// @brief Runs every call of an entry from admission to its one final answer.
///
/// Belongs to the traffic thread. Each call ends in exactly one of answer() or refuse().
class CallRunner
{
public:
    CallRunner(DispatcherSettings settings, HostDirectory &directory, Observers observers);

    /// @brief Uses @p state from now on and ends the calls whose key it has withdrawn.
    void setState(std::shared_ptr<const FleetState> state, TimePoint now);
    /// @brief Refuses new calls and lends the budgets away.
    void setRefusingNew(TimePoint now);
    void start(CallerCall call, std::shared_ptr<HttpResponder> responder, TimePoint now);
    void callerGone(const std::string &requestId, TimePoint now);
    /// @brief Takes a message that an agent sent over @p link.
    void receive(HostLink &link, const proto::Envelope &envelope, TimePoint now);
    /// @brief Asks again, on a new connection, for what the attempts at @p link still miss.
    void linkReconnected(HostLink &link);
    /// @brief Deadlines, silent streams and unreachable hosts.
    void tick(TimePoint now);
    /// @brief Takes up links that were added or removed.
    void linksChanged(TimePoint now);
    /// @brief Ends the attempts at a host that the list has dropped.
    void hostLost(const std::string &host, TimePoint now);
    /// @brief Refuses everything in work.
    void refuseAll(const Error &error, TimePoint now);
    std::size_t flights() const;
    /// @brief The claims of calls that may not be repeated.
    ClaimDesk &claims();
    /// @brief Carries out the verdicts of claims.
    void takeClaimNotices(TimePoint now);
    /// @brief Whether this entry may spend a share of the customers' budgets.
    bool holdsShare(TimePoint now) const;
    /// @brief The agreed state was known to be in force at @p at.
    void confirmState(TimePoint at);
    /// @brief Takes a message of another entry; false when it is none for this class.
    bool receiveFromEntry(const proto::Envelope &envelope, TimePoint now);

private:
    void admit(Flight &flight, TimePoint now);
    void retryParked(TimePoint now);
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
    void askForMissing(Flight &flight, HostLink &link);
    bool send(HostLink &link, proto::Envelope &envelope);

    DispatcherSettings m_settings;
    HostDirectory &m_directory;
    TargetRouter m_router;
    EntryBudget m_budget;
    std::vector<std::string> m_parked; ///< Calls that wait for a loan of tokens.
    Timeline &m_timeline;
    FlightReporter m_reporter;
    std::shared_ptr<const FleetState> m_state;
    FlightTable m_table;
    ClaimDesk m_claims;
    bool m_refusingNew = false;
};

} // namespace celeryroute
