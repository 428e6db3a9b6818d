#pragma once

#include <celeryroute/detail/feed/evacuationrecord.h>
#include <celeryroute/detail/feed/feedcalls.h>
#include <celeryroute/detail/http1/messagehead.h>
#include <celeryroute/detail/serving/headernames.h>
#include <celeryroute/detail/serving/servingstate.h>
#include <celeryroute/detail/serving/targetorder.h>
#include <celeryroute/detail/serving/targetrecord.h>
#include <celeryroute/detail/serving/targetreport.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief HTTP call to the store or a target.
struct OutgoingRequest {
    std::string method;
    std::string target; ///< Path and query.
    std::string contentType; ///< Empty if there is no body.
    std::string body;
    std::vector<HeaderField> fields = {}; ///< Header fields in addition to those of every call.
    bool operator==(const OutgoingRequest &) const = default;
};

/// @brief Translates calls, answers and records to and from the formats of one platform.
///
/// Parsers return nothing for text in another format.
struct PlatformTranslation {
    HeaderNames headers;
    std::string readinessPath;
    std::function<std::optional<ServingState>(const std::string &)> servingState;
    /// Reads the records of the topic with the desired state that are about evacuations.
    std::function<EvacuationRecord(const std::string &key, const std::string &value)> evacuation;
    std::function<std::optional<TargetRecord>(const std::string &id, const std::string &)> targetRecord;
    std::function<std::optional<TargetReport>(const std::string &)> targetReport;
    OutgoingRequest reportCall;
    std::function<OutgoingRequest(const TargetOrder &)> orderCall;
    std::function<OrderAnswer(int status)> orderOutcome;
    std::function<OutgoingRequest(const FeedCall &)> feedCall;
    std::function<FeedAnswer(const FeedCall &, int status, const std::string &body)> feedAnswer;
};

} // namespace celeryroute
