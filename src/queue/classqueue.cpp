#include <celeryroute/detail/queue/classqueue.h>

#include <algorithm>

namespace celeryroute {

ClassQueue::ClassQueue(double burstCredit)
    : m_burstCredit(burstCredit)
{}

void ClassQueue::insert(const QueueEntry &entry, std::uint64_t sequence)
{
    Flow &flow = flowOf(entry);
    deactivate(flow);
    flow.weight = entry.weight;
    flow.entries.emplace(entry.deadline, sequence);
    flow.service += entry.serviceTime;
    m_service += entry.serviceTime;
    activate(flow);
}

void ClassQueue::erase(const QueueEntry &entry, std::uint64_t sequence)
{
    const auto found = m_flows.find(entry.customer);
    if (found == m_flows.end()) {
        return;
    }
    Flow &flow = found->second;
    deactivate(flow);
    if (flow.entries.erase({entry.deadline, sequence}) > 0) {
        flow.service -= entry.serviceTime;
        m_service -= entry.serviceTime;
    }
    reinsert(flow);
    dropIdleFlows();
}

std::optional<std::uint64_t> ClassQueue::front() const
{
    if (m_active.empty()) {
        return std::nullopt;
    }
    return std::get<2>(*m_active.begin());
}

void ClassQueue::popFront(const QueueEntry &entry, std::uint64_t sequence)
{
    Flow &flow = *std::get<3>(*m_active.begin());
    deactivate(flow);
    flow.entries.erase({entry.deadline, sequence});
    flow.service -= entry.serviceTime;
    m_service -= entry.serviceTime;
    m_virtualTime = std::max(m_virtualTime, flow.startTag);
    flow.startTag += static_cast<double>(entry.tokens) / flow.weight;
    reinsert(flow);
    dropIdleFlows();
}

// A refund never raises a customer's credit above the burst credit. With unlimited credit the customer
// could block the others later.
void ClassQueue::correctCharge(const std::string &customer, double tokens)
{
    const auto found = m_flows.find(customer);
    if (found == m_flows.end()) {
        return;
    }
    Flow &flow = found->second;
    deactivate(flow);
    flow.startTag = std::max(minStartTag(), flow.startTag + tokens / flow.weight);
    reinsert(flow);
    dropIdleFlows();
}

// While the customer's own entries before the new one are served, the other customers get service in
// proportion to their weights, limited by the total waiting service. The position within the customer is
// interpolated between its first and last deadline, which avoids an order-statistics tree.
Duration ClassQueue::serviceAhead(const QueueEntry &entry) const
{
    const auto found = m_flows.find(entry.customer);
    if (found == m_flows.end() || found->second.entries.empty()) {
        return Duration::zero();
    }
    const Flow &flow = found->second;
    const TimePoint first = flow.entries.begin()->first;
    const TimePoint last = flow.entries.rbegin()->first;
    double position = entry.deadline >= last ? 1.0 : 0.0;
    if (entry.deadline > first && entry.deadline < last) {
        position = toSeconds(entry.deadline - first) / toSeconds(last - first);
    }
    const double own = position * toSeconds(flow.service);
    const double shared = own * std::max(1.0, m_activeWeight / flow.weight);
    return fromSeconds(std::min(shared, toSeconds(m_service)));
}

ClassQueue::ActiveKey ClassQueue::activeKey(Flow &flow) const
{
    const EntryKey &head = *flow.entries.begin();
    return {flow.startTag, head.first, head.second, &flow};
}

ClassQueue::Flow &ClassQueue::flowOf(const QueueEntry &entry)
{
    Flow &flow = m_flows[entry.customer];
    if (flow.customer.empty()) {
        flow.customer = entry.customer;
        flow.weight = entry.weight;
        flow.startTag = minStartTag();
    }
    return flow;
}

void ClassQueue::activate(Flow &flow)
{
    m_idle.erase({flow.startTag, flow.customer});
    flow.startTag = std::max(flow.startTag, minStartTag());
    m_active.insert(activeKey(flow));
    m_activeWeight += flow.weight;
}

void ClassQueue::deactivate(Flow &flow)
{
    if (flow.entries.empty()) {
        m_idle.erase({flow.startTag, flow.customer});
        return;
    }
    m_active.erase(activeKey(flow));
    m_activeWeight = m_active.empty() ? 0.0 : m_activeWeight - flow.weight;
}

void ClassQueue::reinsert(Flow &flow)
{
    if (flow.entries.empty()) {
        m_idle.emplace(flow.startTag, flow.customer);
    } else {
        activate(flow);
    }
}

// The state of a customer without entries is kept only while its credit is below the burst credit. If
// nothing waits at all, the busy period has ended, and all customers start again with the full credit.
void ClassQueue::dropIdleFlows()
{
    if (m_active.empty() && !m_idle.empty()) {
        m_virtualTime = std::max(m_virtualTime, m_idle.rbegin()->first + m_burstCredit);
    }
    while (!m_idle.empty() && m_idle.begin()->first <= minStartTag()) {
        m_flows.erase(m_idle.begin()->second);
        m_idle.erase(m_idle.begin());
    }
}

} // namespace celeryroute
