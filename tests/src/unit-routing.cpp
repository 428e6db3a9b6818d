#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/routing/targetchooser.h>

#include <iostream>
#include <map>
#include <random>
#include <routingsimulation.h>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

TEST_GROUP(TargetChooser)
{
    TimePoint now{};
    TargetChooser chooser{8};

    static std::string host(int number)
    {
        return "host-" + std::to_string(number);
    }
    void addTargets(int count, int domains = 3)
    {
        for (int i = 0; i < count; ++i) {
            chooser.setTarget({host(i), "domain-" + std::to_string(i % domains), false, false, false});
        }
    }
    void makeWarm(const std::string &name, const std::string &model)
    {
        chooser.find(name)->setPlacement(model, {ModelPlace::Resident, 0s});
    }
    void report(const std::string &name, std::uint64_t queuedTokens)
    {
        chooser.find(name)->setReport({now, 0, 8, queuedTokens, 100.0});
    }
    static TargetQuery query(const std::string &model, std::uint64_t random = 0)
    {
        TargetQuery result;
        result.model = model;
        result.random = random;
        return result;
    }
};

TEST(TargetChooser, noTargets_choosesNothing)
{
    CHECK_FALSE(chooser.choose(query("assay")).has_value());
}

TEST(TargetChooser, coldModelAtManyProcesses_allChooseTheSameTarget)
{
    addTargets(20);
    TargetChooser other{8};
    for (int i = 19; i >= 0; --i) {
        other.setTarget({host(i), "domain-" + std::to_string(i % 3), false, false, false});
    }
    const std::string expected = chooser.choose(query("assay"))->host;
    for (std::uint64_t random = 0; random < 50; ++random) {
        const auto choice = other.choose(query("assay", random * 0x123456789ULL));
        STRCMP_EQUAL(expected.c_str(), choice->host.c_str());
        CHECK_FALSE(choice->warm);
    }
}

TEST(TargetChooser, authorityHolders_arePreferredToTheSubset)
{
    addTargets(50);
    chooser.setHolders("assay", {host(7), host(8)});
    const std::string first = chooser.choose(query("assay"))->host;
    CHECK(first == host(7) || first == host(8));
    chooser.setTarget({first, "domain-1", false, false, true});
    const std::string second = chooser.choose(query("assay"))->host;
    CHECK(second != first && (second == host(7) || second == host(8)));
}

TEST(TargetChooser, leavingDrainedSilentOrTriedTargets_areNeverChosen)
{
    addTargets(4);
    chooser.setTarget({host(0), "d", true, false, false});
    chooser.setTarget({host(1), "d", false, true, false});
    chooser.setTarget({host(2), "d", false, false, true});
    for (std::uint64_t random = 0; random < 20; ++random) {
        STRCMP_EQUAL(host(3).c_str(), chooser.choose(query("", random))->host.c_str());
    }
    TargetQuery tried = query("");
    tried.excludedHosts = {host(3)};
    CHECK_FALSE(chooser.choose(tried).has_value());
}

TEST(TargetChooser, twoWarmTargets_choosesTheLessLoaded)
{
    addTargets(2);
    makeWarm(host(0), "assay");
    makeWarm(host(1), "assay");
    report(host(0), 1000);
    report(host(1), 10);
    for (std::uint64_t random = 0; random < 10; ++random) {
        STRCMP_EQUAL(host(1).c_str(), chooser.choose(query("assay", random))->host.c_str());
    }
}

TEST(TargetChooser, attemptsSentSinceTheReport_countUntilTheNextReport)
{
    addTargets(2);
    report(host(0), 0);
    report(host(1), 50);
    now += 1s;
    chooser.find(host(0))->noteSent("a", 500, now);
    STRCMP_EQUAL(host(1).c_str(), chooser.choose(query(""))->host.c_str());
    now += 1s;
    report(host(0), 0);
    STRCMP_EQUAL(host(0).c_str(), chooser.choose(query(""))->host.c_str());
    chooser.find(host(0))->noteSent("b", 500, now + 1s);
    chooser.find(host(0))->noteEnded("b");
    STRCMP_EQUAL(host(0).c_str(), chooser.choose(query(""))->host.c_str());
}

TEST(TargetChooser, warmTargetSlowerThanALoad_choosesTheFirstColdCandidate)
{
    addTargets(2);
    makeWarm(host(0), "assay");
    chooser.find(host(1))->setPlacement("assay", {ModelPlace::HostMemory, 2s});
    report(host(0), 100);
    STRCMP_EQUAL(host(0).c_str(), chooser.choose(query("assay"))->host.c_str());
    report(host(0), 1000);
    STRCMP_EQUAL(host(1).c_str(), chooser.choose(query("assay"))->host.c_str());
}

TEST(TargetChooser, prefixInCache_attractsRequestsUntilTheQueueOutweighsIt)
{
    addTargets(8);
    for (int i = 0; i < 8; ++i) {
        makeWarm(host(i), "assay");
        report(host(i), 0);
    }
    TargetQuery prompt = query("assay");
    for (std::uint64_t block = 1; block <= 100; ++block) {
        prompt.promptBlocks.push_back(block * 0x9E3779B97F4A7C15ULL);
        chooser.find(host(5))->prefixes().apply({block, prompt.promptBlocks.back(), true});
    }
    for (std::uint64_t random = 0; random < 20; ++random) {
        prompt.random = random;
        STRCMP_EQUAL(host(5).c_str(), chooser.choose(prompt)->host.c_str());
    }
    report(host(5), 1000);
    CHECK(chooser.choose(prompt)->host != host(5));
}

TEST(TargetChooser, gapInCacheEvents_olderBlocksCountForLess)
{
    PrefixSketch sketch;
    const std::vector<std::uint64_t> blocks = {0x100000001ULL, 0x200000002ULL, 0x300000003ULL};
    sketch.apply({1, blocks[0], true});
    sketch.apply({2, blocks[1], true});
    DOUBLES_EQUAL(2.0, sketch.expectedHits(blocks), 1e-9);
    sketch.apply({9, blocks[2], true});
    DOUBLES_EQUAL(1.5, sketch.expectedHits(blocks), 1e-9);
    sketch.apply({10, blocks[0], false});
    DOUBLES_EQUAL(0.0, sketch.expectedHits(blocks), 1e-9);
}

TEST(TargetChooser, subset_spreadsOverFailureDomainsAndChangesLittle)
{
    std::vector<RankedTarget> targets;
    for (int i = 0; i < 100; ++i) {
        const std::string domain = i < 90 ? "large" : "small-" + std::to_string(i % 3);
        targets.push_back({rendezvousScore("assay", host(i)), host(i), domain});
    }
    const auto subset = rendezvousSubset(targets, 8);
    std::map<std::string, int> byDomain;
    for (const RankedTarget &target : subset) {
        ++byDomain[target.domain];
    }
    LONGS_EQUAL(4, byDomain.size());
    LONGS_EQUAL(2, byDomain["large"]);
    targets.erase(std::find(targets.begin(), targets.end(), subset[0]));
    int kept = 0;
    for (const RankedTarget &target : rendezvousSubset(targets, 8)) {
        kept += std::find(subset.begin(), subset.end(), target) != subset.end() ? 1 : 0;
    }
    LONGS_EQUAL(7, kept);
}

TEST(TargetChooser, costPerChoice_isIndependentOfFleetSize)
{
    for (const int count : {10, 100, 1000, 11000}) {
        TargetChooser fleet{8};
        for (int i = 0; i < count; ++i) {
            fleet.setTarget({host(i), "domain-" + std::to_string(i % 25), false, false, false});
        }
        fleet.choose(query("assay"));
        const std::uint64_t before = fleet.inspectedTargets();
        const std::uint64_t rankingsBefore = fleet.rankedTargets();
        constexpr int Choices = 1000;
        for (int i = 0; i < Choices; ++i) {
            fleet.choose(query("assay", static_cast<std::uint64_t>(i)));
        }
        const double perChoice = static_cast<double>(fleet.inspectedTargets() - before) / Choices;
        std::cout << "targets " << count << ": " << perChoice << " targets looked at per choice\n";
        CHECK(perChoice <= 8.0);
        LONGS_EQUAL(0, fleet.rankedTargets() - rankingsBefore);
    }
}

TEST(TargetChooser, randomChanges_neverChoosesAnUnavailableTarget)
{
    constexpr std::uint64_t Seeds = 100;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        std::mt19937_64 random(seed);
        TargetChooser fleet{4};
        std::map<std::string, TargetInfo> infos;
        for (int step = 0; step < 500; ++step) {
            const std::string name = host(static_cast<int>(random() % 12));
            if (random() % 8 == 0) {
                fleet.removeTarget(name);
                infos.erase(name);
            } else {
                infos[name] = {name, "d" + std::to_string(random() % 3), random() % 4 == 0, random() % 4 == 0, false};
                fleet.setTarget(infos[name]);
            }
            const bool any = std::any_of(infos.begin(), infos.end(), [](const auto &info) {
                return info.second.available();
            });
            const auto choice = fleet.choose(query("model-" + std::to_string(random() % 5), random()));
            CHECK(choice.has_value() == any);
            CHECK(!choice || infos.at(choice->host).available());
        }
    }
    std::cout << "routing schedules: seeds 1.." << Seeds << "\n";
}

TEST(TargetChooser, laggingReports_waitsStayBelowRandomAndLeastReportedChoice)
{
    using simulation::RoutingMethod;
    const auto chosen = simulation::simulateRouting(RoutingMethod::TwoChoices, 64, 0.8, 7);
    const auto randomly = simulation::simulateRouting(RoutingMethod::Random, 64, 0.8, 7);
    const auto herding = simulation::simulateRouting(RoutingMethod::LeastReported, 64, 0.8, 7);
    std::cout << "p99 wait, seed 7: two choices " << chosen.p99 << " s, random " << randomly.p99
              << " s, least reported " << herding.p99 << " s\n";
    CHECK(chosen.p99 < randomly.p99 / 2);
    CHECK(chosen.p99 < herding.p99 / 2);
}
