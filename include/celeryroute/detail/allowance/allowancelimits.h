#pragma once

#include <celeryroute/detail/serving/servingbounds.h>
#include <celeryroute/detail/serving/servingstate.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <optional>

namespace celeryroute {

/// @brief A customer's allowance over all entries, and by how much it may be exceeded.
struct AllowanceLimits {
    double rate = 0; ///< Tokens per second.
    double burst = 0; ///< Tokens.
    double slack = 0; ///< Absolute part of the tolerance, in tokens per window.
    double tolerance = 0; ///< Tokens per window that may be spent in addition to rate and burst, slack included.
    Duration window{}; ///< Time over which spending is compared with the allowance.
    bool operator==(const AllowanceLimits &) const = default;
};

/// @brief The allowance of @p customer, or nothing if the customer has no limit.
std::optional<AllowanceLimits> allowanceLimits(const ServingCustomer &customer, const ServingBounds &bounds);

/// @brief The cost of a request of @p customer, in tokens or requests.
/// @param tokens tokens of the prompt and the most that the request may generate, if it names them
double requestCost(const ServingCustomer &customer, std::optional<double> tokens);

} // namespace celeryroute
