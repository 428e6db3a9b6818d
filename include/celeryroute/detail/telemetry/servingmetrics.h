#pragma once

#include <celeryroute/detail/telemetry/enumcounters.h>
#include <celeryroute/detail/telemetry/latencyhistogram.h>
#include <celeryroute/detail/telemetry/metriclabels.h>
#include <celeryroute/detail/telemetry/namedcounters.h>
#include <celeryroute/detail/telemetry/servinggauges.h>

#include <array>
#include <string>

namespace celeryroute {

/// @brief Counters and latency histograms of one process.
///
/// Not thread-safe: used only on the thread of the event loop. Label values are enumerations, or
/// reasons and customers up to a maximum number, so that the number of samples does not grow with the
/// number of models, targets or callers.
class ServingMetrics
{
public:
    /// Maximum number of customers with gauges of their own; further customers are omitted.
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
    /// @brief Counts a retry of a request by its cause.
    void countRetry(std::string_view reason)
    {
        m_retries.add(reason);
    }
    /// @brief Counts an answer of a target that exceeded @p limit.
    void countCutOff(std::string_view limit)
    {
        m_cutOffs.add(limit);
    }
    /// @brief Counts an answer whose caller took nothing of it for the idle limit.
    void countAnswerDropped()
    {
        ++m_answersDropped;
    }
    /// @brief Counts a caller's connection that was refused or closed before its time.
    void countEviction(EvictionReason reason)
    {
        m_evictions.add(reason);
    }
    /// @brief Counts a stream that its caller took up, by how the version that began it was known.
    void countResumption(std::string_view evidence)
    {
        m_resumptions.add(evidence);
    }
    /// @brief Counts an answer in which a target named its limit; @p outcome says how it was read.
    void countLimit(std::string_view outcome)
    {
        m_limits.add(outcome);
    }
    /// @brief Counts a pause that a target asked for; @p outcome says whether it was taken, bounded or ignored.
    void countPause(std::string_view outcome)
    {
        m_pauses.add(outcome);
    }
    /// @brief Counts a retry that the retry budget did not permit.
    void countRetryWithheld()
    {
        ++m_retriesWithheld;
    }
    void countStoreCall(StoreCallKind kind, StoreCallOutcome outcome)
    {
        m_storeCalls.add(kind, outcome);
    }
    /// @brief Counts that the store came back from a copy.
    void countStoreRestore()
    {
        ++m_storeRestores;
    }
    void countOrder(OrderKind kind, OrderAnswer outcome)
    {
        m_orders.add(kind, outcome);
    }
    void countLoad(LoadSource source)
    {
        m_loads.add(source);
    }
    /// @brief Counts a model that was evicted to free memory for another.
    void countSwap()
    {
        ++m_swaps;
    }
    /// @brief Counts the tokens of a prompt that its target is expected to have in its cache, and those to be computed.
    void countPromptTokens(std::uint64_t cached, std::uint64_t read)
    {
        m_promptTokens.add(PromptSource::Cached, cached);
        m_promptTokens.add(PromptSource::Read, read);
    }
    /// @brief Counts @p datagrams messages to other processes, of @p bytes bytes together.
    void countPeerMessages(PeerMessageKind kind, std::uint64_t datagrams, std::uint64_t bytes)
    {
        m_peerDatagrams.add(kind, datagrams);
        m_peerBytes.add(kind, bytes);
    }
    /// @brief Counts messages of other processes that have not come, or come late.
    void countMissingDatagrams(PeerRole role, std::uint64_t count)
    {
        m_missingDatagrams.add(role, count);
    }
    void observeFirstByte(CallKind kind, Duration duration)
    {
        m_firstByte[static_cast<std::size_t>(kind)].observe(duration);
    }
    void observeTotal(CallKind kind, Duration duration)
    {
        m_total[static_cast<std::size_t>(kind)].observe(duration);
    }

    /// @brief Returns all metrics in the Prometheus text format.
    std::string exposition(const ServingGauges &gauges) const;

private:
    using KindHistograms = std::array<LatencyHistogram, labelValues(CallKind{}).size()>;

    void exposeRequests(ExpositionText &text) const;
    void exposeSends(ExpositionText &text, const ServingGauges &gauges) const;
    void exposeOrders(ExpositionText &text) const;
    void exposePeers(ExpositionText &text) const;

    EnumPairCounters<CallKind, RequestOutcome> m_requests;
    NamedCounters m_refusals;
    NamedCounters m_limits;
    NamedCounters m_pauses;
    NamedCounters m_cutOffs;
    std::uint64_t m_answersDropped = 0;
    NamedCounters m_resumptions;
    EnumCounters<CallKind> m_sends;
    NamedCounters m_retries;
    std::uint64_t m_retriesWithheld = 0;
    EnumPairCounters<StoreCallKind, StoreCallOutcome> m_storeCalls;
    std::uint64_t m_storeRestores = 0;
    EnumPairCounters<OrderKind, OrderAnswer> m_orders;
    EnumCounters<LoadSource> m_loads;
    EnumCounters<EvictionReason> m_evictions;
    std::uint64_t m_swaps = 0;
    EnumCounters<PromptSource> m_promptTokens;
    EnumCounters<PeerMessageKind> m_peerDatagrams;
    EnumCounters<PeerMessageKind> m_peerBytes;
    EnumCounters<PeerRole> m_missingDatagrams;
    KindHistograms m_firstByte;
    KindHistograms m_total;
};

} // namespace celeryroute
