#include <celeryroute/detail/routing/keepwarmpolicy.h>

#include <iostream>
#include <keepwarmsimulation.h>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

TEST_GROUP(KeepWarmPolicy)
{
    static constexpr KeepWarmCosts Costs{1.0, 120.0};
    KeepWarmPolicy policy{Costs};

    void arriveEvery(Duration gap, int times)
    {
        for (int i = 0; i < times; ++i) {
            policy.recordArrival(TimePoint{} + i * gap);
        }
    }
};

TEST(KeepWarmPolicy, fewArrivals_keepsForTheBreakEvenTime)
{
    CHECK(policy.shouldUnload(TimePoint{}));
    policy.recordArrival(TimePoint{});
    CHECK(policy.keepWarmDuration() == 120s);
    CHECK_FALSE(policy.shouldUnload(TimePoint{} + 119s));
    CHECK(policy.shouldUnload(TimePoint{} + 120s));
}

TEST(KeepWarmPolicy, regularArrivalsWithinBreakEven_staysUntilTheNext)
{
    arriveEvery(100s, 20);
    CHECK(policy.keepWarmDuration() == 100s);
}

TEST(KeepWarmPolicy, regularArrivalsFarApart_unloadsAtOnce)
{
    arriveEvery(600s, 20);
    CHECK(policy.keepWarmDuration() == 0s);
}

TEST(KeepWarmPolicy, arrivalRateChanges_adaptsTheDuration)
{
    arriveEvery(600s, 100);
    TimePoint now = TimePoint{} + 99 * 600s;
    for (int i = 0; i < 200; ++i) {
        now += 20s;
        policy.recordArrival(now);
    }
    CHECK(policy.keepWarmDuration() >= 20s && policy.keepWarmDuration() < 120s);
}

TEST(KeepWarmPolicy, mixedModels_costsLessThanAnyFixedTimeout)
{
    const auto models = simulation::keepWarmArrivals(120, 48 * 3600.0, 3);
    const double learned = simulation::replayLearned(models, Costs).cost(Costs);
    const double bound = simulation::replayClairvoyant(models, Costs).cost(Costs);
    for (const double timeout : {0.0, 30.0, 60.0, 120.0, 300.0, 600.0, 1800.0}) {
        const double fixed = simulation::replayFixed(models, timeout).cost(Costs);
        std::cout << "keep-warm seed 3: learned " << learned / bound << ", fixed " << timeout << " s " << fixed / bound
                  << " times the clairvoyant cost\n";
        CHECK(learned < fixed);
    }
    CHECK(learned < 2.0 * bound);
}
