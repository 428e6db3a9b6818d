// Processor time of one line of the log and of one count, beside the same in prometheus-cpp.
#include <celeryroute/detail/telemetry/decisionlog.h>
#include <celeryroute/detail/telemetry/servingmetrics.h>

#include <benchmark/benchmark.h>
#include <fcntl.h>
#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <optional>

using namespace celeryroute;
using namespace std::chrono_literals;

namespace {

const DecisionOrigin Origin{"front-ke-central-a-1", "entry", 17};

void writeSend(DecisionLog &log, TimePoint now)
{
    log.write(DecisionEvent::RequestSent,
              now,
              "9c41d07be2a35f68",
              {{"attempt", 1},
               {"target", "i-7f3a91c2"},
               {"kind", "stream"},
               {"customer", "nairobi-yards"},
               {"route", "lot-assess"},
               {"item", "ash-finish/a3"},
               {"remaining_ms", 5000},
               {"cached_tokens", 6300},
               {"prompt_tokens", 9190},
               {"target_age_ms", 120},
               {"state_version", 7U}});
}

// range(0) lines in each turn of the event loop.
void lines(benchmark::State &state)
{
    DecisionLog log(Origin, open("/dev/null", O_WRONLY | O_CLOEXEC));
    TimePoint now{1h};
    while (state.KeepRunningBatch(state.range(0))) {
        now += 60s;
        for (std::int64_t i = 0; i < state.range(0); ++i) {
            writeSend(log, now);
        }
        log.flush();
    }
    state.counters["left_out"] = static_cast<double>(log.leftOut());
}
BENCHMARK(lines)->Arg(1)->Arg(10)->Arg(40);

// The two lines of an answered request, as the gateway writes them.
void writeRequest(DecisionLog &log, TimePoint now, const std::optional<std::uint64_t> &heard)
{
    log.write(DecisionEvent::RequestSent,
              now,
              "9c41d07be2a35f68",
              {{"attempt", 1},
               {"target", "i-7f3a91c2"},
               {"kind", "stream"},
               {"customer", "nairobi-yards"},
               {"route", "lot-assess"},
               {"item", "ash-finish/a3"},
               {"remaining_ms", Duration(5s)},
               {"cached_tokens", 6300},
               {"prompt_tokens", 9190},
               {"in_flight", 3},
               {"target_age_ms", std::optional<Duration>(120ms)},
               {"state_version", 7U},
               {"heard_inc", heard},
               {"heard_msg", heard}});
    log.write(DecisionEvent::RequestAnswered,
              now,
              "9c41d07be2a35f68",
              {{"attempt", 1},
               {"target", "i-7f3a91c2"},
               {"status", 200},
               {"first_ms", Duration(90ms)},
               {"total_ms", Duration(1s)},
               {"events", 127}});
}

// range(0): the target has an agent, and its message is named.
void requestLines(benchmark::State &state)
{
    DecisionLog log(Origin, open("/dev/null", O_WRONLY | O_CLOEXEC));
    TimePoint now{1h};
    const auto heard = state.range(0) == 0 ? std::nullopt : std::optional<std::uint64_t>(1796353528665U);
    while (state.KeepRunning()) {
        now += 1s;
        writeRequest(log, now, heard);
        log.flush();
    }
}
BENCHMARK(requestLines)->Arg(0)->Arg(1);

void requestLeftOut(benchmark::State &state)
{
    DecisionLog log(Origin, open("/dev/null", O_WRONLY | O_CLOEXEC));
    while (state.KeepRunning()) {
        writeRequest(log, TimePoint(1h), std::nullopt);
    }
}
BENCHMARK(requestLeftOut);

void lineLeftOut(benchmark::State &state)
{
    DecisionLog log(Origin, open("/dev/null", O_WRONLY | O_CLOEXEC));
    while (state.KeepRunning()) {
        writeSend(log, TimePoint(1h));
    }
}
BENCHMARK(lineLeftOut);

void count(benchmark::State &state)
{
    ServingMetrics metrics;
    while (state.KeepRunning()) {
        metrics.countRequest(CallKind::Stream, RequestOutcome::Answered);
        benchmark::DoNotOptimize(metrics);
    }
}
BENCHMARK(count);

void countByName(benchmark::State &state)
{
    ServingMetrics metrics;
    for (const char *reason : {"allowance", "keys_stale", "no_target", "late", "queue_full"}) {
        metrics.countRefusal(reason);
    }
    while (state.KeepRunning()) {
        metrics.countRefusal("queue_full");
    }
}
BENCHMARK(countByName);

void observe(benchmark::State &state)
{
    ServingMetrics metrics;
    Duration duration = 1ms;
    while (state.KeepRunning()) {
        duration = duration < 10s ? duration + 7ms : 1ms;
        metrics.observeFirstByte(CallKind::Stream, duration);
    }
}
BENCHMARK(observe);

void exposition(benchmark::State &state)
{
    const ServingMetrics metrics;
    const ServingGauges gauges;
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(metrics.exposition(gauges));
    }
}
BENCHMARK(exposition);

void prometheusCount(benchmark::State &state)
{
    prometheus::Registry registry;
    prometheus::Counter &counter =
        prometheus::BuildCounter().Name("requests_total").Register(registry).Add({{"kind", "stream"}});
    while (state.KeepRunning()) {
        counter.Increment();
    }
}
BENCHMARK(prometheusCount);

void prometheusObserve(benchmark::State &state)
{
    const auto &bounds = LatencyHistogram::BoundsSeconds;
    prometheus::Registry registry;
    prometheus::Histogram &histogram = prometheus::BuildHistogram()
                                           .Name("first_byte_seconds")
                                           .Register(registry)
                                           .Add({{"kind", "stream"}},
                                                prometheus::Histogram::BucketBoundaries(bounds.begin(), bounds.end()));
    double seconds = 0.001;
    while (state.KeepRunning()) {
        seconds = seconds < 10 ? seconds + 0.007 : 0.001;
        histogram.Observe(seconds);
    }
}
BENCHMARK(prometheusObserve);

} // namespace

BENCHMARK_MAIN();
