#include "flightreporter.h"

#include <peer.pb.h>

namespace celeryroute {

FlightReporter::FlightReporter(Observers observers)
    : m_observers(observers)
{}

void FlightReporter::admitted(const Flight &flight)
{
    record(flight, "request_admitted", {});
    m_observers.metrics.countRequest(flight.call.caller.customer, flight.call.route.pool);
}

void FlightReporter::dispatched(const Flight &flight, const std::string &host)
{
    record(flight, "dispatched", "to " + host);
}

void FlightReporter::firstPart(const Flight &flight, TimePoint now)
{
    record(flight, "first_token", {});
    const CallerCall &call = flight.call;
    m_observers.metrics.observeFirstToken(call.caller.customer, call.route.pool, now - call.received);
}

void FlightReporter::answered(const Flight &flight, const proto::ResponseEnd &end, TimePoint now)
{
    record(flight, "done", "status " + std::to_string(flight.attempt->status));
    const CallerCall &call = flight.call;
    m_observers.metrics.observeDuration(call.caller.customer, call.route.pool, now - call.received);
    if (end.cold()) {
        m_observers.metrics.observeColdStart(call.route.pool, std::chrono::milliseconds(end.load_wait_ms()));
    }
}

void FlightReporter::refused(const Flight &flight, const CallRefusal &refusal)
{
    const int code = static_cast<int>(refusal.error.code);
    record(flight, "refused", toString(refusal.run) + ": " + refusal.error.message, code);
    m_observers.metrics.countRefusal(flight.call.caller.customer, code);
}

void FlightReporter::retried(const Flight &flight)
{
    record(flight, "retried", "attempt " + std::to_string(flight.attempts));
    m_observers.metrics.countRetry(flight.call.route.pool);
}

void FlightReporter::callerGone(const Flight &flight)
{
    record(flight, "caller_gone", {});
}

void FlightReporter::record(const Flight &flight, const char *kind, const std::string &detail, int code)
{
    TimelineEvent event;
    event.kind = kind;
    event.requestId = flight.call.requestId;
    event.attemptId = flight.attempt ? flight.attempt->id : std::string();
    event.customer = flight.call.caller.customer;
    event.route = flight.call.route.name;
    event.model = flight.call.model;
    event.detail = detail;
    event.code = code;
    m_observers.timeline.record(std::move(event), std::chrono::system_clock::now());
}

} // namespace celeryroute
