#pragma once

#include <celeryroute/detail/budget/loanmessages.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace celeryroute {

/// Loans given and taken by one entry in the current epoch.
///
/// Provides exactly-once crediting over an unreliable network: a loan is sent until it is acknowledged, and
/// repeated messages are credited only once.
class LoanLedger
{
public:
    /// @brief Whether another loan to @p taker may be opened. The number of unacknowledged loans is limited.
    bool mayOpen(const std::string &taker) const;

    /// @brief Records a loan of @p slice and returns the message to send.
    LoanTransfer open(const std::string &giver,
                      const std::string &taker,
                      const std::string &customer,
                      std::uint64_t epoch,
                      const BudgetSlice &slice,
                      TimePoint now);

    /// @brief Stops repeating the loan that @p taker acknowledged.
    void acknowledge(const std::string &taker, const LoanId &id);

    /// @brief Returns the unacknowledged loans that are due to be sent again.
    std::vector<LoanTransfer> takeDueRepeats(TimePoint now);

    /// @brief Records a received loan. Returns whether it is new and must be credited.
    bool credit(const LoanId &id);

    /// @brief Clears all loans for a new epoch, in which loan numbers start again from 1.
    void reset();

    /// @brief Number of loans sent and not yet acknowledged.
    std::size_t unacknowledged() const;

private:
    struct Sent {
        LoanTransfer transfer;
        TimePoint lastSent;
    };
    /// Loans given to one entry.
    struct Given {
        std::uint64_t lastNumber = 0;
        std::map<std::uint64_t, Sent> unacknowledged;
    };
    /// Numbers of the loans credited from one entry.
    struct Taken {
        std::uint64_t creditedUpTo = 0; ///< All numbers up to this one were credited.
        std::set<std::uint64_t> creditedAbove; ///< Credited numbers above creditedUpTo.
    };

    std::map<std::string, Given> m_given; ///< By taker.
    std::map<std::string, Taken> m_taken; ///< By giver.
};

} // namespace celeryroute
