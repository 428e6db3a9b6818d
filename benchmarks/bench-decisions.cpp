// Figures of the decision types beside their baselines, in virtual time with printed seeds, and
// the time of single decisions. Run by `make bench`.
#include <celeryroute/detail/queue/admissionqueue.h>
#include <celeryroute/detail/routing/retrypolicy.h>
#include <celeryroute/detail/routing/targetchooser.h>

#include <benchmark/benchmark.h>
#include <budgettraffic.h>
#include <keepwarmsimulation.h>
#include <queuesimulation.h>
#include <random>
#include <routingsimulation.h>

using namespace celeryroute;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seed = 11;

void reportBudget(benchmark::State &state, const simulation::BudgetTraffic &traffic)
{
    simulation::BudgetOutcome outcome;
    while (state.KeepRunning()) {
        outcome = simulation::BudgetTrafficSimulation(traffic).run();
    }
    const auto requests = static_cast<double>(outcome.requests);
    state.counters["requests"] = requests;
    state.counters["refused_per_1000"] = 1000.0 * static_cast<double>(outcome.refused) / requests;
    state.counters["wrongful_per_1000"] = 1000.0 * static_cast<double>(outcome.wronglyRefused) / requests;
    state.counters["overshoot_tokens"] = outcome.overshoot;
    state.counters["messages_per_s"] = static_cast<double>(outcome.messages) / toSeconds(traffic.length);
}

// All traffic at one of range(0) entries at 95% of the rate.
void budgetOneEntryLending(benchmark::State &state)
{
    simulation::BudgetTraffic traffic;
    traffic.entries = static_cast<std::size_t>(state.range(0));
    reportBudget(state, traffic);
}
BENCHMARK(budgetOneEntryLending)->Arg(2)->Arg(4)->Arg(16)->Iterations(1)->Unit(benchmark::kMillisecond);

void budgetOneEntryStaticSplit(benchmark::State &state)
{
    simulation::BudgetTraffic traffic;
    traffic.entries = static_cast<std::size_t>(state.range(0));
    traffic.lending = false;
    reportBudget(state, traffic);
}
BENCHMARK(budgetOneEntryStaticSplit)->Arg(2)->Arg(4)->Arg(16)->Iterations(1)->Unit(benchmark::kMillisecond);

// The traffic moves to another entry every range(0) seconds.
void budgetMovingTraffic(benchmark::State &state)
{
    simulation::BudgetTraffic traffic;
    traffic.moveEvery = std::chrono::seconds(state.range(0));
    reportBudget(state, traffic);
}
BENCHMARK(budgetMovingTraffic)->Arg(10)->Arg(60)->Iterations(1)->Unit(benchmark::kMillisecond);

// A new division every ten minutes, as after the replacement of an entry.
void budgetRedivision(benchmark::State &state)
{
    simulation::BudgetTraffic traffic;
    traffic.redivideEvery = 10min;
    reportBudget(state, traffic);
}
BENCHMARK(budgetRedivision)->Iterations(1)->Unit(benchmark::kMillisecond);

// The customer sends four times its rate.
void budgetFourTimesTheRate(benchmark::State &state)
{
    simulation::BudgetTraffic traffic;
    traffic.load = 4.0;
    traffic.length = 20min;
    reportBudget(state, traffic);
}
BENCHMARK(budgetFourTimesTheRate)->Iterations(1)->Unit(benchmark::kMillisecond);

template <typename Queue>
void queueIsolation(benchmark::State &state)
{
    std::vector<simulation::CustomerLoad> customers = {{"a", 0.2}, {"b", 0.2}, {"c", 0.2}, {"d", 0.2}};
    QueueLimits limits;
    limits.maxRunning = 16;
    double before = 0.0;
    double after = 0.0;
    while (state.KeepRunning()) {
        before = simulation::simulateQueue<Queue>(customers, limits, 1h, 30s, Seed).percentile("b", 0.99);
        customers[0].load = 0.8;
        after = simulation::simulateQueue<Queue>(customers, limits, 1h, 30s, Seed).percentile("b", 0.99);
    }
    state.counters["p99_usual_s"] = before;
    state.counters["p99_other_at_4x_s"] = after;
    state.counters["factor"] = after / before;
}
BENCHMARK(queueIsolation<AdmissionQueue>)->Iterations(1)->Unit(benchmark::kMillisecond);
BENCHMARK(queueIsolation<simulation::FifoQueue>)->Iterations(1)->Unit(benchmark::kMillisecond);

// One submit, start and finish with range(0) entries waiting.
void queueStep(benchmark::State &state)
{
    QueueLimits limits;
    limits.maxRunning = 1;
    limits.maxQueued = static_cast<std::size_t>(state.range(0)) + 10;
    AdmissionQueue queue(limits);
    std::mt19937_64 random(Seed);
    std::uint64_t number = 0;
    const auto submit = [&] {
        QueueEntry entry;
        entry.attemptId = std::to_string(number++);
        entry.customer = "customer-" + std::to_string(random() % 50);
        entry.tokens = 1 + random() % 100;
        entry.deadline = TimePoint{} + 24h + std::chrono::milliseconds(random() % 100000);
        queue.submit(std::move(entry), TimePoint{});
    };
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        submit();
    }
    while (state.KeepRunning()) {
        submit();
        const StartDecision decision = queue.start(TimePoint{});
        queue.finish(decision.started->attemptId, decision.started->tokens);
    }
}
BENCHMARK(queueStep)->Arg(100)->Arg(1000)->Arg(10000)->Arg(100000);

// One choice among range(0) targets with one membership change per 10,000 choices.
void targetChoice(benchmark::State &state)
{
    const auto host = [](std::int64_t number) { return "host-" + std::to_string(number); };
    TargetChooser chooser;
    std::vector<TargetInfo> infos;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        infos.push_back({host(i), "domain-" + std::to_string(i % 25), false, false, false});
        chooser.setTarget(infos.back());
    }
    std::vector<TargetQuery> queries(140);
    for (std::size_t i = 0; i < queries.size(); ++i) {
        queries[i].model = "model-" + std::to_string(i);
        chooser.choose(queries[i]);
    }
    const std::uint64_t inspectedTargets = chooser.inspectedTargets();
    const std::uint64_t rankedTargets = chooser.rankedTargets();
    std::mt19937_64 random(Seed);
    std::uint64_t choices = 0;
    while (state.KeepRunning()) {
        TargetQuery &query = queries[random() % queries.size()];
        query.random = random();
        benchmark::DoNotOptimize(chooser.choose(query));
        if (++choices % 10000 == 0) {
            TargetInfo &info = infos[random() % infos.size()];
            info.leaving = !info.leaving;
            chooser.setTarget(info);
        }
    }
    state.counters["targets_looked_at"] = static_cast<double>(chooser.inspectedTargets() - inspectedTargets)
        / static_cast<double>(choices);
    state.counters["targets_ranked"] = static_cast<double>(chooser.rankedTargets() - rankedTargets)
        / static_cast<double>(choices);
}
BENCHMARK(targetChoice)->Arg(10)->Arg(100)->Arg(1000)->Arg(11000);

// Baseline: looks at every target.
void targetChoiceByFullScan(benchmark::State &state)
{
    std::vector<TargetState> targets;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        targets.emplace_back(TargetInfo{"host-" + std::to_string(i), "domain", false, false, false});
    }
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(
            std::min_element(targets.begin(), targets.end(), [](const auto &left, const auto &right) {
                return left.expectedStart("model") < right.expectedStart("model");
            }));
    }
    state.counters["targets_looked_at"] = static_cast<double>(state.range(0));
}
BENCHMARK(targetChoiceByFullScan)->Arg(10)->Arg(100)->Arg(1000)->Arg(11000);

// Waits at 64 targets at 80% load with reports each second. range(0): a RoutingMethod.
void routingWaits(benchmark::State &state)
{
    simulation::RoutingOutcome outcome;
    while (state.KeepRunning()) {
        outcome = simulation::simulateRouting(static_cast<simulation::RoutingMethod>(state.range(0)), 64, 0.8, Seed);
    }
    state.counters["mean_wait_s"] = outcome.mean;
    state.counters["p99_wait_s"] = outcome.p99;
}
BENCHMARK(routingWaits)->Arg(0)->Arg(1)->Arg(2)->Iterations(1)->Unit(benchmark::kMillisecond);

// Half of the targets refuse; range(0) is 1 with the budget and 0 without.
void retryAmplification(benchmark::State &state)
{
    constexpr int Requests = 100000;
    const double fraction = state.range(0) == 1 ? 0.2 : 1e9;
    std::uint64_t attempts = 0;
    std::uint64_t served = 0;
    while (state.KeepRunning()) {
        RetryPolicy policy{RetryBudget(fraction, state.range(0) == 1 ? 10.0 : 1e9)};
        std::mt19937_64 random(Seed);
        attempts = 0;
        served = 0;
        for (int i = 0; i < Requests; ++i) {
            policy.recordFirstAttempt();
            FailedAttempt attempt{ResultCode::QueueFull, RunState::NotRun, true, false, 0, 10s, 1s};
            bool refused = true;
            do {
                ++attempt.attempts;
                ++attempts;
                refused = random() % 2 == 0;
            } while (refused && policy.afterFailure(attempt) == RetryDecision::Retry);
            served += refused ? 0 : 1;
        }
    }
    state.counters["attempts_per_request"] = static_cast<double>(attempts) / Requests;
    state.counters["served"] = static_cast<double>(served) / Requests;
}
BENCHMARK(retryAmplification)->Arg(1)->Arg(0)->Iterations(1)->Unit(benchmark::kMillisecond);

// range(0): -2 clairvoyant, -1 learned, else a fixed timeout in seconds. 120 models over 48 hours.
void keepWarm(benchmark::State &state)
{
    constexpr KeepWarmCosts Costs{1.0, 120.0};
    const auto models = simulation::keepWarmArrivals(120, 48 * 3600.0, Seed);
    simulation::KeepWarmOutcome outcome;
    while (state.KeepRunning()) {
        if (state.range(0) == -2) {
            outcome = simulation::replayClairvoyant(models, Costs);
        } else if (state.range(0) == -1) {
            outcome = simulation::replayLearned(models, Costs);
        } else {
            outcome = simulation::replayFixed(models, static_cast<double>(state.range(0)));
        }
    }
    const double bound = simulation::replayClairvoyant(models, Costs).cost(Costs);
    state.counters["idle_hours"] = outcome.idleSeconds / 3600.0;
    state.counters["cold_starts"] = outcome.coldStarts;
    state.counters["cost_over_clairvoyant"] = outcome.cost(Costs) / bound;
}
BENCHMARK(keepWarm)->Arg(-2)->Arg(-1)->Arg(60)->Arg(120)->Arg(300)->Arg(600)->Arg(1800)->Iterations(1)->Unit(
    benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
