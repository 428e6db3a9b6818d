#pragma once

#include <celeryroute/detail/budget/customerbudget.h>
#include <celeryroute/detail/budget/loanledger.h>
#include <celeryroute/detail/budget/loanmessages.h>
#include <celeryroute/detail/budget/reservation.h>
#include <celeryroute/detail/budget/shareterm.h>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace celeryroute {

/// A message to another entry.
struct LoanMessage {
    std::string receiver; ///< Entry incarnation.
    std::variant<LoanRequest, LoanTransfer, LoanAck> body;
    bool operator==(const LoanMessage &) const = default;
};

/// All customers' budgets at one entry incarnation.
///
/// Over all entries together no customer is ever admitted more than burst + rate * T tokens in any
/// time T. A new incarnation starts with nothing and gains its share after the handover.
class BudgetBook
{
public:
    explicit BudgetBook(std::string incarnation);

    /// @brief Adds a customer or changes its limits.
    void setCustomer(const std::string &customer, BudgetLimits limits, TimePoint now);

    /// @brief Takes the customer's budget away.
    void removeCustomer(const std::string &customer, TimePoint now);

    /// @brief Enters a division read from the log; older ones have no effect.
    void adopt(const ShareGrant &grant, TimePoint now);

    /// @brief See ShareTerm::confirm().
    void confirm(TimePoint at);

    /// @brief Reserves the worst case of a request. Refuses with RateExceeded, RequestExceedsBurst,
    /// or StateStale when the share is not known to be in force.
    ReserveOutcome reserve(const std::string &customer, double tokens, TimePoint now);

    /// @brief Ends the reservation @p id of which @p used tokens were used; once only.
    void settle(std::uint64_t id, double used, TimePoint now);

    /// @brief Messages due now: requests for loans to some of @p peers, repeated loans.
    std::vector<LoanMessage> tick(const std::vector<std::string> &peers, TimePoint now);

    /// @brief Handles a message of the incarnation @p sender; returns the answer, if any.
    std::optional<LoanMessage> receive(const std::string &sender, const LoanRequest &request, TimePoint now);
    std::optional<LoanMessage> receive(const std::string &sender, const LoanTransfer &transfer, TimePoint now);
    std::optional<LoanMessage> receive(const std::string &sender, const LoanAck &ack, TimePoint now);

    /// @brief Lends everything to @p peers, for a planned stop.
    std::vector<LoanMessage> handOver(const std::vector<std::string> &peers, TimePoint now);

    /// @brief One customer's budget here; null when it is not known.
    const CustomerBudget *find(const std::string &customer) const;

    /// @brief Whether the handover of the present division has ended and gave this entry a share.
    bool holdsShare(TimePoint now) const
    {
        return m_term.handedOver(now) && m_term.fraction() > 0;
    }
    std::uint64_t epoch() const
    {
        return m_term.epoch();
    }
    /// @brief Loans that were sent and not acknowledged.
    std::size_t unacknowledgedLoans() const
    {
        return m_ledger.unacknowledged();
    }

private:
    struct Outstanding {
        std::string customer;
        std::uint64_t generation; ///< Of the account that the tokens were taken from.
        std::uint64_t step;
        double tokens;
    };
    struct Account {
        CustomerBudget budget;
        std::uint64_t generation; ///< Tells apart accounts of one customer, removed and put back.
        bool removed;
    };

    TimePoint spendableUntil(TimePoint now) const;
    void activateWhenDue(TimePoint now);
    void askForLoan(const std::string &customer,
                    const std::vector<std::string> &peers,
                    TimePoint now,
                    std::vector<LoanMessage> &messages);
    bool mayLend(TimePoint now) const;
    std::optional<LoanMessage>
    open(const std::string &taker, const std::string &customer, const BudgetSlice &slice, TimePoint now);

    std::string m_incarnation;
    ShareTerm m_term;
    bool m_active = false; ///< Whether the present division's handover has ended.
    std::map<std::string, Account> m_accounts;
    std::set<std::string> m_inDemand; ///< Customers that may need a loan.
    absl::flat_hash_map<std::uint64_t, Outstanding> m_outstanding;
    LoanLedger m_ledger;
    std::uint64_t m_nextId = 1;
    std::uint64_t m_nextRequest = 1;
    std::size_t m_nextPeer = 0;
};

} // namespace celeryroute
