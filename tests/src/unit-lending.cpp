#include <budgettraffic.h>
#include <iostream>
#include <lendingsimulation.h>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;

TEST_GROUP(LendingSchedules){};

TEST(LendingSchedules, lossRepetitionRestartPauseRedivision_neverExceedRateAndBurst)
{
    constexpr std::uint64_t Seeds = 400;
    constexpr int Steps = 4000;
    const BudgetLimits limits[] = {{100.0, 50.0}, {100.0, 1000.0}, {10.0, 5000.0}, {1000.0, 3000.0}};
    double admitted = 0.0;
    std::uint64_t acknowledged = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        simulation::LendingSimulation fleet(seed, limits[seed % 4], 2 + seed % 4);
        for (int step = 0; step < Steps; ++step) {
            fleet.step();
        }
        if (fleet.overshoot() > 0.0) {
            std::cout << "seed " << seed << ": overshoot " << fleet.overshoot() << " tokens\n";
        }
        DOUBLES_EQUAL(0.0, fleet.overshoot(), 0.0);
        admitted += fleet.admitted();
        acknowledged += fleet.credited();
    }
    std::cout << "lending schedules: seeds 1.." << Seeds << ", " << Steps << " steps each, " << acknowledged
              << " loan acknowledgements, " << admitted << " tokens admitted, overshoot 0\n";
    CHECK(admitted > 0.0);
    CHECK(acknowledged > Seeds);
}

TEST(LendingSchedules, allTrafficAtOneOfFourEntries_refusesLessThanOneInAThousandWrongly)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        simulation::BudgetTraffic traffic;
        traffic.length = std::chrono::hours(1);
        traffic.seed = seed;
        const simulation::BudgetOutcome lent = simulation::BudgetTrafficSimulation(traffic).run();
        traffic.lending = false;
        const simulation::BudgetOutcome split = simulation::BudgetTrafficSimulation(traffic).run();
        std::cout << "95% of the rate at one of 4 entries, seed " << seed << ": " << lent.wronglyRefused << " of "
                  << lent.requests << " refused wrongly, static split " << split.wronglyRefused << "\n";
        CHECK(lent.wronglyRefused * 1000 < lent.requests);
        CHECK(split.wronglyRefused * 10 > split.requests);
        DOUBLES_EQUAL(0.0, lent.overshoot, 0.0);
    }
}

TEST(LendingSchedules, trafficMovesBetweenEntries_neverOvershoots)
{
    simulation::BudgetTraffic traffic;
    traffic.length = std::chrono::minutes(30);
    traffic.moveEvery = std::chrono::seconds(10);
    traffic.redivideEvery = std::chrono::minutes(5);
    traffic.load = 2.0;
    const simulation::BudgetOutcome outcome = simulation::BudgetTrafficSimulation(traffic).run();
    DOUBLES_EQUAL(0.0, outcome.overshoot, 0.0);
    CHECK(outcome.refused < outcome.requests);
}
