#pragma once

namespace celeryroute {

/// Allows retries and hedges as a fraction of first attempts.
class RetryBudget
{
public:
    /// @param fraction retries earned by one first attempt
    /// @param reserve retries that may be saved up
    explicit RetryBudget(double fraction = 0.2, double reserve = 10.0);

    void noteFirstAttempt();

    /// @brief Takes one retry; false when none is left.
    bool take();

private:
    double m_fraction;
    double m_reserve;
    double m_balance;
};

} // namespace celeryroute
