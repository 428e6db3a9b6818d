#pragma once

#include <celeryroute/detail/entry/flight.h>

#include <memory>

namespace celeryroute {

namespace proto {
class Envelope;
}

/// Values of the replicated state that accompany a call.
struct SubmitParameters {
    double weight = 1;
    std::uint64_t shareEpoch = 0;
    std::uint64_t claimOffset = 0;
    std::string claimId;
    bool suspect = false;
};

/// @brief Fills the message that asks an agent to run @p call as attempt @p attemptId.
void fillSubmit(proto::Envelope &envelope,
                const CallerCall &call,
                const std::string &attemptId,
                const SubmitParameters &terms,
                TimePoint now);

} // namespace celeryroute
