#include <celeryroute/detail/budget/customerbudget.h>

#include <algorithm>
#include <chrono>

namespace celeryroute {

namespace {

constexpr Duration MinAskInterval = std::chrono::milliseconds(20);
constexpr Duration MaxAskInterval = std::chrono::seconds(1);
/// Minimum demand of each entry as a fraction of the rate, so that tokens are available for a first
/// request.
constexpr double DemandFloor = 0.0002;
/// A loan is requested while the held rate is below this multiple of the demand.
constexpr double ComfortableRate = 1.2;
/// A loan is requested while the bucket holds less than this many seconds of demand.
constexpr double ComfortableSeconds = 1.0;
/// Smaller fractions of the budget are not lent, because they are not worth a message.
constexpr double SmallestLoan = 0.0001;
constexpr Duration LongestRetry = std::chrono::hours(1);

} // namespace

CustomerBudget::CustomerBudget(BudgetLimits limits, TimePoint now)
    : m_bucket(limits, now)
    , m_askInterval(MinAskInterval)
{}

void CustomerBudget::setLimits(BudgetLimits limits, TimePoint spendableUntil)
{
    m_bucket.refill(spendableUntil);
    m_bucket.setLimits(limits);
}

// No tokens accrue for the time in which the old division was not confirmed, because other entries may have
// accrued tokens from the same share.
void CustomerBudget::beginHandover(double fraction, bool keepHolding, TimePoint spendableUntil, TimePoint now)
{
    m_bucket.refill(std::min(spendableUntil, now));
    m_bucket.skipTo(now);
    m_nextFraction = fraction;
    const double kept = keepHolding ? fraction : 0.0;
    m_bucket.hold(std::min(m_bucket.rateFraction(), kept), std::min(m_bucket.burstFraction(), kept));
}

void CustomerBudget::activate(TimePoint handoverEnd, TimePoint spendableUntil)
{
    m_bucket.refill(std::min(spendableUntil, handoverEnd));
    m_bucket.skipTo(handoverEnd);
    m_bucket.hold(m_nextFraction, m_nextFraction);
}

std::uint64_t CustomerBudget::reserve(double tokens, TimePoint spendableUntil, TimePoint now)
{
    m_demand.add(tokens, now);
    m_bucket.refill(spendableUntil);
    const std::uint64_t step = m_bucket.take(tokens);
    if (step == 0) {
        noteMissing(tokens - m_bucket.tokens(), now);
    } else if (m_bucket.tokens() >= m_missing) {
        m_missing = 0.0;
    }
    return step;
}

void CustomerBudget::settle(std::uint64_t step, double unused, TimePoint spendableUntil)
{
    m_bucket.refill(spendableUntil);
    m_bucket.giveBack(step, unused);
}

// Tokens beyond the held capacity can only be collected through loans, at most at the customer's whole
// rate.
Duration CustomerBudget::retryAfter(double tokens) const
{
    const double missing = std::max(0.0, tokens - m_bucket.tokens());
    const bool fits = tokens <= m_bucket.capacity() && m_bucket.rate() > 0.0;
    const double rate = fits ? m_bucket.rate() : m_bucket.limits().tokensPerSecond;
    if (rate <= 0.0) {
        return LongestRetry;
    }
    return std::min(LongestRetry, fromSeconds(missing / rate));
}

bool CustomerBudget::shouldAsk(TimePoint now)
{
    if (now < m_nextAsk || m_bucket.rateFraction() >= 1.0) {
        return false;
    }
    const double demand = m_demand.value(now);
    const bool slow = m_bucket.rate() < demand * ComfortableRate;
    const bool low = m_bucket.tokens() < demand * ComfortableSeconds;
    if (m_missing <= 0.0 && (idle(now) || (!slow && !low))) {
        m_askInterval = MinAskInterval;
        return false;
    }
    m_nextAsk = now + m_askInterval;
    m_askInterval = std::min(MaxAskInterval, 2 * m_askInterval);
    return true;
}

LoanRequest CustomerBudget::loanRequest(TimePoint now) const
{
    LoanRequest request;
    request.tokens = m_missing;
    request.demandRate = demandFraction(now);
    request.heldRate = m_bucket.rateFraction();
    return request;
}

// Equalizes the ratio of held rate to demand between the two entries. Repeated between pairs of entries,
// this converges to shares in proportion to demand, in whatever order the entries ask each other. If that
// part is too small for a request waiting at the taker, it is enlarged by the tokens that this entry does not
// need soon. Tokens are lent only together with the fractions they belong to, so that the capacities of all
// entries still sum to the customer's burst.
BudgetSlice CustomerBudget::lend(const LoanRequest &request, TimePoint spendableUntil, TimePoint now)
{
    m_bucket.refill(spendableUntil);
    const double held = m_bucket.rateFraction();
    if (held <= 0.0) {
        return {};
    }
    const double ownDemand = demandFraction(now);
    const double takerDemand = std::clamp(request.demandRate, DemandFloor, 1.0);
    const double even = (held * takerDemand - request.heldRate * ownDemand) / (ownDemand + takerDemand);
    const double spare = m_bucket.tokens() - m_demand.value(now) * ComfortableSeconds;
    const double missing = std::min(request.tokens, spare);
    const double fraction = std::max(even / held, missing > 0.0 ? missing / m_bucket.tokens() : 0.0);
    if (fraction * held < SmallestLoan) {
        return {};
    }
    return m_bucket.cut(fraction);
}

BudgetSlice CustomerBudget::cut(double fraction, TimePoint spendableUntil)
{
    m_bucket.refill(spendableUntil);
    return m_bucket.cut(fraction);
}

void CustomerBudget::credit(const BudgetSlice &slice, TimePoint spendableUntil)
{
    m_bucket.refill(spendableUntil);
    m_bucket.add(slice);
    m_missing = 0.0;
    m_askInterval = MinAskInterval;
}

bool CustomerBudget::idle(TimePoint now) const
{
    return m_missing <= 0.0 && demandFraction(now) <= DemandFloor;
}

// The first refusal since the last loan triggers a loan request at once. Further ones use exponential
// backoff, so that a customer far above its rate does not cause a flood of messages.
void CustomerBudget::noteMissing(double tokens, TimePoint now)
{
    if (m_missing <= 0.0) {
        m_askInterval = MinAskInterval;
        m_nextAsk = std::min(m_nextAsk, now);
    }
    m_missing = std::max(m_missing, tokens);
}

double CustomerBudget::demandFraction(TimePoint now) const
{
    const double rate = m_bucket.limits().tokensPerSecond;
    if (rate <= 0.0) {
        return DemandFloor;
    }
    return std::clamp(m_demand.value(now) / rate, DemandFloor, 1.0);
}

} // namespace celeryroute
