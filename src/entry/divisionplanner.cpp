#include <celeryroute/detail/entry/divisionplanner.h>

#include <celeryroute/detail/base/digest.h>

#include <records.pb.h>

#include <algorithm>

namespace celeryroute {

namespace {

bool byHash(const std::string &left, const std::string &right)
{
    return stableHash(left) < stableHash(right);
}

bool hasLost(const Shares &current, const std::set<std::string> &entries)
{
    return std::any_of(current.fractions.begin(), current.fractions.end(), [&entries](const auto &share) {
        return entries.count(share.first) == 0;
    });
}

bool isDividedBetween(const Shares &current, const std::set<std::string> &entries)
{
    return current.fractions.size() == entries.size() && !hasLost(current, entries);
}

} // namespace

DivisionPlanner::DivisionPlanner(std::string instance, DivisionTimes times)
    : m_instance(std::move(instance))
    , m_times(times)
{}

// A missing entry may only be partitioned from this one, so its share is reassigned only after a
// longer delay than the one after which a new entry receives a share.
std::optional<proto::ShareDivision>
DivisionPlanner::propose(const Shares &current, const std::set<std::string> &entries, TimePoint now)
{
    if (entries != m_seen) {
        m_seen = entries;
        m_seenSince = now;
    }
    if (entries.empty() || isDividedBetween(current, entries)) {
        return std::nullopt;
    }
    const Duration settleTime = hasLost(current, entries) ? m_times.afterLoss : m_times.afterArrival;
    const bool proposedRecently = m_proposedAt && now - *m_proposedAt < m_times.betweenProposals;
    const std::string &proposer = *std::min_element(entries.begin(), entries.end(), byHash);
    if (now - m_seenSince < settleTime || proposedRecently || proposer != m_instance) {
        return std::nullopt;
    }
    m_proposedAt = now;
    proto::ShareDivision division;
    division.set_base_epoch(current.epoch);
    for (const std::string &entry : entries) {
        proto::EntryShare &share = *division.add_shares();
        share.set_incarnation(entry);
        share.set_fraction(1.0 / static_cast<double>(entries.size()));
    }
    return division;
}

} // namespace celeryroute
