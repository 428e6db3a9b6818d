#pragma once

#include "flightreporter.h"
#include "flighttable.h"

#include <celeryroute/detail/entry/agentdirectory.h>
#include <celeryroute/detail/entry/answers.h>
#include <celeryroute/detail/entry/dispatchersettings.h>
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
    CallRunner(DispatcherSettings settings, AgentDirectory &directory, Observers observers);

    /// @brief Uses @p state from now on and ends the calls whose key it has withdrawn.
    void setState(std::shared_ptr<const FleetState> state, TimePoint now);
    void setRefusingNew();
    void start(CallerCall call, std::shared_ptr<HttpResponder> responder, TimePoint now);
    void callerGone(const std::string &requestId, TimePoint now);
    /// @brief Takes a message that an agent sent over @p link.
    void receive(AgentLink &link, const proto::Envelope &envelope, TimePoint now);
    /// @brief Asks again, on a new connection, for what the attempts at @p link still miss.
    void linkReconnected(AgentLink &link);
    /// @brief Deadlines, silent streams and unreachable hosts.
    void tick(TimePoint now);
    /// @brief Ends the attempts at a host that the list has dropped.
    void hostLost(const std::string &host, TimePoint now);
    /// @brief Refuses everything in work.
    void refuseAll(const Error &error);
    std::size_t flights() const;

private:
    void startAttempt(Flight &flight, TimePoint now);
    bool sendAttempt(Flight &flight, AgentLink &link, TimePoint now);
    void takeHead(Flight &flight, const proto::ResponseHead &head);
    void takeChunk(Flight &flight, AgentLink &link, const proto::ResponseChunk &chunk, TimePoint now);
    void takeEnd(Flight &flight, AgentLink &link, const proto::ResponseEnd &end, TimePoint now);
    void deliver(Flight &flight, const std::string &text, TimePoint now);
    void failAttempt(Flight &flight, const Refusal &refusal, TimePoint now);
    void expire(Flight &flight, TimePoint now);
    void finish(Flight &flight);
    void refuse(Flight &flight, const Refusal &refusal);
    void cancelAttempt(Flight &flight);
    void askForMissing(Flight &flight, AgentLink &link);
    bool send(AgentLink &link, proto::Envelope &envelope);

    DispatcherSettings m_settings;
    AgentDirectory &m_directory;
    Timeline &m_timeline;
    FlightReporter m_reporter;
    std::shared_ptr<const FleetState> m_state;
    FlightTable m_table;
    bool m_refusingNew = false;
};

} // namespace celeryroute
