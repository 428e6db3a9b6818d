#include <celeryroute/detail/placement/callqueue.h>

#include <celeryroute/detail/placement/itemkey.h>

#include <algorithm>
#include <tuple>

namespace celeryroute {

namespace {

template <typename Map, typename Value>
void eraseFrom(Map &map, const std::string &key, const Value &value)
{
    const auto entry = map.find(key);
    if (entry != map.end() && entry->second.erase(value) > 0 && entry->second.empty()) {
        map.erase(entry);
    }
}

} // namespace

bool CallQueue::OrderKey::operator<(const OrderKey &other) const
{
    return std::tie(priority, deadline, number, call)
        < std::tie(other.priority, other.deadline, other.number, other.call);
}

std::string CallQueue::modelKey(const std::string &pool, const std::string &item)
{
    return pool + '\n' + modelOfItem(item);
}

void CallQueue::put(WaitingCall call)
{
    const auto known = m_calls.find(call.call);
    const std::uint64_t number = known == m_calls.end() ? ++m_lastNumber : known->second.number;
    if (known != m_calls.end()) {
        unlink(known->second);
    }
    const std::string model = modelKey(call.pool, call.item);
    const OrderKey key{call.priority, call.deadline, number, call.call};
    m_inOrder.insert(key);
    m_byModel[model].insert(key);
    m_byDeadline.insert({call.deadline, call.call});
    if (call.loadTarget.empty()) {
        ++m_waitingForRoom[model][call.priority];
    } else {
        m_byTarget[call.loadTarget].insert(call.call);
    }
    if (!call.permitTarget.empty()) {
        m_byPermitTarget[call.permitTarget].insert(key);
    }
    const std::uint64_t id = call.call;
    m_calls[id] = {std::move(call), number};
}

bool CallQueue::remove(std::uint64_t call)
{
    const auto known = m_calls.find(call);
    if (known == m_calls.end()) {
        return false;
    }
    unlink(known->second);
    m_calls.erase(known);
    return true;
}

void CallQueue::unlink(const QueuedCall &queued)
{
    const WaitingCall &call = queued.call;
    const std::string model = modelKey(call.pool, call.item);
    const OrderKey key{call.priority, call.deadline, queued.number, call.call};
    m_inOrder.erase(key);
    eraseFrom(m_byModel, model, key);
    eraseFrom(m_byTarget, call.loadTarget, call.call);
    eraseFrom(m_byPermitTarget, call.permitTarget, key);
    if (call.loadTarget.empty()) {
        const auto counts = m_waitingForRoom.find(model);
        const auto count = counts->second.find(call.priority);
        if (--count->second == 0) {
            counts->second.erase(count);
        }
        if (counts->second.empty()) {
            m_waitingForRoom.erase(counts);
        }
    }
    m_byDeadline.erase({call.deadline, call.call});
}

const WaitingCall *CallQueue::find(std::uint64_t call) const
{
    const auto known = m_calls.find(call);
    return known == m_calls.end() ? nullptr : &known->second.call;
}

std::vector<std::uint64_t>
CallQueue::waitingFor(const std::string &pool, const std::string &model, std::size_t limit) const
{
    const auto keys = m_byModel.find(modelKey(pool, model));
    return keys == m_byModel.end() ? std::vector<std::uint64_t>() : firstCalls(keys->second, limit);
}

std::vector<std::uint64_t> CallQueue::inOrder(std::size_t limit) const
{
    return firstCalls(m_inOrder, limit);
}

std::vector<std::uint64_t> CallQueue::firstCalls(const std::set<OrderKey> &keys, std::size_t limit)
{
    std::vector<std::uint64_t> calls;
    calls.reserve(std::min(limit, keys.size()));
    for (auto key = keys.begin(); key != keys.end() && calls.size() < limit; ++key) {
        calls.push_back(key->call);
    }
    return calls;
}

std::size_t CallQueue::waitingForRoom(const std::string &pool, const std::string &model, std::uint32_t priority) const
{
    std::size_t calls = 0;
    const auto counts = m_waitingForRoom.find(modelKey(pool, model));
    if (counts != m_waitingForRoom.end()) {
        for (auto count = counts->second.begin(); count != counts->second.end() && count->first <= priority; ++count) {
            calls += count->second;
        }
    }
    return calls;
}

std::vector<std::uint64_t> CallQueue::waitingForPermit(const std::string &target, std::size_t limit) const
{
    const auto keys = m_byPermitTarget.find(target);
    return keys == m_byPermitTarget.end() ? std::vector<std::uint64_t>() : firstCalls(keys->second, limit);
}

std::vector<PermitDemand> CallQueue::permitDemands() const
{
    std::vector<PermitDemand> demands;
    for (const auto &[target, keys] : m_byPermitTarget) {
        demands.push_back({target, static_cast<std::uint32_t>(keys.size()), keys.begin()->priority});
    }
    return demands;
}

std::vector<WaitingCall> CallQueue::takeExpired(TimePoint now)
{
    std::vector<WaitingCall> expired;
    while (!m_byDeadline.empty() && m_byDeadline.begin()->first <= now) {
        const std::uint64_t call = m_byDeadline.begin()->second;
        expired.push_back(m_calls.at(call).call);
        remove(call);
    }
    return expired;
}

TimePoint CallQueue::nextDeadline() const
{
    return m_byDeadline.empty() ? TimePoint::max() : m_byDeadline.begin()->first;
}

std::vector<DemandedItem> CallQueue::demandAt(const std::string &target) const
{
    std::map<std::string, DemandedItem> demands;
    const auto calls = m_byTarget.find(target);
    if (calls != m_byTarget.end()) {
        for (const std::uint64_t number : calls->second) {
            const WaitingCall &call = m_calls.at(number).call;
            const auto [demand, added] = demands.try_emplace(call.item,
                                                             DemandedItem{call.item, 0, call.priority, call.since});
            ++demand->second.calls;
            demand->second.priority = std::min(demand->second.priority, call.priority);
            demand->second.since = std::min(demand->second.since, call.since);
        }
    }
    std::vector<DemandedItem> list;
    list.reserve(demands.size());
    for (auto &[item, demand] : demands) {
        list.push_back(std::move(demand));
    }
    return list;
}

std::size_t CallQueue::size() const
{
    return m_calls.size();
}

} // namespace celeryroute
