#pragma once

#include <celeryroute/detail/entry/answers.h>
#include <celeryroute/detail/entry/flight.h>
#include <celeryroute/detail/observe/observers.h>

namespace celeryroute {

namespace proto {
class ResponseEnd;
}

/// @brief Records the steps of calls in the timeline and the metrics.
class FlightReporter
{
public:
    explicit FlightReporter(Observers observers);

    void admitted(const Flight &flight);
    void dispatched(const Flight &flight, const std::string &host);
    void firstPart(const Flight &flight, TimePoint now);
    void answered(const Flight &flight, const proto::ResponseEnd &end, TimePoint now);
    void refused(const Flight &flight, const CallRefusal &refusal);
    void retried(const Flight &flight);
    void callerGone(const Flight &flight);

private:
    void record(const Flight &flight, const char *kind, const std::string &detail, int code = 0);

    Observers m_observers;
};

} // namespace celeryroute
