#include <celeryroute/detail/budget/customerbudget.h>

#include <algorithm>
#include <chrono>

namespace celeryroute {

namespace {

constexpr Duration MinAskInterval = std::chrono::milliseconds(20);
constexpr Duration MaxAskInterval = std::chrono::seconds(1);
/// Fraction of the rate counted as demand at an entry without any, so that a first request finds
/// something.
constexpr double DemandFloor = 0.0002;
/// Asks for a loan while the held rate is below this multiple of the demand.
constexpr double ComfortableRate = 1.2;
/// Asks for a loan while fewer seconds of demand than this are in the bucket.
constexpr double ComfortableSeconds = 1.0;
/// Smaller parts of the budget are not worth a message.
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

// Time in which the old division was not known to be in force yields nothing: others may have
// refilled from the same share meanwhile.
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

// What does not fit into the held part can only come together through loans, at best at the
// customer's whole rate.
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

// Evens out the ratio of held rate to demand between the two entries. Pairwise evening converges
// to shares in proportion to demand, whoever asks whom. Where that is too little for a request that
// waits at the taker, tokens beyond what this entry's callers need soon go along. Tokens travel
// with their share, so that the sum of all capacities stays the customer's burst.
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

// The first refusal since the last loan asks soon. Later ones keep to the growing interval, so
// that a customer far over its rate causes no flood of messages.
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
