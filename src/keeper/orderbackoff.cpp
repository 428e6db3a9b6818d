#include <celeryroute/detail/keeper/orderbackoff.h>

#include <celeryroute/detail/keeper/itemname.h>

#include <algorithm>

namespace celeryroute {

namespace {

using namespace std::chrono_literals;

constexpr Duration FirstConflictDelay = 10ms;
constexpr Duration MaxConflictDelay = 150ms;
constexpr Duration FirstRejectionDelay = 250ms;
constexpr Duration MaxRejectionDelay = 4s;
constexpr Duration RepeatInterval = 1s; ///< A failure within this time after a backoff doubles the delay.

} // namespace

void OrderBackoff::noteFailure(const TargetOrder &order, OrderAnswer outcome, TimePoint now)
{
    Backoff &backoff = m_backoffs[toString(itemOf(order))];
    const bool rejected = outcome == OrderAnswer::Rejected;
    const bool repeated = rejected == backoff.rejected && now - backoff.until < RepeatInterval;
    if (repeated) {
        backoff.delay = std::min(2 * backoff.delay, rejected ? MaxRejectionDelay : MaxConflictDelay);
    } else {
        backoff.delay = rejected ? FirstRejectionDelay : FirstConflictDelay;
    }
    backoff.rejected = rejected;
    backoff.until = now + backoff.delay;
}

bool OrderBackoff::isBlocked(const std::string &item, TimePoint now) const
{
    const auto found = m_backoffs.find(item);
    return found != m_backoffs.end() && now < found->second.until;
}

bool OrderBackoff::isRejected(const std::string &item, TimePoint now) const
{
    return isBlocked(item, now) && m_backoffs.at(item).rejected;
}

} // namespace celeryroute
