#pragma once

#include <celeryroute/detail/budget/loanmessages.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace celeryroute {

/// Loans given and taken by one entry in the present epoch.
///
/// Makes repeated messages harmless: a loan is sent until it is acknowledged and credited once.
class LoanLedger
{
public:
    /// @brief Whether a further loan to @p taker may be opened.
    bool mayOpen(const std::string &taker) const;

    /// @brief Records @p slice as given and returns the message to send.
    LoanTransfer open(const std::string &giver,
                      const std::string &taker,
                      const std::string &customer,
                      std::uint64_t epoch,
                      const BudgetSlice &slice,
                      TimePoint now);

    /// @brief Ends the loan that @p taker acknowledged.
    void acknowledge(const std::string &taker, const LoanId &id);

    /// @brief Unacknowledged loans that are due to be sent again.
    std::vector<LoanTransfer> repeats(TimePoint now);

    /// @brief Whether the loan is new and must be credited; false for a repetition.
    bool credit(const LoanId &id);

    /// @brief Forgets everything, for a new epoch whose messages carry new numbers.
    void reset();

    /// @brief Loans that were sent and not acknowledged.
    std::size_t unacknowledged() const;

private:
    struct Sent {
        LoanTransfer transfer;
        TimePoint lastSent;
    };
    struct Given {
        std::uint64_t lastNumber = 0;
        std::map<std::uint64_t, Sent> unacknowledged;
    };
    struct Taken {
        std::uint64_t allUpTo = 0; ///< All numbers up to this one were credited.
        std::set<std::uint64_t> beyond;
    };

    std::map<std::string, Given> m_given; ///< By taker.
    std::map<std::string, Taken> m_taken; ///< By giver.
};

} // namespace celeryroute
