#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <memory>
#include <string>

namespace celeryroute {

/// @brief The metrics of one process under conventional names; any thread.
///
/// Labels are customers, pools, result codes and urgency classes only, so that their number does not
/// grow with models and adapters.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// @brief The text exposition of all metrics.
    std::string exposition() const;

    void countRequest(const std::string &customer, const std::string &pool);
    /// @brief Counts a refused or failed request by its result code number.
    void countRefusal(const std::string &customer, int code);
    /// @brief Counts a refusal of a customer that was inside its rate over the whole fleet.
    void countRefusalInsideRate(const std::string &customer);
    void countRetry(const std::string &pool);
    void observeFirstToken(const std::string &customer, const std::string &pool, Duration duration);
    void observeDuration(const std::string &customer, const std::string &pool, Duration duration);
    /// @brief Time from a request's arrival to its first token when it waited for a load.
    void observeColdStart(const std::string &pool, Duration duration);
    /// @brief Seconds during which a resident model of the pool had no request in work.
    void addIdleAcceleratorTime(const std::string &pool, Duration duration);
    void countLoad(const std::string &pool, bool succeeded);
    void setInFlight(std::int64_t requests);
    void setStateOffset(std::uint64_t offset);
    void setLogReachable(bool reachable);
    void setKeyedAdmission(bool admitted);

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace celeryroute
