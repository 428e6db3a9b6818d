#pragma once

#include <celeryroute/detail/budget/customerbudget.h>
#include <celeryroute/detail/budget/loanledger.h>
#include <celeryroute/detail/budget/loanmessages.h>
#include <celeryroute/detail/budget/reservation.h>
#include <celeryroute/detail/budget/sharelease.h>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace celeryroute {

/// A loan message to another entry.
struct LoanMessage {
    std::string receiver; ///< Incarnation of the receiving entry.
    std::variant<LoanRequest, LoanTransfer, LoanAck> body;
    bool operator==(const LoanMessage &) const = default;
};

/// Budgets of all customers at one incarnation of an entry.
///
/// All entries together never admit more than burst + rate * T tokens of a customer in any period T. A new
/// incarnation starts without tokens and gets its share after the handover.
class BudgetTable
{
public:
    explicit BudgetTable(std::string incarnation);

    /// @brief Adds a customer or changes its limits.
    void setCustomer(const std::string &customer, BudgetLimits limits, TimePoint now);

    /// @brief Removes a customer, so that its requests are refused.
    void removeCustomer(const std::string &customer, TimePoint now);

    /// @brief Applies a division read from the log. A division older than the current one has no effect.
    void applyDivision(const ShareGrant &grant, TimePoint now);

    /// @brief Confirms the current division, see ShareLease::confirm().
    void confirm(TimePoint at);

    /// @brief Reserves the worst-case tokens of a request. Refuses with RateExceeded, RequestExceedsBurst,
    /// or StateStale if the division has not been confirmed for ShareValidity.
    ReserveOutcome reserve(const std::string &customer, double tokens, TimePoint now);

    /// @brief Ends the reservation @p id and returns all but @p used tokens. Repeated calls have no effect.
    void settle(std::uint64_t id, double used, TimePoint now);

    /// @brief Returns the messages due now: loan requests to some of @p peers, and unacknowledged loans.
    std::vector<LoanMessage> tick(const std::vector<std::string> &peers, TimePoint now);

    /// @brief Handles a message from the incarnation @p sender. Returns the answer, if any.
    std::optional<LoanMessage> receive(const std::string &sender, const LoanRequest &request, TimePoint now);
    std::optional<LoanMessage> receive(const std::string &sender, const LoanTransfer &transfer, TimePoint now);
    std::optional<LoanMessage> receive(const std::string &sender, const LoanAck &ack, TimePoint now);

    /// @brief Lends the whole budget to @p peers before a planned stop.
    std::vector<LoanMessage> handOver(const std::vector<std::string> &peers, TimePoint now);

    /// @brief Budget of @p customer at this entry, or null if the customer is unknown.
    const CustomerBudget *find(const std::string &customer) const;

    /// @brief Whether the handover of the current division has ended and this entry has a share.
    bool holdsShare(TimePoint now) const
    {
        return m_lease.isHandoverComplete(now) && m_lease.fraction() > 0;
    }
    std::uint64_t epoch() const
    {
        return m_lease.epoch();
    }
    /// @brief Number of loans sent and not yet acknowledged.
    std::size_t unacknowledgedLoans() const
    {
        return m_ledger.unacknowledged();
    }

private:
    /// A reservation that was not settled yet.
    struct Outstanding {
        std::string customer;
        std::uint64_t generation; ///< Generation of the account that the tokens were taken from.
        std::uint64_t step; ///< See ShareBucket::take().
        double tokens;
    };
    struct Account {
        CustomerBudget budget;
        std::uint64_t generation; ///< Distinguishes accounts of a customer that was removed and added again.
        bool removed;
    };

    TimePoint spendableUntil(TimePoint now) const;
    void activateWhenDue(TimePoint now);
    void requestLoan(const std::string &customer,
                     const std::vector<std::string> &peers,
                     TimePoint now,
                     std::vector<LoanMessage> &messages);
    bool mayLend(TimePoint now) const;
    std::optional<LoanMessage>
    open(const std::string &taker, const std::string &customer, const BudgetSlice &slice, TimePoint now);

    std::string m_incarnation;
    ShareLease m_lease;
    bool m_active = false; ///< Whether the handover of the current division has ended.
    std::map<std::string, Account> m_accounts;
    std::set<std::string> m_loanCandidates; ///< Customers that may need a loan.
    absl::flat_hash_map<std::uint64_t, Outstanding> m_outstanding;
    LoanLedger m_ledger;
    std::uint64_t m_nextId = 1;
    std::uint64_t m_nextRequest = 1;
    std::size_t m_nextPeer = 0;
};

} // namespace celeryroute
