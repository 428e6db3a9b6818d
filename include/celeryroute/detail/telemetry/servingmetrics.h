#pragma once

#include <celeryroute/detail/telemetry/enumcounters.h>
#include <celeryroute/detail/telemetry/latencyhistogram.h>
#include <celeryroute/detail/telemetry/metriclabels.h>
#include <celeryroute/detail/telemetry/namedcounters.h>
#include <celeryroute/detail/telemetry/servinggauges.h>

#include <array>
#include <string>

namespace celeryroute {

/// @brief Counters and latencies of one process; the event loop's thread only.
///
/// Labels are enumerations, reasons up to a bound and customers up to a bound, so that the number of
/// samples does not grow with models, targets or callers.
class ServingMetrics
{
public:
    /// Customers beyond this many have no gauges of their own.
    static constexpr std::size_t MaxCustomers = 64;

    void countRequest(CallKind kind, RequestOutcome outcome)
    {
        m_requests.add(kind, outcome);
    }
    void countRefusal(std::string_view reason)
    {
        m_refusals.add(reason);
    }
    void countSend(CallKind kind)
    {
        m_sends.add(kind);
    }
    /// @brief Counts a further send of a request by what made it necessary.
    void countRetry(std::string_view reason)
    {
        m_retries.add(reason);
    }
    /// @brief Counts a further send that the retry allowance did not permit.
    void countRetryWithheld()
    {
        ++m_retriesWithheld;
    }
    void countStoreCall(StoreCallKind kind, StoreCallOutcome outcome)
    {
        m_storeCalls.add(kind, outcome);
    }
    void countOrder(OrderKind kind, OrderAnswer outcome)
    {
        m_orders.add(kind, outcome);
    }
    void countLoad(LoadSource source)
    {
        m_loads.add(source);
    }
    /// @brief Counts a model that was unloaded to make room for another.
    void countSwap()
    {
        ++m_swaps;
    }
    /// @brief Counts the tokens of a prompt that its target is expected to keep and to read.
    void countPromptTokens(std::uint64_t cached, std::uint64_t read)
    {
        m_promptTokens.add(PromptSource::Cached, cached);
        m_promptTokens.add(PromptSource::Read, read);
    }
    void observeFirstByte(CallKind kind, Duration duration)
    {
        m_firstByte[static_cast<std::size_t>(kind)].observe(duration);
    }
    void observeTotal(CallKind kind, Duration duration)
    {
        m_total[static_cast<std::size_t>(kind)].observe(duration);
    }

    /// @brief All metrics in the Prometheus text format.
    std::string exposition(const ServingGauges &gauges) const;

private:
    using KindHistograms = std::array<LatencyHistogram, labelValues(CallKind{}).size()>;

    void exposeRequests(ExpositionText &text) const;
    void exposeSends(ExpositionText &text, const ServingGauges &gauges) const;
    void exposeOrders(ExpositionText &text) const;

    EnumPairCounters<CallKind, RequestOutcome> m_requests;
    NamedCounters m_refusals;
    EnumCounters<CallKind> m_sends;
    NamedCounters m_retries;
    std::uint64_t m_retriesWithheld = 0;
    EnumPairCounters<StoreCallKind, StoreCallOutcome> m_storeCalls;
    EnumPairCounters<OrderKind, OrderAnswer> m_orders;
    EnumCounters<LoadSource> m_loads;
    std::uint64_t m_swaps = 0;
    EnumCounters<PromptSource> m_promptTokens;
    KindHistograms m_firstByte;
    KindHistograms m_total;
};

} // namespace celeryroute
