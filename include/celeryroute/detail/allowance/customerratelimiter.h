#pragma once

#include <celeryroute/detail/allowance/customerallowance.h>
#include <celeryroute/detail/allowance/entrymembership.h>
#include <celeryroute/detail/allowance/entryreport.h>
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

/// @brief The tokens that an admitted request took from a customer's allowance.
struct Admission {
    std::string customer;
    double cost = 0;
    std::uint64_t step = 0; ///< Step of the customer's bucket, used for a refund.
    bool operator==(const Admission &) const = default;
};

/// @brief The allowance does not suffice for a request at present.
struct RateLimitRefusal {
    Duration retryAfter{};
    bool operator==(const RateLimitRefusal &) const = default;
};

using AdmissionResult = std::variant<Admission, RateLimitRefusal>;

/// @brief Limits the requests of all customers at one entry, with the shares of all entries that are connected to it.
///
/// See docs/design/allowances.md for the bound that holds over all entries together. Every function that takes the
/// present time also detects that the process was suspended.
class CustomerRateLimiter
{
public:
    CustomerRateLimiter(std::string address,
                        std::uint64_t incarnation,
                        const ServingBounds &bounds,
                        TimePoint now,
                        ReportTiming timing = {});

    /// @brief Applies the limits of the desired state at once.
    void setCustomers(const std::vector<ServingCustomer> &customers, TimePoint now);

    /// @brief Applies other bounds to @p customers at once.
    void useBounds(const ServingBounds &bounds, const std::vector<ServingCustomer> &customers, TimePoint now);

    /// @brief Assumes at least @p members entries, this one included: the number that a look-up has found.
    ///
    /// A new entry admits no request of a limited customer until this is called, it receives a report of another entry,
    /// or ReportTiming::discoveryTime has passed.
    void expectMembers(std::size_t members, TimePoint now);

    /// @brief Updates memberships and shares to @p now. Call it at the latest at advanceDue().
    void advance(TimePoint now);

    /// @brief Whether the allowance of @p customer covers @p cost now; nothing is taken.
    bool canAdmit(const std::string &customer, double cost, TimePoint now);
    /// @brief Takes @p cost from the allowance of @p customer if it suffices. Unknown customers have no limit.
    AdmissionResult admit(const std::string &customer, double cost, TimePoint now);

    /// @brief Returns the tokens of a request that will never run. Must be called at most once for an admission.
    void refund(const Admission &admission, TimePoint now);

    /// @brief Applies the report of another entry.
    /// @return false if a newer report of that entry is known
    bool receive(const EntryReport &report, TimePoint now);

    /// @brief Time at which the next report is due.
    TimePoint reportDue() const;

    /// @brief Time at which to call advance() again at the latest. It is not later than reportDue().
    TimePoint advanceDue() const;

    /// @brief Makes the report to send now.
    OutgoingReport makeReport(TimePoint now);

    /// @brief The form of @p outgoing for @p receiver.
    EntryReport reportFor(const std::string &receiver, const OutgoingReport &outgoing) const;

    const EntryMembership &members() const
    {
        return m_members;
    }
    /// @brief The allowance of @p customer, or null if the customer is unknown.
    const CustomerAllowance *find(const std::string &customer) const;

private:
    CustomerAllowance &allowance(const std::string &customer, TimePoint now);
    void noteSpending(CustomerAllowance &customerAllowance, double tokens, TimePoint now);
    void notePeerSpending(const EntryReport &report, bool discovered, TimePoint now);
    void applyChange(const PeerChange &change, TimePoint now);
    void applyUsableShare(TimePoint now);
    void scheduleAcknowledgement(const std::string &peer, TimePoint due);
    std::vector<CustomerSpending> spendingSince(std::uint64_t base) const;
    bool awaitsAcknowledgements() const;

    ServingBounds m_bounds;
    EntryMembership m_members;
    UsableShare m_usableShare;
    bool m_changed = false; ///< Peers have connected or disconnected since the share was applied.
    std::unordered_map<std::string, CustomerAllowance> m_allowances;
    TimePoint m_lastReport; ///< Time of the last report to all entries.
    TimePoint m_reportDue;
    TimePoint m_wholeReportDue; ///< Reports to all entries are whole ones from then on.
    bool m_hasUnreportedSpending = false; ///< Tokens were spent since the last report to all entries.
    TimePoint m_acknowledgementDue =
        TimePoint::max(); ///< Time at which an acknowledgement to m_acknowledgementReceivers is due.
    std::set<std::string>
        m_acknowledgementReceivers; ///< Entries that reported spending and wait for an acknowledgement.
};

} // namespace celeryroute
