#pragma once

#include <celeryroute/detail/serving/servingbounds.h>
#include <celeryroute/detail/serving/servingstate.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <optional>

namespace celeryroute {

/// A customer's allowance over all entries, and how far the installation lets it be exceeded.
struct AllowanceTerms {
    double rate = 0; ///< Per second.
    double burst = 0;
    double slack = 0; ///< Per window beside the allowance.
    double tolerance = 0; ///< Per window beside rate and burst, the slack included.
    Duration window{};
    bool operator==(const AllowanceTerms &) const = default;
};

/// @brief The terms of @p customer; nothing when it has no limit.
std::optional<AllowanceTerms> allowanceTerms(const ServingCustomer &customer, const ServingBounds &bounds);

/// @brief What a request of @p customer costs; @p tokens are those of its prompt and the most that
/// it may generate, if it names them.
double requestCost(const ServingCustomer &customer, std::optional<double> tokens);

} // namespace celeryroute
