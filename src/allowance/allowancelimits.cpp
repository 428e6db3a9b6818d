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
    AllowanceLimits terms;
    terms.rate = customer.ratePerSecond;
    terms.burst = customer.burst;
    terms.window = bounds.quotaWindow;
    const double perWindow = terms.rate * toSeconds(terms.window) + terms.burst;
    terms.slack = std::min(bounds.quotaSlack, perWindow);
    terms.tolerance = bounds.quotaOverage * perWindow + terms.slack;
    return terms;
}

double requestCost(const ServingCustomer &customer, std::optional<double> tokens)
{
    if (!customer.countsTokens) {
        return 1;
    }
    return std::max(0.0, tokens.value_or(customer.defaultCost));
}

} // namespace celeryroute
