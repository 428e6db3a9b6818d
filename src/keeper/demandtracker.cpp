#include <celeryroute/detail/keeper/demandtracker.h>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace celeryroute {

namespace {

using namespace std::chrono_literals;

constexpr Duration WaitingTimeout = 1s; ///< Since the last report of the entry.
constexpr Duration RunningTimeout = 5s; ///< Since the last report of the entry.
constexpr Duration EntryTimeout = 60s; ///< Since the last report of the entry.
constexpr Duration UseTimeConstant = 30s; ///< Time constant of the exponential decay.
constexpr Duration UseTimeout = 600s;
constexpr Duration SweepInterval = 250ms;
constexpr Duration RemovalInterval = 10s;

double decayed(double callSeconds, Duration age)
{
    return callSeconds * std::exp(-toSeconds(age) / toSeconds(UseTimeConstant));
}

} // namespace

void DemandTracker::noteDemand(const std::string &entry, EntryDemand demand, TimePoint now)
{
    Entry &known = m_entries[entry];
    const double seconds = toSeconds(std::min(now - known.reportedAt, WaitingTimeout));
    for (const ItemCalls &calls : known.demand.inFlight) {
        addUse(calls.item, calls.calls * seconds, now);
    }
    for (const ItemCalls &calls : demand.inFlight) {
        addUse(calls.item, 0, now);
    }
    count(known.demand, false);
    count(demand, true);
    if (demand.waiting.empty()) {
        m_waitingEntries.erase(entry);
    } else {
        m_waitingEntries.insert(entry);
    }
    known.demand = std::move(demand);
    known.reportedAt = now;
}

void DemandTracker::count(const EntryDemand &demand, bool add)
{
    for (const ItemCalls &calls : demand.inFlight) {
        count(calls.item, calls.calls, add);
        const ItemName item = parseItem(calls.item);
        if (!item.adapter.empty()) {
            count(item.model, calls.calls, add);
        }
    }
}

void DemandTracker::count(const std::string &item, std::uint32_t calls, bool add)
{
    if (calls == 0) {
        return;
    }
    std::uint32_t &sum = m_inFlight[item];
    sum = add ? sum + calls : sum - calls;
    if (sum == 0) {
        m_inFlight.erase(item);
    }
}

void DemandTracker::addUse(const std::string &item, double callSeconds, TimePoint now)
{
    const auto touch = [&](const std::string &name) {
        Use &use = m_uses[name];
        use.callSeconds = decayed(use.callSeconds, now - use.updated) + callSeconds;
        use.updated = now;
        use.lastUsed = now;
    };
    touch(item);
    const ItemName name = parseItem(item);
    if (!name.adapter.empty()) {
        touch(name.model);
    }
}

std::vector<ItemBacklog> DemandTracker::waitingItems(TimePoint now) const
{
    std::unordered_map<std::string, ItemBacklog> byItem;
    for (const std::string &name : m_waitingEntries) {
        const Entry &entry = m_entries.at(name);
        const Duration silence = now - entry.reportedAt;
        if (silence > WaitingTimeout) {
            continue;
        }
        for (const WaitingCalls &waiting : entry.demand.waiting) {
            if (waiting.calls == 0) {
                continue;
            }
            const auto [found, added] = byItem.try_emplace(waiting.item);
            ItemBacklog &backlog = found->second;
            backlog.item = added ? parseItem(waiting.item) : backlog.item;
            backlog.priority = added ? waiting.priority : std::min(backlog.priority, waiting.priority);
            backlog.calls += waiting.calls;
            backlog.age = std::max(backlog.age, waiting.age + silence);
        }
    }
    std::vector<ItemBacklog> result;
    result.reserve(byItem.size());
    for (auto &[name, backlog] : byItem) {
        result.push_back(std::move(backlog));
    }
    return result;
}

std::vector<std::string> DemandTracker::waitingEntries(TimePoint now) const
{
    std::vector<std::string> result;
    std::copy_if(m_waitingEntries.begin(),
                 m_waitingEntries.end(),
                 std::back_inserter(result),
                 [&](const std::string &name) { return isWaiting(name, now); });
    return result;
}

bool DemandTracker::isWaiting(const std::string &entry, TimePoint now) const
{
    return now - m_entries.at(entry).reportedAt <= WaitingTimeout;
}

bool DemandTracker::hasCalls(TimePoint now) const
{
    return !m_inFlight.empty()
        || std::any_of(m_waitingEntries.begin(), m_waitingEntries.end(), [&](const std::string &name) {
               return isWaiting(name, now);
           });
}

double DemandTracker::meanUse(const std::string &item, TimePoint now) const
{
    const auto found = m_uses.find(item);
    if (found == m_uses.end()) {
        return 0;
    }
    return decayed(found->second.callSeconds, now - found->second.updated) / toSeconds(UseTimeConstant);
}

TimePoint DemandTracker::lastUsed(const std::string &item) const
{
    const auto found = m_uses.find(item);
    return found == m_uses.end() ? TimePoint() : found->second.lastUsed;
}

void DemandTracker::expire(TimePoint now)
{
    if (now >= m_nextSweep) {
        m_nextSweep = now + SweepInterval;
        expireCalls(now);
    }
    if (now >= m_nextRemoval) {
        m_nextRemoval = now + RemovalInterval;
        removeStale(now);
    }
}

void DemandTracker::expireCalls(TimePoint now)
{
    for (auto &[name, entry] : m_entries) {
        if (now - entry.reportedAt > RunningTimeout && !entry.demand.inFlight.empty()) {
            count(entry.demand, false);
            entry.demand.inFlight.clear();
        }
    }
    std::erase_if(m_waitingEntries,
                  [&](const std::string &name) { return now - m_entries.at(name).reportedAt > WaitingTimeout; });
}

void DemandTracker::removeStale(TimePoint now)
{
    std::erase_if(m_entries, [now](const auto &named) { return now - named.second.reportedAt > EntryTimeout; });
    std::erase_if(m_uses, [now](const auto &named) { return now - named.second.lastUsed > UseTimeout; });
}

} // namespace celeryroute
