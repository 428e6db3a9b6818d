#include <celeryroute/detail/keeper/demandbook.h>

#include <algorithm>
#include <cmath>

namespace celeryroute {

namespace {

using namespace std::chrono_literals;

constexpr Duration WantsKept = 1s; ///< Since the last report of the entry.
constexpr Duration CallsKept = 5s; ///< Since the last report of the entry.
constexpr Duration EntryKept = 60s; ///< Since the last report of the entry.
constexpr Duration UseMemory = 30s; ///< Time constant of the exponential decay.
constexpr Duration UseKept = 600s;
constexpr Duration SweepInterval = 250ms;
constexpr Duration ForgetInterval = 10s;

double faded(double callSeconds, Duration age)
{
    return callSeconds * std::exp(-toSeconds(age) / toSeconds(UseMemory));
}

} // namespace

void DemandBook::note(const std::string &entry, EntryDemand demand, TimePoint now)
{
    Entry &known = m_entries[entry];
    const double seconds = toSeconds(std::min(now - known.heard, WantsKept));
    for (const ItemCalls &calls : known.demand.inFlight) {
        addUse(calls.item, calls.calls * seconds, now);
    }
    for (const ItemCalls &calls : demand.inFlight) {
        addUse(calls.item, 0, now);
    }
    count(known.demand, false);
    count(demand, true);
    if (demand.wants.empty()) {
        m_wanting.erase(entry);
    } else {
        m_wanting.insert(entry);
    }
    known.demand = std::move(demand);
    known.heard = now;
}

void DemandBook::count(const EntryDemand &demand, bool add)
{
    for (const ItemCalls &calls : demand.inFlight) {
        count(calls.item, calls.calls, add);
        const ItemName item = parseItem(calls.item);
        if (!item.adapter.empty()) {
            count(item.model, calls.calls, add);
        }
    }
}

void DemandBook::count(const std::string &item, std::uint32_t calls, bool add)
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

void DemandBook::addUse(const std::string &item, double callSeconds, TimePoint now)
{
    const auto touch = [&](const std::string &name) {
        Use &use = m_uses[name];
        use.callSeconds = faded(use.callSeconds, now - use.updated) + callSeconds;
        use.updated = now;
        use.last = now;
    };
    touch(item);
    const ItemName name = parseItem(item);
    if (!name.adapter.empty()) {
        touch(name.model);
    }
}

std::vector<JointWant> DemandBook::wants(TimePoint now) const
{
    std::unordered_map<std::string, JointWant> byItem;
    for (const std::string &name : m_wanting) {
        const Entry &entry = m_entries.at(name);
        const Duration silence = now - entry.heard;
        if (silence > WantsKept) {
            continue;
        }
        for (const ItemWant &want : entry.demand.wants) {
            if (want.calls == 0) {
                continue;
            }
            const auto [found, added] = byItem.try_emplace(want.item);
            JointWant &demand = found->second;
            demand.item = added ? parseItem(want.item) : demand.item;
            demand.priority = added ? want.priority : std::min(demand.priority, want.priority);
            demand.calls += want.calls;
            demand.age = std::max(demand.age, want.age + silence);
        }
    }
    std::vector<JointWant> result;
    result.reserve(byItem.size());
    for (auto &[name, demand] : byItem) {
        result.push_back(std::move(demand));
    }
    return result;
}

bool DemandBook::active(TimePoint now) const
{
    return !m_inFlight.empty() || std::any_of(m_wanting.begin(), m_wanting.end(), [&](const std::string &name) {
        return now - m_entries.at(name).heard <= WantsKept;
    });
}

double DemandBook::useOf(const std::string &item, TimePoint now) const
{
    const auto found = m_uses.find(item);
    if (found == m_uses.end()) {
        return 0;
    }
    return faded(found->second.callSeconds, now - found->second.updated) / toSeconds(UseMemory);
}

TimePoint DemandBook::lastUsed(const std::string &item) const
{
    const auto found = m_uses.find(item);
    return found == m_uses.end() ? TimePoint() : found->second.last;
}

void DemandBook::expire(TimePoint now)
{
    if (now >= m_nextSweep) {
        m_nextSweep = now + SweepInterval;
        expireCalls(now);
    }
    if (now >= m_nextForget) {
        m_nextForget = now + ForgetInterval;
        forgetOld(now);
    }
}

void DemandBook::expireCalls(TimePoint now)
{
    for (auto &[name, entry] : m_entries) {
        if (now - entry.heard > CallsKept && !entry.demand.inFlight.empty()) {
            count(entry.demand, false);
            entry.demand.inFlight.clear();
        }
    }
    std::erase_if(m_wanting, [&](const std::string &name) { return now - m_entries.at(name).heard > WantsKept; });
}

void DemandBook::forgetOld(TimePoint now)
{
    std::erase_if(m_entries, [now](const auto &named) { return now - named.second.heard > EntryKept; });
    std::erase_if(m_uses, [now](const auto &named) { return now - named.second.last > UseKept; });
}

} // namespace celeryroute
