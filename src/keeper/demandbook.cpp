#include <celeryroute/detail/keeper/demandbook.h>

#include <algorithm>
#include <cmath>

namespace celeryroute {

namespace {

using namespace std::chrono_literals;

constexpr Duration WantsKept = 1s; ///< Without a word of the entry.
constexpr Duration CallsKept = 5s; ///< Without a word of the entry.
constexpr Duration EntryKept = 60s; ///< For its count of targets.
constexpr Duration UseMemory = 30s; ///< Over which use fades to a third.
constexpr Duration UseKept = 600s;
constexpr Duration PruneInterval = 10s;

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
    known.demand = std::move(demand);
    known.heard = now;
    countTargets();
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

void DemandBook::countTargets()
{
    std::uint32_t most = 0;
    for (const auto &[name, entry] : m_entries) {
        most = std::max(most, entry.demand.poolTargets);
    }
    if (most > 0) {
        m_poolTargets = most;
    }
}

std::vector<JointWant> DemandBook::wants(TimePoint now) const
{
    std::unordered_map<std::string, JointWant> byItem;
    for (const auto &[name, entry] : m_entries) {
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

std::unordered_map<std::string, std::uint32_t> DemandBook::inFlight(TimePoint now) const
{
    std::unordered_map<std::string, std::uint32_t> result;
    for (const auto &[name, entry] : m_entries) {
        if (now - entry.heard > CallsKept) {
            continue;
        }
        for (const ItemCalls &calls : entry.demand.inFlight) {
            result[calls.item] += calls.calls;
            const ItemName item = parseItem(calls.item);
            if (!item.adapter.empty()) {
                result[item.model] += calls.calls;
            }
        }
    }
    return result;
}

bool DemandBook::active(TimePoint now) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [now](const auto &named) {
        const Entry &entry = named.second;
        const Duration silence = now - entry.heard;
        return (silence <= WantsKept && !entry.demand.wants.empty())
            || (silence <= CallsKept && !entry.demand.inFlight.empty());
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

void DemandBook::prune(TimePoint now)
{
    if (now < m_nextPrune) {
        return;
    }
    m_nextPrune = now + PruneInterval;
    const auto erased = std::erase_if(m_entries,
                                      [now](const auto &named) { return now - named.second.heard > EntryKept; });
    std::erase_if(m_uses, [now](const auto &named) { return now - named.second.last > UseKept; });
    if (erased > 0) {
        countTargets();
    }
}

} // namespace celeryroute
