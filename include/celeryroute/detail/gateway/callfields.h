#pragma once

#include <celeryroute/detail/http1/messagehead.h>
#include <celeryroute/detail/serving/headernames.h>
#include <celeryroute/detail/serving/servingstate.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace celeryroute {

/// The header fields of a caller's request that an entry evaluates.
struct CallFields {
    std::string requestId;
    std::optional<Duration> deadline; ///< How long the caller waits, from the arrival of the request.
    std::optional<std::string> key;
    std::string model;
    std::string adapter;
    bool countsTokens = false; ///< Whether the request carried token counts.
    std::uint64_t promptTokens = 0;
    std::uint64_t maxOutputTokens = 0;
    std::uint64_t lengthHint = 0;
    std::vector<std::pair<std::string, std::uint64_t>> promptParts; ///< Id and tokens, in order.
    std::string lastEventId;
    std::string resumes; ///< Id of the request that brought the first event of the stream that this one takes up.
    bool operator==(const CallFields &) const = default;
};

/// @brief Digests of the prompt parts that other requests may share: all but the last one, at most 32.
std::vector<std::uint64_t> sharedPartDigests(const CallFields &fields);

/// @brief Reads the fields of @p head. Malformed fields are treated as missing.
CallFields readCallFields(const MessageHead &head, const HeaderNames &names);

/// @brief What a request costs of the allowance of @p customer.
double costOf(const CallFields &fields, const ServingCustomer &customer);

} // namespace celeryroute
