#include <celeryroute/detail/observe/metrics.h>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace celeryroute {

namespace {

using Labels = prometheus::Labels;
using Counters = prometheus::Family<prometheus::Counter>;
using Gauges = prometheus::Family<prometheus::Gauge>;
using Histograms = prometheus::Family<prometheus::Histogram>;

const prometheus::Histogram::BucketBoundaries &latencyBuckets()
{
    static const prometheus::Histogram::BucketBoundaries Seconds =
        {0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.37, 0.75, 1.5, 3, 6, 12, 30};
    return Seconds;
}

Counters &counters(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

Histograms &histograms(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

prometheus::Gauge &gauge(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

class Metrics::Private
{
public:
    prometheus::Registry registry;
    Counters &requests{counters(registry, "celeryroute_requests_total", "Requests admitted, by customer and pool.")};
    Counters &refusals{
        counters(registry, "celeryroute_refusals_total", "Requests refused or failed, by customer and result code.")};
    Counters &wrongfulRefusals{counters(registry,
                                        "celeryroute_refusals_inside_rate_total",
                                        "Requests refused although the customer was inside its fleet-wide rate.")};
    Counters &retries{counters(registry, "celeryroute_retries_total", "Further attempts of requests, by pool.")};
    Counters &loads{counters(registry, "celeryroute_loads_total", "Model and adapter loads, by pool and result.")};
    Counters &idleSeconds{counters(registry,
                                   "celeryroute_idle_accelerator_seconds_total",
                                   "Seconds during which a resident model had no request, by pool.")};
    Histograms &firstToken{
        histograms(registry, "celeryroute_first_token_seconds", "Time from arrival to the first part of the answer.")};
    Histograms &duration{
        histograms(registry, "celeryroute_request_duration_seconds", "Time from arrival to the end of the answer.")};
    Histograms &coldStart{histograms(registry,
                                     "celeryroute_cold_start_seconds",
                                     "Time from arrival to the first token of requests that waited for a load.")};
    prometheus::Gauge &inFlight{gauge(registry, "celeryroute_requests_in_flight", "Requests in work.")};
    prometheus::Gauge &stateOffset{
        gauge(registry, "celeryroute_state_offset", "Next log offset that this process has not folded.")};
    prometheus::Gauge &logReachable{
        gauge(registry, "celeryroute_log_reachable", "1 while the platform's log answers this process.")};
    prometheus::Gauge &keyedAdmission{
        gauge(registry, "celeryroute_keyed_admission", "1 while requests with keys are admitted.")};
};

Metrics::Metrics()
    : m_private(std::make_unique<Private>())
{}

Metrics::~Metrics() = default;

std::string Metrics::exposition() const
{
    return prometheus::TextSerializer().Serialize(m_private->registry.Collect());
}

void Metrics::countRequest(const std::string &customer, const std::string &pool)
{
    m_private->requests.Add({{"customer", customer}, {"pool", pool}}).Increment();
}

void Metrics::countRefusal(const std::string &customer, int code)
{
    m_private->refusals.Add({{"customer", customer}, {"code", std::to_string(code)}}).Increment();
}

void Metrics::countRefusalInsideRate(const std::string &customer)
{
    m_private->wrongfulRefusals.Add({{"customer", customer}}).Increment();
}

void Metrics::countRetry(const std::string &pool)
{
    m_private->retries.Add({{"pool", pool}}).Increment();
}

void Metrics::observeFirstToken(const std::string &customer, const std::string &pool, Duration duration)
{
    const Labels labels = {{"customer", customer}, {"pool", pool}};
    m_private->firstToken.Add(labels, latencyBuckets()).Observe(toSeconds(duration));
}

void Metrics::observeDuration(const std::string &customer, const std::string &pool, Duration duration)
{
    const Labels labels = {{"customer", customer}, {"pool", pool}};
    m_private->duration.Add(labels, latencyBuckets()).Observe(toSeconds(duration));
}

void Metrics::observeColdStart(const std::string &pool, Duration duration)
{
    m_private->coldStart.Add({{"pool", pool}}, latencyBuckets()).Observe(toSeconds(duration));
}

void Metrics::addIdleAcceleratorTime(const std::string &pool, Duration duration)
{
    m_private->idleSeconds.Add({{"pool", pool}}).Increment(toSeconds(duration));
}

void Metrics::countLoad(const std::string &pool, bool succeeded)
{
    m_private->loads.Add({{"pool", pool}, {"result", succeeded ? "loaded" : "failed"}}).Increment();
}

void Metrics::setInFlight(std::int64_t requests)
{
    m_private->inFlight.Set(static_cast<double>(requests));
}

void Metrics::setStateOffset(std::uint64_t offset)
{
    m_private->stateOffset.Set(static_cast<double>(offset));
}

void Metrics::setLogReachable(bool reachable)
{
    m_private->logReachable.Set(reachable ? 1 : 0);
}

void Metrics::setKeyedAdmission(bool admitted)
{
    m_private->keyedAdmission.Set(admitted ? 1 : 0);
}

} // namespace celeryroute
