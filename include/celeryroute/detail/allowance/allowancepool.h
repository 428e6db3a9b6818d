#pragma once

#include <celeryroute/detail/allowance/customeraccount.h>
#include <celeryroute/detail/allowance/entryreport.h>
#include <celeryroute/detail/allowance/memberview.h>
#include <celeryroute/detail/serving/servingbounds.h>
#include <celeryroute/detail/serving/servingstate.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace celeryroute {

/// What a request took from a customer's allowance.
struct Admission {
    std::string customer;
    double cost = 0;
    std::uint64_t step = 0; ///< Of the customer's bucket.
    bool operator==(const Admission &) const = default;
};

/// The allowance does not suffice now.
struct AllowanceRefusal {
    Duration retryAfter{};
    bool operator==(const AllowanceRefusal &) const = default;
};

using AllowanceOutcome = std::variant<Admission, AllowanceRefusal>;

/// All customers' allowances at one entry, pooled with those of the entries that it is in touch with.
///
/// See docs/design/allowances.md for the bound that holds over all entries together. Every function
/// that takes the present time also notices that the process has stood still.
class AllowancePool
{
public:
    AllowancePool(std::string address,
                  std::uint64_t incarnation,
                  const ServingBounds &bounds,
                  TimePoint now,
                  AllowanceTiming timing = {});

    /// @brief Puts the limits of the desired state in force, at once.
    void setCustomers(const std::vector<ServingCustomer> &customers, TimePoint now);

    /// @brief Puts other bounds in force for @p customers, at once.
    void useBounds(const ServingBounds &bounds, const std::vector<ServingCustomer> &customers, TimePoint now);

    /// @brief Counts at least @p members entries, this one included: those that a look-up has found.
    /// A new entry admits nothing that is limited before it is told, or hears of another, or the time
    /// for that has passed.
    void expectMembers(std::size_t members, TimePoint now);

    /// @brief Brings everything up to @p now. Due at the latest when a report is due.
    void advance(TimePoint now);

    /// @brief Takes @p cost from the allowance of @p customer; unknown customers have no limit.
    AllowanceOutcome admit(const std::string &customer, double cost, TimePoint now);

    /// @brief Gives back what a request took that will never run; once only.
    void refund(const Admission &admission, TimePoint now);

    /// @brief Takes in another entry's report; false when it is old.
    bool hear(const EntryReport &report, TimePoint now);

    /// @brief When the next report is due.
    TimePoint reportDue() const;

    /// @brief The report to send now.
    OutgoingReport makeReport(TimePoint now);

    const MemberView &members() const
    {
        return m_members;
    }
    /// @brief One customer's account; null when nothing is known of it.
    const CustomerAccount *find(const std::string &customer) const;

private:
    CustomerAccount &account(const std::string &customer, TimePoint now);
    void noteSpending(CustomerAccount &account, double tokens, TimePoint now);
    void enterSpending(const EntryReport &report, bool met, TimePoint now);
    void apply(const PeerChange &change, TimePoint now);
    void applyPart(TimePoint now);
    void answer(const std::string &peer, TimePoint due);

    ServingBounds m_bounds;
    AllowanceTiming m_timing;
    MemberView m_members;
    PoolPart m_part;
    bool m_changed = false; ///< Peers have come or gone since the part was applied.
    std::unordered_map<std::string, CustomerAccount> m_accounts;
    TimePoint m_lastReport; ///< To all entries.
    TimePoint m_reportDue;
    bool m_unreported = false; ///< Something was spent since the last report to all.
    TimePoint m_answerDue = TimePoint::max(); ///< Acknowledgement to those that spend.
    std::set<std::string> m_answerTo;
};

} // namespace celeryroute
