#pragma once

#include <celeryroute/detail/serving/servingstate.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace celeryroute {

/// Result of AdmissionControl::spend().
struct SpendResult {
    std::optional<Duration> retryAfter; ///< Set when the allowance was exceeded and nothing was spent.
    std::uint64_t step = 0; ///< Accounting step of the expense; refund() needs it.
    bool operator==(const SpendResult &) const = default;
};

/// Inputs of an admission decision, for the log.
struct AdmissionInputs {
    std::optional<Duration> keysAge; ///< Time since the start of the last successful read of the keys.
    double level = 0; ///< Remaining allowance of the customer at this entry.
    double share = 0; ///< Fraction of all allowances that is assigned to this entry.
    bool operator==(const AdmissionInputs &) const = default;
};

/// Admission control of one entry: API keys, customer allowances and the retry budget.
///
/// Allowances and the retry budget are shared by all entries.
class AdmissionControl
{
public:
    AdmissionControl() = default;
    virtual ~AdmissionControl() = default;
    AdmissionControl(const AdmissionControl &) = delete;
    AdmissionControl &operator=(const AdmissionControl &) = delete;

    /// @brief Whether the known keys are recent enough to admit calls with them.
    /// @param now on the boot-time clock, which also counts the time while the process is suspended
    virtual bool areKeysFresh(TimePoint now) const = 0;
    /// @brief Spends @p cost of the customer's allowance, or nothing if it doesn't suffice.
    virtual SpendResult spend(const std::string &customer, double cost, TimePoint now) = 0;
    /// @brief Whether the customer's allowance covers @p cost now; nothing is spent.
    virtual bool canSpend(const std::string &customer, double cost, TimePoint now) = 0;
    /// @brief What the decision about a call of @p customer was based on, for the log.
    /// @param now on the boot-time clock, as for areKeysFresh()
    virtual AdmissionInputs inputs(const std::string &customer, TimePoint now) const = 0;
    /// @brief Returns the @p cost that a call spent in @p step, because the call never ran.
    virtual void refund(const std::string &customer, double cost, std::uint64_t step, TimePoint now) = 0;
    /// @brief Counts the first send of a call to @p pool, which earns retry budget.
    virtual void noteFirstSend(const std::string &pool, TimePoint now) = 0;
    /// @brief Takes one retry to @p pool from the retry budget.
    /// @return whether the budget allowed it
    virtual bool takeRetry(const std::string &pool, TimePoint now) = 0;
    /// @brief Remaining retry budget for @p pool, for the log.
    virtual double retriesLeft(const std::string &pool, TimePoint now) const = 0;
};

} // namespace celeryroute
