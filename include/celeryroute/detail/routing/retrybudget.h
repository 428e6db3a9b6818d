#pragma once

namespace celeryroute {

/// Limits retries and hedges to a fraction of the first attempts.
class RetryBudget
{
public:
    /// @param fraction retries added to the budget by each first attempt
    /// @param reserve maximum number of unused retries in the budget, also its initial value
    explicit RetryBudget(double fraction = 0.2, double reserve = 10.0);

    void recordFirstAttempt();

    /// @brief Takes one retry from the budget. Returns false if none is left.
    bool take();

private:
    double m_fraction;
    double m_reserve;
    double m_balance;
};

} // namespace celeryroute
