#include <celeryroute/detail/routing/retrybudget.h>

#include <algorithm>

namespace celeryroute {

RetryBudget::RetryBudget(double fraction, double reserve)
    : m_fraction(fraction)
    , m_reserve(reserve)
    , m_balance(reserve)
{}

void RetryBudget::recordFirstAttempt()
{
    m_balance = std::min(m_reserve, m_balance + m_fraction);
}

bool RetryBudget::take()
{
    if (m_balance < 1.0) {
        return false;
    }
    m_balance -= 1.0;
    return true;
}

} // namespace celeryroute
