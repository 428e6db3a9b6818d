#pragma once

#include <celeryroute/detail/feed/storeera.h>
#include <celeryroute/detail/http1/messagehead.h>
#include <celeryroute/detail/telemetry/decisionlog.h>
#include <celeryroute/detail/telemetry/servingmetrics.h>

#include <functional>
#include <string>

namespace celeryroute {

/// @brief Reads the store's era from its answers, and reports when the store came back from a copy.
class EraMonitor
{
public:
    /// @param field name of the header field that carries the era
    /// @param restored called when the era has risen, before the answer is used
    /// @param log and @p metrics must outlive this object
    /// @param first called with the first era, before the answer that names it is used
    EraMonitor(std::string field,
               DecisionLog &log,
               ServingMetrics &metrics,
               std::function<void(TimePoint now)> restored,
               std::function<void()> first = {});

    /// @brief Takes over the era of an answer.
    /// @return whether the answer may be used; not if it was made before the store came back
    bool accept(const MessageHead &head, TimePoint now);

    std::uint64_t era() const
    {
        return m_era.value();
    }

private:
    std::string m_field;
    DecisionLog &m_log;
    ServingMetrics &m_metrics;
    std::function<void(TimePoint now)> m_restored;
    std::function<void()> m_first;
    StoreEra m_era;
};

} // namespace celeryroute
