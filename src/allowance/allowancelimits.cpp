#include <celeryroute/detail/allowance/allowancelimits.h>

#include <algorithm>

namespace celeryroute {

// The slack is configured once for all customers, to fit the usual size of a request. For customers whose allowance is
// smaller than the slack, it is limited to the allowance.
std::optional<AllowanceLimits> allowanceLimits(const ServingCustomer &customer, const ServingBounds &bounds)
{
    if (customer.ratePerSecond <= 0) {
        return std::nullopt;
    }
    AllowanceLimits limits;
    limits.rate = customer.ratePerSecond;
    limits.burst = customer.burst;
    limits.window = bounds.quotaWindow;
    const double perWindow = limits.rate * toSeconds(limits.window) + limits.burst;
    limits.slack = std::min(bounds.quotaSlack, perWindow);
    limits.tolerance = bounds.quotaOverage * perWindow + limits.slack;
    return limits;
}

double requestCost(const ServingCustomer &customer, std::optional<double> tokens)
{
    if (!customer.countsTokens) {
        return 1;
    }
    return std::max(0.0, tokens.value_or(customer.defaultCost));
}

} // namespace celeryroute
