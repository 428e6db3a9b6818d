#include <celeryroute/detail/allowance/allowancequeue.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr double LeastRate = 1e-3; // Avoids a division by 0 while no part of the allowance may be spent here.

} // namespace

bool AllowanceQueue::isWaiting(const std::string &customer, AllowanceCall call, TimePoint now) const
{
    call.heldUntil = now + call.longest;
    const auto known = m_customers.find(customer);
    return known != m_customers.end() && !call.goesBefore(known->second.calls.front());
}

Duration AllowanceQueue::expectedWait(const std::string &customer, AllowanceCall call, TimePoint now) const
{
    if (!isWaiting(customer, call, now)) {
        return call.missing;
    }
    call.heldUntil = now + call.longest;
    // The first call is covered when it is due; what is filled from then on goes to those behind it.
    const Customer &waiting = m_customers.at(customer);
    double behind = call.cost;
    for (std::size_t i = 1; i < waiting.calls.size() && !call.goesBefore(waiting.calls[i]); ++i) {
        behind += waiting.calls[i].cost;
    }
    const Duration first = std::max(Duration::zero(), waiting.dueAt - now);
    constexpr double LongestSeconds = 3600;
    return first + fromSeconds(std::min(LongestSeconds, behind / std::max(LeastRate, call.perSecond)));
}

bool AllowanceQueue::add(const std::string &customer, AllowanceCall call, TimePoint now)
{
    if (expectedWait(customer, call, now) > call.longest) {
        return false;
    }
    call.heldUntil = now + call.longest;
    const auto known = m_customers.find(customer);
    if (known != m_customers.end() && known->second.calls.size() >= MaxCallsPerCustomer) {
        return false;
    }
    Customer &waiting = m_customers[customer];
    const auto goesBefore = [](const AllowanceCall &left, const AllowanceCall &right) {
        return left.goesBefore(right);
    };
    const auto place = std::upper_bound(waiting.calls.begin(), waiting.calls.end(), call, goesBefore);
    if (place == waiting.calls.begin()) {
        waiting.dueAt = now + call.missing;
    }
    waiting.calls.insert(place, call);
    return true;
}

void AllowanceQueue::remove(const std::string &customer, std::uint64_t call)
{
    const auto known = m_customers.find(customer);
    if (known == m_customers.end()) {
        return;
    }
    std::deque<AllowanceCall> &calls = known->second.calls;
    const bool wasFirst = calls.front().call == call;
    std::erase_if(calls, [call](const AllowanceCall &waiting) { return waiting.call == call; });
    if (calls.empty()) {
        m_customers.erase(known);
    } else if (wasFirst) {
        known->second.dueAt = TimePoint::min(); // The next one finds out when it is covered.
    }
}

std::vector<std::uint64_t> AllowanceQueue::due(TimePoint now) const
{
    std::vector<std::uint64_t> calls;
    for (const auto &[name, customer] : m_customers) {
        if (customer.dueAt <= now) {
            calls.push_back(customer.calls.front().call);
        }
    }
    std::sort(calls.begin(), calls.end());
    return calls;
}

void AllowanceQueue::postpone(const std::string &customer, Duration missing, TimePoint now)
{
    const auto known = m_customers.find(customer);
    if (known != m_customers.end()) {
        known->second.dueAt = now + missing;
    }
}

std::optional<TimePoint> AllowanceQueue::nextDue() const
{
    std::optional<TimePoint> next;
    for (const auto &[name, customer] : m_customers) {
        next = std::min(next.value_or(customer.dueAt), customer.dueAt);
    }
    return next;
}

std::size_t AllowanceQueue::size() const
{
    std::size_t calls = 0;
    for (const auto &[name, customer] : m_customers) {
        calls += customer.calls.size();
    }
    return calls;
}

} // namespace celeryroute
