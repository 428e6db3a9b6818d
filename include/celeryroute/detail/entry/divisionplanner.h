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

/// How long the set of entries must be unchanged before budgets are divided anew.
struct DivisionTimes {
    Duration afterArrival = std::chrono::milliseconds(500);
    Duration afterLoss = std::chrono::seconds(5);
    Duration betweenProposals = std::chrono::seconds(3);
    bool operator==(const DivisionTimes &) const = default;
};

/// @brief Proposes to divide customers' budgets equally when entries have come or gone.
///
/// Any entry may propose and the fold settles races; the first by a hash of the incarnations does, so
/// that mostly one proposal is made.
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
