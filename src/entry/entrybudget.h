#pragma once

#include <celeryroute/detail/budget/budgettable.h>
#include <celeryroute/detail/entry/hostdirectory.h>
#include <celeryroute/detail/state/fleetstate.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace celeryroute {

namespace proto {
class Envelope;
}

/// @brief The customers' budgets at one entry, fed from the agreed state and lent over the links.
class EntryBudget
{
public:
    /// @param send takes messages to other entries.
    EntryBudget(std::string instance,
                HostDirectory &directory,
                std::function<void(HostLink &, proto::Envelope &)> send);

    /// @brief Takes up customers' limits and the division of shares.
    void setState(const FleetState &state, TimePoint now);
    /// @brief The agreed state was known to be in force at @p at.
    void confirm(TimePoint at);
    ReserveOutcome reserve(const std::string &customer, double tokens, TimePoint now);
    void settle(std::uint64_t reservation, double used, TimePoint now);
    bool holdsShare(TimePoint now) const;
    void tick(TimePoint now);
    /// @brief Takes a lending message; false when it is none.
    bool receive(const proto::Envelope &envelope, TimePoint now);
    /// @brief Lends everything away before a planned stop.
    void handOver(TimePoint now);

private:
    void sendAll(const std::vector<LoanMessage> &messages);
    void sendOne(const LoanMessage &message);

    std::string m_instance;
    HostDirectory &m_directory;
    std::function<void(HostLink &, proto::Envelope &)> m_send;
    BudgetTable m_book;
    std::vector<std::string> m_customers;
    Revision m_divisionSeen = 0;
};

} // namespace celeryroute
