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

/// @brief Customers' budgets at one entry, set from the replicated state; entries lend tokens over their links.
class EntryBudget
{
public:
    /// @param send sends messages to other entries.
    EntryBudget(std::string instance,
                HostDirectory &directory,
                std::function<void(HostLink &, proto::Envelope &)> send);

    /// @brief Applies customers' limits and the division of shares.
    void setState(const FleetState &state, TimePoint now);
    /// @brief Records that the replicated state was confirmed as current at @p at.
    void confirm(TimePoint at);
    ReserveOutcome reserve(const std::string &customer, double tokens, TimePoint now);
    void settle(std::uint64_t reservation, double used, TimePoint now);
    bool holdsShare(TimePoint now) const;
    void tick(TimePoint now);
    /// @brief Processes a lending message; false for messages of other types.
    bool receive(const proto::Envelope &envelope, TimePoint now);
    /// @brief Transfers all tokens to other entries before a planned stop.
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
