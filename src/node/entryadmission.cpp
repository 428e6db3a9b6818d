#include <celeryroute/detail/node/entryadmission.h>

namespace celeryroute {

EntryAdmission::EntryAdmission(KeyFreshnessMonitor &keys, CustomerRateLimiter &pool, RetryLimiter &retries)
    : m_keys(keys)
    , m_pool(pool)
    , m_retries(retries)
{}

bool EntryAdmission::areKeysFresh(TimePoint now) const
{
    return m_keys.areKeysFresh(now);
}

SpendResult EntryAdmission::spend(const std::string &customer, double cost, TimePoint now)
{
    const AdmissionResult outcome = m_pool.admit(customer, cost, now);
    if (const auto *refusal = std::get_if<RateLimitRefusal>(&outcome)) {
        return {refusal->retryAfter, 0};
    }
    return {std::nullopt, std::get<Admission>(outcome).step};
}

bool EntryAdmission::canSpend(const std::string &customer, double cost, TimePoint now)
{
    return m_pool.canAdmit(customer, cost, now);
}

AdmissionInputs EntryAdmission::inputs(const std::string &customer, TimePoint now) const
{
    const CustomerAllowance *account = m_pool.find(customer);
    return {m_keys.age(now), account == nullptr ? 0 : account->bucket().level(), m_pool.members().usableFraction()};
}

void EntryAdmission::refund(const std::string &customer, double cost, std::uint64_t step, TimePoint now)
{
    m_pool.refund({customer, cost, step}, now);
}

void EntryAdmission::noteFirstSend(const std::string &pool, TimePoint now)
{
    m_retries.noteFirstSend(pool, now);
}

bool EntryAdmission::takeRetry(const std::string &pool, TimePoint now)
{
    return m_retries.tryTake(pool, now);
}

double EntryAdmission::retriesLeft(const std::string &pool, TimePoint now) const
{
    return m_retries.remaining(pool, now);
}

} // namespace celeryroute
