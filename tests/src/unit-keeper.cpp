#include <celeryroute/detail/keeper/modelkeeper.h>

#include <algorithm>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

namespace {

std::string text(const std::optional<TargetOrder> &order)
{
    if (!order) {
        return "none";
    }
    const std::string kind = order->kind == OrderKind::Load ? "load " : "unload ";
    return kind + toString(itemOf(*order)) + " @" + std::to_string(order->expectedSequence);
}

} // namespace

TEST_GROUP(ModelKeeper)
{
    TimePoint now = TimePoint(100s);
    EngineSpec spec;
    TargetReport report;
    ModelKeeper keeper = ModelKeeper({});

    void setup() override
    {
        spec.memoryMb = 100;
        spec.adapterSlots = 2;
        spec.loadsPerSecond = 1;
        for (const char *name : {"a", "b", "c", "d"}) {
            spec.models.push_back({name, 40, 6s, 600ms, 400ms, 5, 1});
        }
        spec.models.push_back({"big", 90, 6s, 900ms, 500ms, 0, 1});
        report.bornMs = 1'000'000 - 3'600'000;
        report.copies = {{"a"}, {"a", "b", "c", "big"}};
        start();
    }
    void start(bool firstStart = true, bool prefetch = false)
    {
        keeper = ModelKeeper({"host1", {}, TimePoint(100s), 1'000'000, firstStart, prefetch});
        keeper.useSpec(spec);
        keeper.useFence(7);
        keeper.useInstance("w1");
    }
    void reads()
    {
        keeper.noteReport(report, now, now);
    }
    void holds(std::vector<ResidentModel> models)
    {
        report.models = std::move(models);
        reads();
    }
    void wants(std::vector<ItemWant> wants, std::vector<ItemCalls> inFlight = {}, const std::string &entry = "e1")
    {
        keeper.noteUsage(entry, {1, std::move(inFlight), std::move(wants)}, now);
    }
    std::string next()
    {
        return text(keeper.nextOrder(now));
    }
    void answer(const TargetOrder &order, OrderAnswer outcome)
    {
        keeper.noteOutcome(order, outcome, now);
    }
    std::string declined()
    {
        std::string all;
        for (const std::string &item : keeper.view(now).declined) {
            all += item + " ";
        }
        return all;
    }
};

TEST(ModelKeeper, wants_giveTheOrderThatServesThemFirst)
{
    struct Row {
        std::vector<ResidentModel> resident;
        std::vector<ItemCalls> inFlight;
        std::vector<ItemWant> wants;
        const char *order;
        const char *declined;
    };
    const ResidentModel a{"a", 1, {}};
    const ResidentModel b{"b", 1, {}};
    const ResidentModel withAdapters{"a", 1, {"a1", "a2"}};
    const Row rows[] = {
        {{}, {}, {}, "none", ""},
        {{}, {}, {{"a", 1, 0, 0s}}, "load a @0", ""},
        {{a}, {}, {{"a", 1, 0, 0s}}, "none", ""},
        {{}, {}, {{"a", 9, 1, 3s}, {"b", 1, 0, 0s}}, "load b @0", ""},
        {{}, {}, {{"b", 1, 0, 0s}, {"c", 3, 0, 0s}}, "load c @0", ""},
        {{}, {}, {{"b", 1, 0, 0s}, {"c", 1, 0, 1s}}, "load c @0", ""},
        {{}, {}, {{"b/a1", 1, 0, 0s}}, "load b @0", ""},
        {{a}, {}, {{"a/a1", 1, 0, 0s}}, "load a/a1 @0", ""},
        {{a, b}, {{"a", 1}}, {{"c", 1, 0, 0s}}, "unload b @0", ""},
        {{a, b}, {{"a/a1", 1}, {"b", 1}}, {{"c", 1, 0, 0s}}, "none", "c "},
        {{a, b}, {}, {{"c", 1, 0, 0s}, {"b", 1, 0, 0s}}, "unload a @0", ""},
        {{a, b}, {}, {{"c", 1, 0, 0s}, {"b", 1, 0, 0s}, {"a", 1, 0, 0s}}, "none", "c "},
        {{a}, {}, {{"b", 1, 0, 0s}, {"big", 1, 1, 0s}}, "load b @0", "big "},
        {{a}, {}, {{"big", 1, 0, 0s}}, "unload a @0", ""},
        {{a}, {}, {{"unknown", 1, 0, 0s}}, "none", "unknown "},
        {{withAdapters}, {{"a/a2", 1}}, {{"a/a3", 1, 0, 0s}}, "unload a/a1 @0", ""},
        {{withAdapters}, {{"a/a2", 1}, {"a/a1", 1}}, {{"a/a3", 1, 0, 0s}}, "none", "a/a3 "},
        {{withAdapters}, {{"a", 1}}, {{"c", 1, 0, 0s}}, "load c @0", ""},
    };
    for (const Row &row : rows) {
        start();
        holds(row.resident);
        wants(row.wants, row.inFlight);
        STRCMP_EQUAL(row.order, next().c_str());
        STRCMP_EQUAL(row.declined, declined().c_str());
    }
}

TEST(ModelKeeper, adapterIsWanted_itsOrderComesBeforeLoadsOfModelsAndNotDuringOne)
{
    holds({{"a", 1, {}}});
    wants({{"b", 5, 0, 1s}, {"a/a1", 1, 9, 0s}});
    TargetOrder order = *keeper.nextOrder(now);
    STRCMP_EQUAL("load a/a1 @0", text(order).c_str());
    answer(order, OrderAnswer::Accepted);
    order = *keeper.nextOrder(now);
    STRCMP_EQUAL("load b @1", text(order).c_str());
    answer(order, OrderAnswer::Accepted);
    now += 100ms;
    report.sequence = 2;
    report.busy = true;
    holds({{"a", 1, {"a1"}}});
    wants({{"b", 5, 0, 1s}, {"a/a2", 1, 0, 0s}});
    STRCMP_EQUAL("none", next().c_str());
    STRCMP_EQUAL("", declined().c_str());
    Duration expected{};
    for (const LoadingItem &loading : keeper.view(now).loading) {
        expected = loading.item == "a/a2" ? loading.remaining : expected;
    }
    CHECK(expected > 500ms); // Behind the load from disk, which takes 600 ms.
    now += 600ms;
    report.busy = false;
    holds({{"a", 1, {"a1"}}, {"b", 1, {}}});
    STRCMP_EQUAL("load a/a2 @2", next().c_str());
}

TEST(ModelKeeper, loadIsOverdue_itsExpectedTimeGrowsWithTheTimeItHasTaken)
{
    holds({});
    wants({{"b", 1, 0, 0s}});
    answer(*keeper.nextOrder(now), OrderAnswer::Accepted);
    report.sequence = 1;
    report.busy = true;
    const auto remaining = [&] {
        now += 2s;
        reads();
        wants({{"b", 1, 0, 0s}});
        next();
        return keeper.view(now).loading.front().remaining;
    };
    const Duration first = remaining();
    const Duration second = remaining();
    CHECK(first >= 200ms);
    CHECK(second > first);
}

TEST(ModelKeeper, roomIsMade_byWhatIsUsedLeastAndCheapToBringBack)
{
    holds({{"a", 1, {}}, {"b", 1, {}}});
    wants({}, {{"a", 20}});
    now += 1s;
    wants({}, {{"b", 1}});
    now += 1s;
    wants({{"c", 1, 0, 0s}});
    STRCMP_EQUAL("unload b @0", next().c_str());
    // Without a local copy a model is dear to bring back.
    start();
    holds({{"b", 1, {}}, {"d", 1, {}}});
    wants({}, {{"d", 1}});
    now += 3s;
    wants({}, {{"b", 1}});
    reads();
    wants({{"c", 1, 0, 0s}});
    STRCMP_EQUAL("unload b @0", next().c_str());
}

TEST(ModelKeeper, modelLoadedForCallsToCome_isKeptForAWhile)
{
    holds({{"a", 1, {}}});
    holds({{"a", 1, {}}, {"b", 1, {}}});
    wants({{"c", 1, 0, 0s}}, {{"a", 1}});
    STRCMP_EQUAL("none", next().c_str());
    STRCMP_EQUAL("c ", declined().c_str());
    now += 1100ms;
    reads();
    wants({{"c", 1, 0, 0s}}, {{"a", 1}});
    STRCMP_EQUAL("unload b @0", next().c_str());
}

TEST(ModelKeeper, acceptedOrders_nextOneNeedsNoReportButHeldMemoryDoes)
{
    holds({{"a", 1, {}}});
    wants({{"a/a1", 1, 0, 0s}, {"a/a2", 1, 0, 0s}, {"b", 1, 1, 0s}});
    auto order = keeper.nextOrder(now);
    STRCMP_EQUAL("load a/a1 @0", text(order).c_str());
    STRCMP_EQUAL("none", next().c_str()); // one at a time
    answer(*order, OrderAnswer::Accepted);
    order = keeper.nextOrder(now);
    STRCMP_EQUAL("load a/a2 @1", text(order).c_str());
    answer(*order, OrderAnswer::Accepted);
    order = keeper.nextOrder(now);
    STRCMP_EQUAL("load b @2", text(order).c_str());
    answer(*order, OrderAnswer::Accepted);
    STRCMP_EQUAL("none", next().c_str());
    wants({{"c", 1, 0, 0s}}, {{"a", 1}});
    STRCMP_EQUAL("none", next().c_str());
    STRCMP_EQUAL("c ", declined().c_str()); // b is on its way in, a is in use
}

TEST(ModelKeeper, unloadAccepted_freesNothingBeforeAReportBegunLater)
{
    holds({{"a", 1, {}}, {"b", 1, {}}});
    const TimePoint before = now;
    wants({{"c", 1, 0, 0s}}, {{"a", 1}});
    const auto unload = keeper.nextOrder(now);
    now += 2ms;
    answer(*unload, OrderAnswer::Accepted);
    STRCMP_EQUAL("none", next().c_str());
    TargetReport gone = report;
    gone.models = {{"a", 1, {}}};
    gone.sequence = 1;
    keeper.noteReport(gone, before, now);
    STRCMP_EQUAL("none", next().c_str());
    gone.busy = true;
    keeper.noteReport(gone, now, now);
    STRCMP_EQUAL("none", next().c_str());
    gone.busy = false;
    keeper.noteReport(gone, now + 1ms, now + 1ms);
    STRCMP_EQUAL("load c @1", next().c_str());
}

TEST(ModelKeeper, outcomes_decideWhenTheNextOrderComes)
{
    struct Row {
        OrderAnswer outcome;
        std::uint64_t reported;
        const char *atOnce;
        const char *afterReport;
    };
    const Row rows[] = {
        {OrderAnswer::InDoubt, 0, "none", "load b @0"}, // excludes the one in doubt
        {OrderAnswer::InDoubt, 1, "none", "none"}, // was carried out: in progress
        {OrderAnswer::AlreadyHolds, 0, "none", "load b @0"},
        {OrderAnswer::Conflict, 4, "none", "load b @4"},
        {OrderAnswer::Rejected, 0, "none", "none"},
        {OrderAnswer::Fenced, 0, "none", "none"},
    };
    for (const Row &row : rows) {
        start();
        holds({});
        wants({{"b", 1, 0, 0s}});
        const auto order = keeper.nextOrder(now);
        now += 2ms;
        answer(*order, row.outcome);
        STRCMP_EQUAL(row.atOnce, next().c_str());
        now += 20ms;
        TargetReport later = report;
        later.sequence = row.reported;
        later.busy = row.reported == 1;
        keeper.noteReport(later, now, now);
        STRCMP_EQUAL(row.afterReport, next().c_str());
        CHECK_EQUAL(row.outcome != OrderAnswer::Fenced, keeper.view(now).ordering);
        keeper.useFence(7);
        CHECK_EQUAL(row.outcome != OrderAnswer::Fenced, keeper.view(now).ordering);
        keeper.useFence(8);
        CHECK(keeper.view(now).ordering);
    }
}

TEST(ModelKeeper, unreachableTarget_getsNoOrders)
{
    holds({});
    wants({{"b", 1, 0, 0s}});
    keeper.noteUnreachable(now);
    STRCMP_EQUAL("none", next().c_str());
    CHECK(keeper.nextReportAt(now) == now + 250ms);
    now += 500ms;
    reads();
    STRCMP_EQUAL("load b @0", next().c_str());
}

TEST(ModelKeeper, reportThatIsOld_isNoGroundForAnOrder)
{
    holds({});
    now += 3s;
    wants({{"b", 1, 0, 0s}});
    STRCMP_EQUAL("none", next().c_str());
    CHECK(keeper.nextReportAt(now) == now);
    reads();
    STRCMP_EQUAL("load b @0", next().c_str());
}

TEST(ModelKeeper, ordersToAnEarlierLifetime_keepTheirRoomForAsLongAsTheyMayLand)
{
    report.sequence = 5;
    holds({});
    wants({{"a", 1, 0, 0s}});
    const auto late = keeper.nextOrder(now);
    STRCMP_EQUAL("load a @5", text(late).c_str());
    answer(*late, OrderAnswer::InDoubt);
    report.sequence = 0;
    report.bornMs += 1000;
    now += 1s;
    holds({{"b", 1, {}}});
    wants({{"c", 1, 0, 0s}}, {{"b", 1}});
    STRCMP_EQUAL("none", next().c_str()); // 40 held, 40 reserved
    STRCMP_EQUAL("c ", declined().c_str());
    now += 15s;
    reads();
    wants({{"c", 1, 0, 0s}}, {{"b", 1}});
    STRCMP_EQUAL("load c @0", next().c_str());
}

TEST(ModelKeeper, restartedAgent_actsOnOneOrderOfItsPredecessor)
{
    struct Row {
        std::int64_t age; // of the target's lifetime, ms
        const char *wanted;
        const char *order;
    };
    const Row rows[] = {
        {3'600'000, "big", "load big @3"}, // excludes any order of the predecessor
        {5'000, "big", "none"}, // 90 may come
        {5'000, "a", "none"},
        {-1'000, "a", "none"},
    };
    for (const Row &row : rows) {
        start(false);
        report.sequence = 3;
        report.bornMs = 1'000'000 - row.age;
        holds({});
        wants({{row.wanted, 1, 0, 0s}});
        STRCMP_EQUAL(row.order, next().c_str());
    }
    now += 16s;
    reads();
    wants({{"big", 1, 0, 0s}});
    STRCMP_EQUAL("load big @3", next().c_str());
}

TEST(ModelKeeper, orderThatNobodyHereGave_blocksUntilItIsDone)
{
    start(false);
    report.busy = true;
    holds({{"a", 1, {}}});
    wants({{"a/a1", 1, 0, 0s}});
    STRCMP_EQUAL("none", next().c_str());
    report.busy = false;
    holds({{"a", 1, {}}, {"b", 1, {}}});
    STRCMP_EQUAL("load a/a1 @0", next().c_str());
}

TEST(ModelKeeper, loadsFromTheStore_needTheCountOfTargetsAndAWindowAfterARestart)
{
    for (const bool firstStart : {true, false}) {
        now = TimePoint(100s);
        start(firstStart);
        holds({});
        keeper.noteUsage("e1", {0, {}, {{"d", 1, 0, 0s}}}, now);
        STRCMP_EQUAL("none", next().c_str());
        STRCMP_EQUAL("d ", declined().c_str());
        keeper.noteUsage("e1", {7, {}, {{"d", 1, 0, 0s}}}, now);
        STRCMP_EQUAL(firstStart ? "load d @0" : "none", next().c_str());
        now += 5001ms;
        reads();
        keeper.noteUsage("e1", {7, {}, {{"d", 1, 0, 0s}}}, now);
        STRCMP_EQUAL(firstStart ? "none" : "load d @0", next().c_str());
    }
}

TEST(ModelKeeper, silentEntries_loseTheirWantsBeforeTheirCalls)
{
    holds({{"a", 1, {}}, {"b", 1, {}}});
    wants({{"c", 1, 0, 0s}}, {{"a", 1}, {"b", 1}}, "e1");
    now += 1100ms;
    reads();
    STRCMP_EQUAL("none", next().c_str());
    STRCMP_EQUAL("", declined().c_str());
    wants({{"c", 1, 0, 0s}}, {}, "e2");
    STRCMP_EQUAL("none", next().c_str());
    STRCMP_EQUAL("c ", declined().c_str());
    now += 4200ms;
    reads();
    wants({{"c", 1, 0, 0s}}, {}, "e2");
    STRCMP_EQUAL("unload a @0", next().c_str());
}

TEST(ModelKeeper, reports_areReadFasterTheMoreIsGoingOn)
{
    CHECK(keeper.nextReportAt(now) == now); // never read
    holds({});
    next();
    CHECK(keeper.nextReportAt(now) == now + 1s);
    wants({{"unknown", 1, 0, 0s}});
    next();
    CHECK(keeper.nextReportAt(now) == now + 150ms);
    wants({{"b", 1, 0, 0s}});
    const auto order = keeper.nextOrder(now);
    answer(*order, OrderAnswer::Accepted);
    CHECK(keeper.nextReportAt(now) == now + 50ms);
    report.busy = true;
    report.sequence = 1;
    now += 580ms;
    reads();
    CHECK(keeper.nextReportAt(now) == now + 5ms);
}

TEST(ModelKeeper, stateVersion_changesWithWhatEntriesActOn)
{
    auto changed = [this, last = std::uint64_t{0}]() mutable {
        next();
        const bool result = keeper.stateVersion() != last;
        last = keeper.stateVersion();
        return result;
    };
    holds({{"a", 1, {}}});
    CHECK(changed());
    report.active = 3;
    reads();
    CHECK_FALSE(changed());
    wants({{"b", 1, 0, 0s}});
    CHECK(changed()); // b is expected
    const KeeperView view = keeper.view(now);
    LONGS_EQUAL(1, view.loading.size());
    STRCMP_EQUAL("b", view.loading[0].item.c_str());
    CHECK(view.loading[0].remaining == 600ms);
    now += 50ms;
    CHECK_FALSE(changed());
    wants({{"unknown", 1, 0, 0s}});
    CHECK(changed()); // unknown is declined
    keeper.noteUnreachable(now);
    CHECK(changed());
}

TEST(ModelKeeper, prefetch_onlyWhenAskedForAndWithoutCost)
{
    for (const bool asked : {false, true}) {
        start(true, asked);
        holds({{"a", 1, {}}});
        for (int i = 0; i < 10; ++i) {
            wants({}, {{"b", 2}});
            now += 500ms;
        }
        wants({});
        reads();
        STRCMP_EQUAL(asked ? "load b @0" : "none", next().c_str());
    }
}

TEST(ModelKeeper, aModelIsLargerThanTheTarget_nothingIsKeptFreeForIt)
{
    spec.models.push_back({"giant", 110, 6s, 900ms, 500ms, 0, 1});
    report.bornMs = 1'000'000 - 1'000;
    start(false);
    holds({});
    wants({{"a", 1, 0, 0s}, {"giant", 1, 0, 0s}});
    // An order of an earlier agent may still come; of what fits, 90 of 100 is the most that it can ask for.
    STRCMP_EQUAL("none", next().c_str());
    std::erase_if(spec.models, [](const EngineModel &model) { return model.name == "big"; });
    start(false);
    holds({});
    wants({{"a", 1, 0, 0s}, {"giant", 1, 0, 0s}});
    STRCMP_EQUAL("load a @0", next().c_str());
    STRCMP_EQUAL("giant ", declined().c_str());
}

TEST_GROUP(StoreLoadShare){};

TEST(StoreLoadShare, turnsAreTaken_theWaitEndsWhereALoadMayBegin)
{
    ServingBounds bounds;
    for (const std::uint32_t targets : {1U, 2U, 9U, 40U, 200U, 11000U}) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            StoreLoadShare share(seed * 0x9E3779B97F4A7C15U);
            share.useLimits(1, bounds);
            share.useTargets(targets, TimePoint(100s));
            TimePoint now(100s);
            if (seed % 2 == 0) {
                share.noteUnknownPast(now);
            }
            for (int i = 0; i < 20; ++i) {
                now += 777ms;
                const Duration wait = share.untilTurn(now);
                const bool counts = targets <= 7; // Of 1 * 5 * 1.1 + 2 loads in a window.
                CHECK(!counts || wait == Duration::zero());
                CHECK(counts || share.permits(now + wait, 0));
                CHECK(counts || wait == Duration::zero() || !share.permits(now + wait - 2ms, 0));
                if (share.permits(now, 0)) {
                    CHECK(wait == Duration::zero());
                    share.noteBegan(now);
                }
            }
        }
    }
}

TEST(StoreLoadShare, manyTargetsThatAlwaysWant_stayBelowTheLimit)
{
    struct Row {
        std::uint32_t targets;
        double rate;
        double leastUse; // of the rate
    };
    const Row rows[] = {{2, 1.6, 0.6}, {9, 1.6, 0.9}, {18, 4.2, 0.8}, {40, 1.6, 0.2}, {300, 16, 0.5}, {2000, 200, 0.6}};
    for (const Row &row : rows) {
        ServingBounds bounds;
        const double limit = row.rate * 5 * 1.1 + 3;
        std::vector<StoreLoadShare> shares;
        std::mt19937_64 random(row.targets);
        for (std::uint32_t i = 0; i < row.targets; ++i) {
            shares.emplace_back(random());
            shares.back().useLimits(row.rate, bounds);
            shares.back().useTargets(row.targets, TimePoint(1s));
        }
        std::deque<TimePoint> window;
        std::size_t total = 0;
        std::size_t most = 0;
        const TimePoint end = TimePoint(300s);
        for (TimePoint now = TimePoint(1s); now < end; now += 100ms) {
            for (StoreLoadShare &share : shares) {
                if (share.permits(now, 0)) {
                    share.noteBegan(now);
                    window.push_back(now);
                    ++total;
                }
            }
            while (!window.empty() && now - window.front() >= bounds.loadWindow) {
                window.pop_front();
            }
            most = std::max(most, window.size());
        }
        CHECK(static_cast<double>(most) <= limit);
        CHECK(static_cast<double>(total) >= row.leastUse * row.rate * 299);
    }
}

TEST(StoreLoadShare, tightenedBounds_holdFromThenOn)
{
    ServingBounds bounds;
    StoreLoadShare share(1);
    share.useLimits(2, bounds);
    share.useTargets(1, TimePoint(1s));
    const auto loads = [&share](TimePoint now) {
        int count = 0;
        for (; share.permits(now, 0); ++count) {
            share.noteBegan(now);
        }
        return count;
    };
    CHECK_EQUAL(13, loads(TimePoint(10s)));
    bounds.loadWindow = 10s;
    bounds.loadOverage = 0.5;
    share.useLimits(2, bounds);
    CHECK_EQUAL(0, loads(TimePoint(19s)));
    CHECK_EQUAL(12, loads(TimePoint(21s)));
}

// Nine loads a window. A target leaves behind its loads, and the others take its part when they are over.
TEST(StoreLoadShare, targetsThatComeAndGo_stayBelowTheLimitTogether)
{
    const ServingBounds bounds;
    const double rate = 7 / (5 * bounds.loadOverage);
    std::vector<StoreLoadShare> shares;
    std::vector<TimePoint> began;
    for (std::uint64_t i = 0; i < 3; ++i) {
        shares.emplace_back(i);
        shares.back().useLimits(rate, bounds);
    }
    const auto play = [&](const std::vector<std::size_t> &present, TimePoint from, TimePoint end) {
        for (TimePoint now = from; now < end; now += 50ms) {
            for (const std::size_t i : present) {
                shares[i].useTargets(static_cast<std::uint32_t>(present.size()), now);
                if (shares[i].permits(now, 0)) {
                    shares[i].noteBegan(now);
                    began.push_back(now);
                }
            }
            const auto recent = std::count_if(began.begin(), began.end(), [&](TimePoint time) {
                return now - time < bounds.loadWindow;
            });
            CHECK(recent <= 9);
        }
    };
    play({0, 1, 2}, TimePoint(10s), TimePoint(21s));
    play({0, 1}, TimePoint(21s), TimePoint(40s));
    const std::size_t before = began.size();
    play({0, 1}, TimePoint(40s), TimePoint(60s));
    CHECK(began.size() - before >= 32U); // The part of the one that left is used.
    shares[2].noteJoined(TimePoint(60s));
    play({0, 1, 2}, TimePoint(60s), TimePoint(80s));
    CHECK(began.back() > TimePoint(70s));
}
