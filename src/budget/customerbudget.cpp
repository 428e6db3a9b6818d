#include <celeryroute/detail/budget/customerbudget.h>

#include <algorithm>
#include <chrono>

namespace celeryroute {

namespace {

constexpr Duration MinLoanRequestInterval = std::chrono::milliseconds(20);
constexpr Duration MaxLoanRequestInterval = std::chrono::seconds(1);
/// Lower bound of an entry's demand, as a fraction of the customer's token rate. It keeps the share of an
/// entry without traffic above zero, so that the entry has tokens for a first request.
constexpr double MinDemandFraction = 0.0002;
/// A loan is requested while the held rate is below this multiple of the demand.
constexpr double LoanRateThreshold = 1.2;
/// A loan is requested while the bucket holds less than this many seconds of demand.
constexpr double LoanReserveSeconds = 1.0;
/// Minimum fraction of the customer's rate that is lent; a smaller loan is not worth a message.
constexpr double MinLoanFraction = 0.0001;
constexpr Duration MaxRetryAfter = std::chrono::hours(1);

} // namespace

CustomerBudget::CustomerBudget(BudgetLimits limits, TimePoint now)
    : m_bucket(limits, now)
    , m_loanRequestInterval(MinLoanRequestInterval)
{}

void CustomerBudget::setLimits(BudgetLimits limits, TimePoint spendableUntil)
{
    m_bucket.refill(spendableUntil);
    m_bucket.setLimits(limits);
}

// No tokens accrue for the time between spendableUntil and now. The old division of the budget was not
// confirmed in that time, so other entries may have accrued tokens from the same share.
void CustomerBudget::beginHandover(double fraction, bool keepHolding, TimePoint spendableUntil, TimePoint now)
{
    m_bucket.refill(std::min(spendableUntil, now));
    m_bucket.skipTo(now);
    m_nextFraction = fraction;
    const double kept = keepHolding ? fraction : 0.0;
    m_bucket.setFractions(std::min(m_bucket.rateFraction(), kept), std::min(m_bucket.burstFraction(), kept));
}

void CustomerBudget::activate(TimePoint handoverEnd, TimePoint spendableUntil)
{
    m_bucket.refill(std::min(spendableUntil, handoverEnd));
    m_bucket.skipTo(handoverEnd);
    m_bucket.setFractions(m_nextFraction, m_nextFraction);
}

std::uint64_t CustomerBudget::reserve(double tokens, TimePoint spendableUntil, TimePoint now)
{
    m_demand.add(tokens, now);
    m_bucket.refill(spendableUntil);
    const std::uint64_t step = m_bucket.take(tokens);
    if (step == 0) {
        recordDeficit(tokens - m_bucket.tokens(), now);
    } else if (m_bucket.tokens() >= m_deficit) {
        m_deficit = 0.0;
    }
    return step;
}

void CustomerBudget::settle(std::uint64_t step, double unused, TimePoint spendableUntil)
{
    m_bucket.refill(spendableUntil);
    m_bucket.refund(step, unused);
}

// A request that exceeds the capacity of this entry's bucket can be admitted only with tokens lent by other
// entries. These arrive at most at the customer's whole rate, which gives the shortest possible wait.
Duration CustomerBudget::retryAfter(double tokens) const
{
    const double missing = std::max(0.0, tokens - m_bucket.tokens());
    const bool fits = tokens <= m_bucket.capacity() && m_bucket.rate() > 0.0;
    const double rate = fits ? m_bucket.rate() : m_bucket.limits().tokensPerSecond;
    if (rate <= 0.0) {
        return MaxRetryAfter;
    }
    return std::min(MaxRetryAfter, fromSeconds(missing / rate));
}

bool CustomerBudget::shouldRequestLoan(TimePoint now)
{
    if (now < m_nextLoanRequest || m_bucket.rateFraction() >= 1.0) {
        return false;
    }
    const double demand = m_demand.value(now);
    const bool slow = m_bucket.rate() < demand * LoanRateThreshold;
    const bool low = m_bucket.tokens() < demand * LoanReserveSeconds;
    if (m_deficit <= 0.0 && (isIdle(now) || (!slow && !low))) {
        m_loanRequestInterval = MinLoanRequestInterval;
        return false;
    }
    m_nextLoanRequest = now + m_loanRequestInterval;
    m_loanRequestInterval = std::min(MaxLoanRequestInterval, 2 * m_loanRequestInterval);
    return true;
}

LoanRequest CustomerBudget::loanRequest(TimePoint now) const
{
    LoanRequest request;
    request.tokens = m_deficit;
    request.demandRate = demandFraction(now);
    request.heldRate = m_bucket.rateFraction();
    return request;
}

// Lends the fraction that makes the ratio of held rate to demand equal in both entries. Repeated loans between
// pairs of entries converge to shares in proportion to demand, in whatever order the entries ask each other.
// If this fraction does not cover the request that waits at the borrower, more is lent, but this entry keeps
// the tokens for its own demand during the next LoanReserveSeconds. Tokens are lent only together with the
// same fraction of rate and burst, so that the capacities of all entries still sum to the customer's burst.
BudgetSlice CustomerBudget::lend(const LoanRequest &request, TimePoint spendableUntil, TimePoint now)
{
    m_bucket.refill(spendableUntil);
    const double held = m_bucket.rateFraction();
    if (held <= 0.0) {
        return {};
    }
    const double ownDemand = demandFraction(now);
    const double takerDemand = std::clamp(request.demandRate, MinDemandFraction, 1.0);
    const double even = (held * takerDemand - request.heldRate * ownDemand) / (ownDemand + takerDemand);
    const double spare = m_bucket.tokens() - m_demand.value(now) * LoanReserveSeconds;
    const double missing = std::min(request.tokens, spare);
    const double fraction = std::max(even / held, missing > 0.0 ? missing / m_bucket.tokens() : 0.0);
    if (fraction * held < MinLoanFraction) {
        return {};
    }
    return m_bucket.splitOff(fraction);
}

BudgetSlice CustomerBudget::splitOff(double fraction, TimePoint spendableUntil)
{
    m_bucket.refill(spendableUntil);
    return m_bucket.splitOff(fraction);
}

void CustomerBudget::credit(const BudgetSlice &slice, TimePoint spendableUntil)
{
    m_bucket.refill(spendableUntil);
    m_bucket.add(slice);
    m_deficit = 0.0;
    m_loanRequestInterval = MinLoanRequestInterval;
}

bool CustomerBudget::isIdle(TimePoint now) const
{
    return m_deficit <= 0.0 && demandFraction(now) <= MinDemandFraction;
}

// The first refusal since the last loan makes a loan request due at once. Further loan requests use exponential
// backoff, so that a customer far above its rate does not cause a flood of messages.
void CustomerBudget::recordDeficit(double tokens, TimePoint now)
{
    if (m_deficit <= 0.0) {
        m_loanRequestInterval = MinLoanRequestInterval;
        m_nextLoanRequest = std::min(m_nextLoanRequest, now);
    }
    m_deficit = std::max(m_deficit, tokens);
}

double CustomerBudget::demandFraction(TimePoint now) const
{
    const double rate = m_bucket.limits().tokensPerSecond;
    if (rate <= 0.0) {
        return MinDemandFraction;
    }
    return std::clamp(m_demand.value(now) / rate, MinDemandFraction, 1.0);
}

} // namespace celeryroute
