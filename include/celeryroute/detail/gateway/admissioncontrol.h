#pragma once

#include <celeryroute/detail/serving/servingstate.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace celeryroute {

/// What became of a wish to spend.
struct Spending {
    std::optional<Duration> retryAfter; ///< Set when nothing was spent: after this it may succeed.
    std::uint64_t step = 0; ///< For refund().
    bool operator==(const Spending &) const = default;
};

/// What the entry knew when it refused a call; for the log.
struct AdmissionInputs {
    std::optional<Duration> keysAge; ///< Since the newest answered read of the keys began.
    double level = 0; ///< What may be spent of the customer's allowance.
    double share = 0; ///< Part of all allowances that this entry uses.
    bool operator==(const AdmissionInputs &) const = default;
};

/// What an entry may spend and admit; the state of all entries stands behind it.
class AdmissionControl
{
public:
    AdmissionControl() = default;
    virtual ~AdmissionControl() = default;
    AdmissionControl(const AdmissionControl &) = delete;
    AdmissionControl &operator=(const AdmissionControl &) = delete;

    /// @brief Whether calls with keys may be admitted on the keys that are known.
    virtual bool keysFresh(TimePoint now) const = 0;
    /// @brief Spends @p cost of a customer's allowance, if it suffices.
    virtual Spending spend(const std::string &customer, double cost, TimePoint now) = 0;
    /// @param now on the clock that counts pauses of the process, as for keysFresh()
    virtual AdmissionInputs inputs(const std::string &customer, TimePoint now) const = 0;
    /// @brief Gives back what a call spent in @p step that never ran.
    virtual void refund(const std::string &customer, double cost, std::uint64_t step, TimePoint now) = 0;
    virtual void noteFirstSend(const std::string &pool, TimePoint now) = 0;
    /// @brief Takes one further send to @p pool.
    virtual bool takeFurtherSend(const std::string &pool, TimePoint now) = 0;
    /// @brief Further sends to @p pool that may follow at once; for the log.
    virtual double furtherSendsLeft(const std::string &pool, TimePoint now) const = 0;
};

} // namespace celeryroute
