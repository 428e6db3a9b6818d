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

bool CallQueue::Rank::operator<(const Rank &other) const
{
    return std::tie(priority, deadline, number, call)
        < std::tie(other.priority, other.deadline, other.number, other.call);
}

std::string CallQueue::key(const std::string &pool, const std::string &item)
{
    return pool + '\n' + modelOfItem(item);
}

void CallQueue::put(WaitingCall call)
{
    const auto known = m_calls.find(call.call);
    const std::uint64_t number = known == m_calls.end() ? ++m_numbers : known->second.number;
    if (known != m_calls.end()) {
        unlink(known->second);
    }
    const std::string model = key(call.pool, call.item);
    const Rank rank{call.priority, call.deadline, number, call.call};
    m_inOrder.insert(rank);
    m_byModel[model].insert(rank);
    m_byDeadline.insert({call.deadline, call.call});
    if (call.askedTarget.empty()) {
        ++m_forRoom[model][call.priority];
    } else {
        m_byTarget[call.askedTarget].insert(call.call);
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

void CallQueue::unlink(const Held &held)
{
    const WaitingCall &call = held.call;
    const std::string model = key(call.pool, call.item);
    const Rank rank{call.priority, call.deadline, held.number, call.call};
    m_inOrder.erase(rank);
    eraseFrom(m_byModel, model, rank);
    eraseFrom(m_byTarget, call.askedTarget, call.call);
    if (call.askedTarget.empty()) {
        const auto counts = m_forRoom.find(model);
        const auto count = counts->second.find(call.priority);
        if (--count->second == 0) {
            counts->second.erase(count);
        }
        if (counts->second.empty()) {
            m_forRoom.erase(counts);
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
    const auto ranks = m_byModel.find(key(pool, model));
    return ranks == m_byModel.end() ? std::vector<std::uint64_t>() : first(ranks->second, limit);
}

std::vector<std::uint64_t> CallQueue::inOrder(std::size_t limit) const
{
    return first(m_inOrder, limit);
}

std::vector<std::uint64_t> CallQueue::first(const std::set<Rank> &ranks, std::size_t limit)
{
    std::vector<std::uint64_t> calls;
    calls.reserve(std::min(limit, ranks.size()));
    for (auto rank = ranks.begin(); rank != ranks.end() && calls.size() < limit; ++rank) {
        calls.push_back(rank->call);
    }
    return calls;
}

std::size_t CallQueue::waitingForRoom(const std::string &pool, const std::string &model, std::uint32_t priority) const
{
    std::size_t calls = 0;
    const auto counts = m_forRoom.find(key(pool, model));
    if (counts != m_forRoom.end()) {
        for (auto count = counts->second.begin(); count != counts->second.end() && count->first <= priority; ++count) {
            calls += count->second;
        }
    }
    return calls;
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

std::vector<WantedItem> CallQueue::wantsAt(const std::string &target) const
{
    std::map<std::string, WantedItem> wants;
    const auto calls = m_byTarget.find(target);
    if (calls != m_byTarget.end()) {
        for (const std::uint64_t number : calls->second) {
            const WaitingCall &call = m_calls.at(number).call;
            const auto [want, added] = wants.try_emplace(call.item,
                                                         WantedItem{call.item, 0, call.priority, call.since});
            ++want->second.calls;
            want->second.priority = std::min(want->second.priority, call.priority);
            want->second.since = std::min(want->second.since, call.since);
        }
    }
    std::vector<WantedItem> list;
    list.reserve(wants.size());
    for (auto &[item, want] : wants) {
        list.push_back(std::move(want));
    }
    return list;
}

std::size_t CallQueue::size() const
{
    return m_calls.size();
}

} // namespace celeryroute
