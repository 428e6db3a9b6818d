#pragma once

#include <celeryroute/detail/state/shares.h>
#include <celeryroute/time.h>

#include <optional>
#include <set>
#include <string>

namespace celeryroute {

namespace proto {
class ShareDivision;
}

/// Time that the set of entries must be unchanged before budgets are divided again.
struct DivisionTimes {
    Duration afterArrival = std::chrono::milliseconds(500);
    Duration afterLoss = std::chrono::seconds(5);
    Duration betweenProposals = std::chrono::seconds(3);
    bool operator==(const DivisionTimes &) const = default;
};

/// @brief Proposes an equal division of customers' budgets when entries were added or lost.
///
/// Any entry may propose; replaying the log resolves races. Only the entry whose incarnation is first by
/// hash proposes, so that there is usually a single proposal.
class DivisionPlanner
{
public:
    DivisionPlanner(std::string instance, DivisionTimes times);

    /// @brief The division to propose now, if any.
    /// @param entries incarnations of all entries that answer, this one included.
    std::optional<proto::ShareDivision>
    propose(const Shares &current, const std::set<std::string> &entries, TimePoint now);

private:
    std::string m_instance;
    DivisionTimes m_times;
    std::set<std::string> m_seen;
    TimePoint m_seenSince;
    std::optional<TimePoint> m_proposedAt;
};

} // namespace celeryroute
