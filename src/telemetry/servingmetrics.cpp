#include <celeryroute/detail/telemetry/servingmetrics.h>

#include <algorithm>
#include <variant>

namespace celeryroute {

namespace {

// Counts are written as integers, all other values as floating-point numbers.
using GaugeValue = std::variant<std::uint64_t, double>;

void exposeGauge(ExpositionText &text, std::string_view name, std::string_view help, const GaugeValue &value)
{
    text.beginFamily(name, MetricType::Gauge, help);
    std::visit([&text](auto number) { text.appendSample({}, number); }, value);
}

void exposeGauge(ExpositionText &text,
                 std::string_view name,
                 std::string_view help,
                 const std::optional<std::uint64_t> &count)
{
    if (count) {
        exposeGauge(text, name, help, GaugeValue(*count));
    }
}

void exposeAge(ExpositionText &text, std::string_view name, std::string_view help, const std::optional<Duration> &age)
{
    if (age) {
        exposeGauge(text, name, help, GaugeValue(toSeconds(*age)));
    }
}

void exposeAllowances(ExpositionText &text, const std::vector<AllowanceGauge> &allowances)
{
    const std::size_t count = std::min(allowances.size(), ServingMetrics::MaxCustomers);
    text.beginFamily("celeryroute_allowance_share_ratio", MetricType::Gauge, "This entry's part of an allowance.");
    for (std::size_t i = 0; i < count; ++i) {
        text.appendSample({{"customer", allowances[i].customer}}, allowances[i].share);
    }
    text.beginFamily("celeryroute_allowance_level", MetricType::Gauge, "Requests or tokens that may be spent at once.");
    for (std::size_t i = 0; i < count; ++i) {
        text.appendSample({{"customer", allowances[i].customer}}, allowances[i].level);
    }
}

void exposeState(ExpositionText &text, const ServingGauges &gauges)
{
    if (gauges.ready) {
        exposeGauge(text,
                    "celeryroute_ready",
                    "Whether it takes new callers.",
                    GaugeValue(std::uint64_t{*gauges.ready}));
    }
    exposeGauge(text, "celeryroute_state_version", "Version of the desired state in force.", gauges.stateVersion);
    exposeAge(text, "celeryroute_state_age_seconds", "Since the newest answered read of it began.", gauges.stateAge);
    exposeAge(text, "celeryroute_registry_age_seconds", "The same for the registry of targets.", gauges.registryAge);
    exposeGauge(text, "celeryroute_targets", "Targets in the registry.", gauges.targets);
    exposeGauge(text, "celeryroute_targets_shunned", "Targets that get no requests for a time.", gauges.shunnedTargets);
    exposeGauge(text, "celeryroute_targets_limited", "Targets that name a limit.", gauges.limitedTargets);
    exposeGauge(text, "celeryroute_cold_targets", "Targets that have just started.", gauges.coldTargets);
    exposeGauge(text, "celeryroute_evacuated_domains", "Evacuated failure domains.", gauges.evacuatedDomains);
    exposeGauge(text,
                "celeryroute_evacuated_targets",
                "Targets in evacuated failure domains.",
                gauges.evacuatedTargets);
    if (gauges.issuedTargets) {
        exposeGauge(text,
                    "celeryroute_targets_issued",
                    "Targets for which this entry issues permits.",
                    gauges.issuedTargets);
        text.beginFamily("celeryroute_target_permits", MetricType::Gauge, "Permits to send to targets with limits.");
        text.appendSample({{"kind", "held"}}, gauges.heldPermits);
        text.appendSample({{"kind", "wanted"}}, gauges.wantedPermits);
    }
    exposeGauge(text, "celeryroute_peers", "Processes heard from.", GaugeValue(gauges.peers));
}

void exposeLoad(ExpositionText &text, const ServingGauges &gauges)
{
    exposeGauge(text,
                "celeryroute_requests_queued",
                "Requests that wait for a load or a slot.",
                GaugeValue(gauges.queuedRequests));
    exposeGauge(text, "celeryroute_requests_running", "Requests at targets.", GaugeValue(gauges.runningRequests));
    text.beginFamily("celeryroute_connections", MetricType::Gauge, "Open connections.");
    text.appendSample({{"peer", "caller"}}, gauges.callerConnections);
    text.appendSample({{"peer", "target"}}, gauges.targetConnections);
    text.appendSample({{"peer", "store"}}, gauges.storeConnections);
    text.beginFamily("celeryroute_held_bytes", MetricType::Gauge, "Bytes of requests and answers that are held.");
    text.appendSample({{"kind", "incoming"}}, gauges.incomingBytes);
    text.appendSample({{"kind", "accepted"}}, gauges.acceptedBytes);
    text.appendSample({{"kind", "answers"}}, gauges.answerBytes);
}

void exposeStoreLoads(ExpositionText &text, const StoreLoadGauge &loads)
{
    text.beginFamily("celeryroute_store_load_rate", MetricType::Gauge, "Loads a second from the weight store.");
    text.appendSample({{"kind", "granted"}}, loads.granted);
    text.appendSample({{"kind", "used"}}, loads.used);
    text.appendSample({{"kind", "wanted"}}, loads.wanted);
    exposeGauge(text,
                "celeryroute_models_waiting",
                "Models that the rate of the weight store holds back.",
                GaugeValue(loads.waitingModels));
    exposeGauge(text,
                "celeryroute_models_waiting_seconds",
                "Longest wait of such a model.",
                GaugeValue(toSeconds(loads.longestWait)));
}

void exposeProcess(ExpositionText &text, const ServingGauges &gauges)
{
    text.beginFamily("celeryroute_log_lines_total", MetricType::Counter, "Lines of the log by what became of them.");
    text.appendSample({{"outcome", "written"}}, gauges.logLinesWritten);
    text.appendSample({{"outcome", "left_out"}}, gauges.logLinesLeftOut);
    text.appendSample({{"outcome", "dropped"}}, gauges.logLinesDropped);
    exposeGauge(text, "process_resident_memory_bytes", "Resident memory.", gauges.usage.residentBytes);
    text.beginFamily("process_cpu_seconds_total", MetricType::Counter, "Processor time.");
    text.appendSample({}, gauges.usage.processorSeconds);
    text.beginFamily("celeryroute_build_info", MetricType::Gauge, "Version of the program.");
    text.appendSample({{"version", CELERYROUTE_VERSION}}, std::uint64_t{1});
}

template <typename Histograms>
void exposeHistograms(ExpositionText &text, std::string_view name, std::string_view help, const Histograms &histograms)
{
    text.beginFamily(name, MetricType::Histogram, help);
    for (std::size_t i = 0; i < histograms.size(); ++i) {
        histograms[i].expose(text, {"kind", labelValues(CallKind{})[i]});
    }
}

} // namespace

std::string ServingMetrics::exposition(const ServingGauges &gauges) const
{
    ExpositionText text;
    exposeRequests(text);
    exposeSends(text, gauges);
    exposeOrders(text);
    exposePeers(text);
    exposeState(text, gauges);
    exposeAllowances(text, gauges.allowances);
    exposeLoad(text, gauges);
    if (gauges.storeLoads) {
        exposeStoreLoads(text, *gauges.storeLoads);
    }
    exposeProcess(text, gauges);
    return text.text();
}

void ServingMetrics::exposeRequests(ExpositionText &text) const
{
    text.beginFamily("celeryroute_requests_total", MetricType::Counter, "Requests by kind of route and outcome.");
    m_requests.expose(text, "kind", "outcome");
    text.beginFamily("celeryroute_refusals_total", MetricType::Counter, "Refused requests by reason.");
    m_refusals.expose(text, "reason");
    exposeHistograms(text,
                     "celeryroute_first_byte_seconds",
                     "From a request's arrival to the first byte of its answer, or the first event of a stream.",
                     m_firstByte);
    exposeHistograms(text,
                     "celeryroute_request_seconds",
                     "From a request's arrival to the end of its answer.",
                     m_total);
}

void ServingMetrics::exposeSends(ExpositionText &text, const ServingGauges &gauges) const
{
    text.beginFamily("celeryroute_sends_total",
                     MetricType::Counter,
                     "Sends to targets, the first ones and further ones.");
    m_sends.expose(text, "kind");
    text.beginFamily("celeryroute_retries_total", MetricType::Counter, "Further sends by what made them necessary.");
    m_retries.expose(text, "reason");
    text.beginFamily("celeryroute_retries_withheld_total", MetricType::Counter, "Further sends beyond the allowance.");
    text.appendSample({}, m_retriesWithheld);
    text.beginFamily("celeryroute_target_pauses_total",
                     MetricType::Counter,
                     "Pauses that targets asked for, by what became of them.");
    m_pauses.expose(text, "outcome");
    text.beginFamily("celeryroute_target_limits_total",
                     MetricType::Counter,
                     "Answers in which targets named a limit, by how it was read.");
    m_limits.expose(text, "outcome");
    text.beginFamily("celeryroute_answers_cut_off_total",
                     MetricType::Counter,
                     "Answers of targets that exceeded a limit.");
    m_cutOffs.expose(text, "limit");
    text.beginFamily("celeryroute_answers_dropped_total",
                     MetricType::Counter,
                     "Answers whose caller took nothing of them for the idle limit.");
    text.appendSample({}, m_answersDropped);
    text.beginFamily("celeryroute_callers_evicted_total",
                     MetricType::Counter,
                     "Connections of callers that were refused or closed before their time, by reason.");
    m_evictions.expose(text, "reason");
    text.beginFamily("celeryroute_resumptions_total",
                     MetricType::Counter,
                     "Streams that callers took up, by how the software version that began them was known.");
    m_resumptions.expose(text, "evidence");
    if (gauges.retryAllowance) {
        exposeGauge(text, "celeryroute_retry_allowance", "Further sends left.", GaugeValue(*gauges.retryAllowance));
    }
    text.beginFamily("celeryroute_prompt_tokens_total",
                     MetricType::Counter,
                     "Tokens of prompts, expected at the send.");
    m_promptTokens.expose(text, "source");
}

void ServingMetrics::exposeOrders(ExpositionText &text) const
{
    text.beginFamily("celeryroute_store_calls_total", MetricType::Counter, "Calls to the platform's store.");
    m_storeCalls.expose(text, "call", "outcome");
    text.beginFamily("celeryroute_store_restores_total",
                     MetricType::Counter,
                     "Times that the store came back from a copy.");
    text.appendSample({}, m_storeRestores);
    text.beginFamily("celeryroute_orders_total", MetricType::Counter, "Orders to model engines.");
    m_orders.expose(text, "operation", "outcome");
    text.beginFamily("celeryroute_loads_total", MetricType::Counter, "Loads by where the weights come from.");
    m_loads.expose(text, "source");
    text.beginFamily("celeryroute_swaps_total", MetricType::Counter, "Models unloaded to make room for others.");
    text.appendSample({}, m_swaps);
}

void ServingMetrics::exposePeers(ExpositionText &text) const
{
    text.beginFamily("celeryroute_peer_datagrams_total", MetricType::Counter, "Messages to other processes.");
    m_peerDatagrams.expose(text, "kind");
    text.beginFamily("celeryroute_peer_bytes_total", MetricType::Counter, "Bytes of messages to other processes.");
    m_peerBytes.expose(text, "kind");
    text.beginFamily("celeryroute_peer_missing_datagrams_total",
                     MetricType::Counter,
                     "Messages of other processes that have not come, or come late.");
    m_missingDatagrams.expose(text, "peer_role");
}

} // namespace celeryroute
