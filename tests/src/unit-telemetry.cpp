#include <celeryroute/detail/telemetry/decisionlog.h>
#include <celeryroute/detail/telemetry/jsontext.h>
#include <celeryroute/detail/telemetry/servingmetrics.h>

#include <array>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <sstream>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {
LogClock fixedClock()
{
    return {1'700'000'000'000, 5'000};
}
} // namespace

TEST_GROUP(DecisionLog)
{
    std::array<int, 2> pipe{};
    TimePoint now{1h};
    std::optional<DecisionLog> log;

    void setup() override
    {
        LONGS_EQUAL(0, pipe2(pipe.data(), O_CLOEXEC));
        (void)fcntl(pipe[0], F_SETFL, O_NONBLOCK);
        log.emplace(DecisionOrigin{"front-a", "entry", 17}, pipe[1], fixedClock);
    }
    void teardown() override
    {
        log.reset();
        (void)close(pipe[0]);
        (void)close(pipe[1]);
    }
    std::string readBytes() const
    {
        std::string bytes;
        std::array<char, 4096> part{};
        for (ssize_t count = 0; (count = read(pipe[0], part.data(), part.size())) > 0;) {
            bytes.append(part.data(), static_cast<std::size_t>(count));
        }
        return bytes;
    }
    std::vector<Json> readLines()
    {
        std::string bytes;
        for (std::string part = "first"; !part.empty();) {
            log->flush();
            part = readBytes();
            bytes += part;
        }
        std::vector<Json> lines;
        std::istringstream text(bytes);
        for (std::string line; std::getline(text, line);) {
            lines.push_back(Json::parse(line));
        }
        return lines;
    }
    void refuse(std::string_view request)
    {
        log->write(DecisionEvent::RequestRefused, now, request, {{"reason", "allowance"}});
    }
};

TEST(DecisionLog, line_carriesOriginTimesRequestAndTypedFields)
{
    log->write(DecisionEvent::RequestQueued, now, "r1", {{"item", "ash"}, {"expected_ms", -3}});
    log->write(DecisionEvent::RequestRefused,
               now + 7ms,
               "r1",
               {{"n", std::uint64_t{18446744073709551615U}}, {"x", 0.25}, {"nan", 0.0 / 0.0}, {"flag", true}});
    log->flush();
    STRCMP_EQUAL(R"({"t":1700000000000,"m":5000,"host":"front-a","role":"entry","inc":17,)"
                 R"("event":"request.queued","request":"r1","item":"ash","expected_ms":-3})"
                 "\n"
                 R"({"t":1700000000007,"m":5007,"host":"front-a","role":"entry","inc":17,)"
                 R"("event":"request.refused","request":"r1","n":18446744073709551615,"x":0.25,"nan":null,"flag":true})"
                 "\n",
                 readBytes().c_str());
}

TEST(DecisionLog, randomTexts_stayOneLineOfValidJsonWithinTheBound)
{
    constexpr std::uint32_t Seed = 7;
    std::mt19937 random(Seed);
    for (int i = 0; i < 2000; ++i) {
        std::string text(random() % 300, '\0');
        for (char &byte : text) {
            byte = static_cast<char>(random() % (i % 2 == 0 ? 256 : 128));
        }
        std::string line;
        appendJsonText(line, text);
        CHECK_TEXT(line.find('\n') == std::string::npos, "seed 7");
        const std::string read = Json::parse(line).get<std::string>();
        const bool plain = i % 2 == 1;
        if (plain) {
            CHECK_TEXT(read == loggedText(text), "seed 7");
            CHECK(read.size() <= MaxLoggedTextBytes);
        }
    }
    const std::string umlauts = "\xC3\xA4" + std::string(250, 'x') + "\xC3\xA4\xC3\xA4\xC3\xA4";
    LONGS_EQUAL(MaxLoggedTextBytes - 1, loggedText(umlauts).size());
}

TEST(DecisionLog, flood_isLimitedPerEventAndTheNextLineReportsTheOmittedCount)
{
    for (int i = 0; i < 1000; ++i) {
        log->write(DecisionEvent::RequestSent, now, "flood", {});
    }
    refuse("other");
    std::vector<Json> lines = readLines();
    const auto burst = static_cast<std::size_t>(lineLimit(LineVolume::Decision).burst);
    LONGS_EQUAL(burst + 1, lines.size());
    STRCMP_EQUAL("other", lines.back()["request"].get<std::string>().c_str());
    CHECK_FALSE(lines.back().contains("left_out"));
    now += 1s;
    log->write(DecisionEvent::RequestSent, now, "later", {});
    log->write(DecisionEvent::RequestSent, now, "later", {});
    lines = readLines();
    LONGS_EQUAL(1000 - burst, lines.at(0)["left_out"].get<std::size_t>());
    CHECK_FALSE(lines.at(1).contains("left_out"));
    LONGS_EQUAL(1000 - burst, log->leftOut());
}

TEST(DecisionLog, everyEvent_isNamedOnceInOrderAndAllowedOnceASecond)
{
    for (std::size_t i = 0; i < EventDescriptions.size(); ++i) {
        const EventDescription &description = EventDescriptions[i];
        LONGS_EQUAL(i, static_cast<std::size_t>(description.event));
        POINTERS_EQUAL(&description, describeEventNamed(description.name));
        LineBudget budget;
        const LineLimit limit = lineLimit(description.volume);
        for (int second = 0; second < 100; ++second) {
            CHECK(budget.tryTake(limit, now + std::chrono::seconds(second)));
        }
    }
}

TEST(DecisionLog, stalledReader_wholeLinesAreDroppedAndCountedWithoutBlocking)
{
    const std::string padding(200, 'p');
    std::uint64_t sent = 0;
    for (int turn = 0; turn < 400; ++turn) {
        now += 1s;
        for (int i = 0; i < 10; ++i, ++sent) {
            log->write(DecisionEvent::RequestRefused, now, "r", {{"reason", padding}});
        }
        log->flush();
    }
    CHECK(log->dropped() > 0);
    LONGS_EQUAL(sent, log->written() + log->dropped());
    std::vector<Json> lines = readLines();
    refuse("after");
    const std::vector<Json> rest = readLines();
    lines.insert(lines.end(), rest.begin(), rest.end());
    LONGS_EQUAL(log->written(), lines.size());
    LONGS_EQUAL(log->dropped(), lines.back()["dropped"].get<std::uint64_t>());
}

TEST(DecisionLog, closedReader_linesAreCountedAsDropped)
{
    (void)std::signal(SIGPIPE, SIG_IGN);
    (void)close(pipe[0]);
    refuse("one");
    refuse("two");
    log->flush();
    LONGS_EQUAL(2, log->dropped());
}

TEST(DecisionLog, cost_isPrinted)
{
    constexpr int Lines = 100'000;
    DecisionLog sink({"front-a", "entry", 17}, open("/dev/null", O_WRONLY | O_CLOEXEC));
    const TimePoint start = MonotonicClock::now();
    for (int i = 0; i < Lines; ++i) {
        now += 50ms;
        sink.write(DecisionEvent::RequestSent,
                   now,
                   "9c41d07be2a35f68",
                   {{"attempt", 1},
                    {"target", "i-7f3a91c2"},
                    {"kind", "stream"},
                    {"customer", "hule930"},
                    {"item", "daka510000/a3"},
                    {"remaining_ms", 5000},
                    {"cached_tokens", 6300},
                    {"target_age_ms", 120},
                    {"state_version", 7U}});
        sink.flush();
    }
    const double ns = 1e9 * toSeconds(MonotonicClock::now() - start) / Lines;
    std::cout << "a line of nine fields, flushed alone: " << ns << " ns\n";
    LONGS_EQUAL(Lines, sink.written());
}

TEST_GROUP(ServingMetrics)
{
    ServingMetrics metrics;
    ServingGauges gauges;

    bool exposes(const std::string &line) const
    {
        return ("\n" + metrics.exposition(gauges)).find("\n" + line + "\n") != std::string::npos;
    }
};

TEST(ServingMetrics, everyMetric_appearsUnderItsName)
{
    metrics.countRequest(CallKind::Stream, RequestOutcome::Cut);
    metrics.countRefusal("stale \"keys\"");
    metrics.countSend(CallKind::AtMostOnce);
    metrics.countRetry("not_run");
    metrics.countRetryWithheld();
    metrics.countStoreRestore();
    metrics.countStoreCall(StoreCallKind::ReadFrom, StoreCallOutcome::Lost);
    metrics.countOrder(OrderKind::Unload, OrderAnswer::InDoubt);
    metrics.countLoad(LoadSource::Disk);
    metrics.countSwap();
    metrics.countPeerMessages(PeerMessageKind::Crashes, 2, 1500);
    metrics.countMissingDatagrams(PeerRole::Agent, 3);
    metrics.countPromptTokens(6300, 2890);
    gauges.ready = true;
    gauges.stateVersion = 7;
    gauges.stateAge = 1500ms;
    gauges.registryAge = 250ms;
    gauges.retryAllowance = 12.5;
    gauges.allowances = {{"yard", 0.25, 900}};
    gauges.storeLoads = {0.5, 0.25, 0.75, 2, 1500ms};
    gauges.queuedRequests = 3;
    gauges.runningRequests = 4;
    gauges.targetConnections = 5;
    gauges.targets = 9;
    gauges.shunnedTargets = 1;
    gauges.peers = 12;
    gauges.logLinesDropped = 2;
    gauges.usage = {17'000'000, 1.25};
    for (const char *line : {"celeryroute_requests_total{kind=\"stream\",outcome=\"cut\"} 1",
                             "celeryroute_requests_total{kind=\"idempotent\",outcome=\"answered\"} 0",
                             "celeryroute_refusals_total{reason=\"stale \\\"keys\\\"\"} 1",
                             "celeryroute_sends_total{kind=\"at_most_once\"} 1",
                             "celeryroute_retries_total{reason=\"not_run\"} 1",
                             "celeryroute_retries_withheld_total 1",
                             "celeryroute_retry_allowance 12.5",
                             "celeryroute_store_calls_total{call=\"read_from\",outcome=\"lost\"} 1",
                             "celeryroute_store_restores_total 1",
                             "celeryroute_orders_total{operation=\"unload\",outcome=\"in_doubt\"} 1",
                             "celeryroute_loads_total{source=\"disk\"} 1",
                             "celeryroute_swaps_total 1",
                             "celeryroute_prompt_tokens_total{source=\"cached\"} 6300",
                             "celeryroute_ready 1",
                             "celeryroute_state_version 7",
                             "celeryroute_state_age_seconds 1.5",
                             "celeryroute_registry_age_seconds 0.25",
                             "celeryroute_allowance_share_ratio{customer=\"yard\"} 0.25",
                             "celeryroute_allowance_level{customer=\"yard\"} 900",
                             "celeryroute_store_load_rate{kind=\"granted\"} 0.5",
                             "celeryroute_store_load_rate{kind=\"used\"} 0.25",
                             "celeryroute_store_load_rate{kind=\"wanted\"} 0.75",
                             "celeryroute_models_waiting 2",
                             "celeryroute_models_waiting_seconds 1.5",
                             "celeryroute_requests_queued 3",
                             "celeryroute_requests_running 4",
                             "celeryroute_connections{peer=\"target\"} 5",
                             "celeryroute_targets 9",
                             "celeryroute_targets_shunned 1",
                             "celeryroute_peers 12",
                             "celeryroute_peer_datagrams_total{kind=\"crashes\"} 2",
                             "celeryroute_peer_bytes_total{kind=\"crashes\"} 1500",
                             "celeryroute_peer_missing_datagrams_total{peer_role=\"agent\"} 3",
                             "celeryroute_log_lines_total{outcome=\"dropped\"} 2",
                             "process_resident_memory_bytes 17000000",
                             "process_cpu_seconds_total 1.25"}) {
        CHECK_TEXT(exposes(line), line);
    }
}

TEST(ServingMetrics, latencies_fallIntoCumulativeBuckets)
{
    for (const Duration duration : std::initializer_list<Duration>{5ms, 6ms, 700ms, 60s}) {
        metrics.observeFirstByte(CallKind::Stream, duration);
    }
    metrics.observeTotal(CallKind::Idempotent, 30s);
    CHECK(exposes("celeryroute_first_byte_seconds_bucket{kind=\"stream\",le=\"0.005\"} 1"));
    CHECK(exposes("celeryroute_first_byte_seconds_bucket{kind=\"stream\",le=\"0.8\"} 3"));
    CHECK(exposes("celeryroute_first_byte_seconds_bucket{kind=\"stream\",le=\"30\"} 3"));
    CHECK(exposes("celeryroute_first_byte_seconds_bucket{kind=\"stream\",le=\"+Inf\"} 4"));
    CHECK(exposes("celeryroute_first_byte_seconds_sum{kind=\"stream\"} 60.711"));
    CHECK(exposes("celeryroute_request_seconds_bucket{kind=\"idempotent\",le=\"30\"} 1"));
}

TEST(ServingMetrics, labels_stayBounded)
{
    for (std::size_t i = 0; i < 2 * NamedCounters::MaxValues; ++i) {
        metrics.countRefusal("reason " + std::to_string(i));
    }
    gauges.allowances.assign(2 * ServingMetrics::MaxCustomers, {"yard", 0.5, 1});
    CHECK(exposes("celeryroute_refusals_total{reason=\"other\"} " + std::to_string(NamedCounters::MaxValues)));
    const std::string text = metrics.exposition(gauges);
    std::size_t shares = 0;
    for (std::size_t at = 0; (at = text.find("share_ratio{", at)) != std::string::npos; ++at) {
        ++shares;
    }
    LONGS_EQUAL(ServingMetrics::MaxCustomers, shares);
}
