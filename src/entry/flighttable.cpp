#include "flighttable.h"

namespace celeryroute {

Flight &FlightTable::add(CallerCall call, std::shared_ptr<HttpResponder> responder)
{
    auto flight = std::make_unique<Flight>();
    flight->call = std::move(call);
    flight->responder = std::move(responder);
    Flight &added = *flight;
    m_deadlines.emplace(added.call.deadline, added.call.requestId);
    m_flights[added.call.requestId] = std::move(flight);
    return added;
}

Flight *FlightTable::find(const std::string &requestId)
{
    const auto found = m_flights.find(requestId);
    return found == m_flights.end() ? nullptr : found->second.get();
}

Flight *FlightTable::findAttempt(const std::string &attemptId)
{
    const auto found = m_requestOfAttempt.find(attemptId);
    return found == m_requestOfAttempt.end() ? nullptr : find(found->second);
}

void FlightTable::setAttempt(Flight &flight, std::unique_ptr<EntryAttempt> attempt)
{
    clearAttempt(flight);
    m_requestOfAttempt[attempt->id] = flight.call.requestId;
    flight.attempt = std::move(attempt);
}

void FlightTable::clearAttempt(Flight &flight)
{
    if (flight.attempt) {
        m_requestOfAttempt.erase(flight.attempt->id);
        flight.attempt.reset();
    }
}

void FlightTable::remove(const std::string &requestId)
{
    Flight *flight = find(requestId);
    if (flight == nullptr) {
        return;
    }
    clearAttempt(*flight);
    m_deadlines.erase({flight->call.deadline, requestId});
    m_flights.erase(requestId);
}

std::vector<std::string> FlightTable::takeExpired(TimePoint now)
{
    std::vector<std::string> expired;
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        expired.push_back(m_deadlines.begin()->second);
        m_deadlines.erase(m_deadlines.begin());
    }
    return expired;
}

std::vector<std::string> FlightTable::select(const std::function<bool(const Flight &)> &condition) const
{
    std::vector<std::string> selected;
    for (const auto &[requestId, flight] : m_flights) {
        if (condition(*flight)) {
            selected.push_back(requestId);
        }
    }
    return selected;
}

std::set<std::string> FlightTable::hosts() const
{
    std::set<std::string> hosts;
    for (const auto &[requestId, flight] : m_flights) {
        if (flight->attempt) {
            hosts.insert(flight->attempt->host);
        }
    }
    return hosts;
}

std::size_t FlightTable::size() const
{
    return m_flights.size();
}

} // namespace celeryroute
