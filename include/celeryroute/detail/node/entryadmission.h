#pragma once

#include <celeryroute/detail/allowance/customerratelimiter.h>
#include <celeryroute/detail/allowance/retrylimiter.h>
#include <celeryroute/detail/gateway/admissioncontrol.h>
#include <celeryroute/detail/node/keyfreshnessmonitor.h>

namespace celeryroute {

/// @brief Admission control with the customers' budgets and the retry budget that all entries share.
class EntryAdmission final : public AdmissionControl
{
public:
    EntryAdmission(KeyFreshnessMonitor &keys, CustomerRateLimiter &pool, RetryLimiter &retries);

    bool areKeysFresh(TimePoint now) const override;
    SpendResult spend(const std::string &customer, double cost, TimePoint now) override;
    bool canSpend(const std::string &customer, double cost, TimePoint now) override;
    AdmissionInputs inputs(const std::string &customer, TimePoint now) const override;
    void refund(const std::string &customer, double cost, std::uint64_t step, TimePoint now) override;
    void noteFirstSend(const std::string &pool, TimePoint now) override;
    bool takeRetry(const std::string &pool, TimePoint now) override;
    double retriesLeft(const std::string &pool, TimePoint now) const override;

private:
    KeyFreshnessMonitor &m_keys;
    CustomerRateLimiter &m_pool;
    RetryLimiter &m_retries;
};

} // namespace celeryroute
