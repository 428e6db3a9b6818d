#pragma once

namespace celeryroute {

/// Token rate and burst of a customer over all entries together.
struct BudgetLimits {
    double tokensPerSecond = 0.0;
    double burstTokens = 0.0;
    bool operator==(const BudgetLimits &) const = default;
};

} // namespace celeryroute
