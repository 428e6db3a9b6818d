#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace celeryroute {

/// What became of calls.
struct LoadCounts {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0; ///< An error status with a numbered code.
    std::uint64_t unanswered = 0; ///< No answer, or one that broke off.
    std::uint64_t wrong = 0; ///< An answer to another request, or none that can be read.
    std::map<int, std::uint64_t> refusals; ///< By numbered code.
    bool operator==(const LoadCounts &) const = default;
};

/// Samples of streams that went one way.
struct LatencySamples {
    std::vector<Duration> firstToken;
    std::vector<Duration> betweenTokens;
    bool operator==(const LatencySamples &) const = default;
};

/// The outcome of a run.
struct LoadRunReport {
    LoadCounts chats;
    LoadCounts bookings;
    LoadCounts directChats;
    std::map<std::string, LoadCounts> byCustomer;
    LatencySamples routed;
    LatencySamples direct;
    bool operator==(const LoadRunReport &) const = default;
};

/// @brief The sample below which @p fraction of all lie; zero without samples.
Duration quantile(std::vector<Duration> samples, double fraction);

/// @brief The report as JSON, with ratios of routed to direct latencies when there are direct ones.
std::string toJson(const LoadRunReport &report);

} // namespace celeryroute
