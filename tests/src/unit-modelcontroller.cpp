#include <celeryroute/detail/keeper/modelcontroller.h>

#include <algorithm>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

namespace {

std::string describe(const std::optional<TargetOrder> &order)
{
    if (!order) {
        return "none";
    }
    const std::string kind = order->kind == OrderKind::Load ? "load " : "unload ";
    return kind + toString(itemOf(*order)) + " @" + std::to_string(order->expectedSequence);
}

} // namespace

TEST_GROUP(ModelController)
{
    TimePoint now = TimePoint(100s);
    EngineSpec spec;
    TargetReport report;
    ModelController controller = ModelController({});

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
        controller = ModelController({"host1", {}, TimePoint(100s), 1'000'000, firstStart, prefetch});
        controller.setSpec(spec);
        controller.setFence(7);
        controller.setInstance("w1");
    }
    void readReport()
    {
        controller.noteReport(report, now, now);
    }
    void reportModels(std::vector<ResidentModel> models)
    {
        report.models = std::move(models);
        readReport();
    }
    void reportDemand(std::vector<WaitingCalls> waiting,
                      std::vector<ItemCalls> inFlight = {},
                      const std::string &entry = "e1")
    {
        controller.noteUsage(entry, {1, std::move(inFlight), std::move(waiting)}, now);
    }
    std::string nextOrderText()
    {
        return describe(controller.nextOrder(now));
    }
    void noteOutcome(const TargetOrder &order, OrderAnswer outcome)
    {
        controller.noteOutcome(order, outcome, now);
    }
    std::string declinedItems()
    {
        std::string all;
        for (const std::string &item : controller.status(now).declined) {
            all += item + " ";
        }
        return all;
    }
};

TEST(ModelController, waitingCalls_determineTheNextOrderAndTheDeclinedItems)
{
    struct Row {
        std::vector<ResidentModel> resident;
        std::vector<ItemCalls> inFlight;
        std::vector<WaitingCalls> waiting;
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
        reportModels(row.resident);
        reportDemand(row.waiting, row.inFlight);
        STRCMP_EQUAL(row.order, nextOrderText().c_str());
        STRCMP_EQUAL(row.declined, declinedItems().c_str());
    }
}

TEST(ModelController, callsWaitForAnAdapter_itIsOrderedBeforeModelLoadsAndNotDuringOne)
{
    reportModels({{"a", 1, {}}});
    reportDemand({{"b", 5, 0, 1s}, {"a/a1", 1, 9, 0s}});
    TargetOrder order = *controller.nextOrder(now);
    STRCMP_EQUAL("load a/a1 @0", describe(order).c_str());
    noteOutcome(order, OrderAnswer::Accepted);
    order = *controller.nextOrder(now);
    STRCMP_EQUAL("load b @1", describe(order).c_str());
    noteOutcome(order, OrderAnswer::Accepted);
    now += 100ms;
    report.sequence = 2;
    report.busy = true;
    reportModels({{"a", 1, {"a1"}}});
    reportDemand({{"b", 5, 0, 1s}, {"a/a2", 1, 0, 0s}});
    STRCMP_EQUAL("none", nextOrderText().c_str());
    STRCMP_EQUAL("", declinedItems().c_str());
    Duration expected{};
    for (const LoadingItem &loading : controller.status(now).loading) {
        expected = loading.item == "a/a2" ? loading.remaining : expected;
    }
    CHECK(expected > 500ms); // After the load from disk, which takes 600 ms.
    now += 600ms;
    report.busy = false;
    reportModels({{"a", 1, {"a1"}}, {"b", 1, {}}});
    STRCMP_EQUAL("load a/a2 @2", nextOrderText().c_str());
}

TEST(ModelController, loadIsOverdue_itsRemainingTimeGrowsWithTheElapsedTime)
{
    reportModels({});
    reportDemand({{"b", 1, 0, 0s}});
    noteOutcome(*controller.nextOrder(now), OrderAnswer::Accepted);
    report.sequence = 1;
    report.busy = true;
    const auto remaining = [&] {
        now += 2s;
        readReport();
        reportDemand({{"b", 1, 0, 0s}});
        nextOrderText();
        return controller.status(now).loading.front().remaining;
    };
    const Duration first = remaining();
    const Duration second = remaining();
    CHECK(first >= 200ms);
    CHECK(second > first);
}

TEST(ModelController, memoryIsFull_evictsTheModelThatIsUsedLeastAndReloadedFastest)
{
    reportModels({{"a", 1, {}}, {"b", 1, {}}});
    reportDemand({}, {{"a", 20}});
    now += 1s;
    reportDemand({}, {{"b", 1}});
    now += 1s;
    reportDemand({{"c", 1, 0, 0s}});
    STRCMP_EQUAL("unload b @0", nextOrderText().c_str());
    // A model without a local copy takes long to load again.
    start();
    reportModels({{"b", 1, {}}, {"d", 1, {}}});
    reportDemand({}, {{"d", 1}});
    now += 3s;
    reportDemand({}, {{"b", 1}});
    readReport();
    reportDemand({{"c", 1, 0, 0s}});
    STRCMP_EQUAL("unload b @0", nextOrderText().c_str());
}

TEST(ModelController, newModelIsUnused_isNotEvictedForASecond)
{
    reportModels({{"a", 1, {}}});
    reportModels({{"a", 1, {}}, {"b", 1, {}}});
    reportDemand({{"c", 1, 0, 0s}}, {{"a", 1}});
    STRCMP_EQUAL("none", nextOrderText().c_str());
    STRCMP_EQUAL("c ", declinedItems().c_str());
    now += 1100ms;
    readReport();
    reportDemand({{"c", 1, 0, 0s}}, {{"a", 1}});
    STRCMP_EQUAL("unload b @0", nextOrderText().c_str());
}

TEST(ModelController, ordersAreAccepted_nextOrderNeedsNoReportAndCountsTheirMemory)
{
    reportModels({{"a", 1, {}}});
    reportDemand({{"a/a1", 1, 0, 0s}, {"a/a2", 1, 0, 0s}, {"b", 1, 1, 0s}});
    auto order = controller.nextOrder(now);
    STRCMP_EQUAL("load a/a1 @0", describe(order).c_str());
    STRCMP_EQUAL("none", nextOrderText().c_str()); // No second order before the answer to the first.
    noteOutcome(*order, OrderAnswer::Accepted);
    order = controller.nextOrder(now);
    STRCMP_EQUAL("load a/a2 @1", describe(order).c_str());
    noteOutcome(*order, OrderAnswer::Accepted);
    order = controller.nextOrder(now);
    STRCMP_EQUAL("load b @2", describe(order).c_str());
    noteOutcome(*order, OrderAnswer::Accepted);
    STRCMP_EQUAL("none", nextOrderText().c_str());
    reportDemand({{"c", 1, 0, 0s}}, {{"a", 1}});
    STRCMP_EQUAL("none", nextOrderText().c_str());
    STRCMP_EQUAL("c ", declinedItems().c_str()); // b is being loaded and a is in use.
}

TEST(ModelController, unloadIsAccepted_memoryIsFreeOnlyAfterALaterReport)
{
    reportModels({{"a", 1, {}}, {"b", 1, {}}});
    const TimePoint before = now;
    reportDemand({{"c", 1, 0, 0s}}, {{"a", 1}});
    const auto unload = controller.nextOrder(now);
    now += 2ms;
    noteOutcome(*unload, OrderAnswer::Accepted);
    STRCMP_EQUAL("none", nextOrderText().c_str());
    TargetReport gone = report;
    gone.models = {{"a", 1, {}}};
    gone.sequence = 1;
    controller.noteReport(gone, before, now);
    STRCMP_EQUAL("none", nextOrderText().c_str());
    gone.busy = true;
    controller.noteReport(gone, now, now);
    STRCMP_EQUAL("none", nextOrderText().c_str());
    gone.busy = false;
    controller.noteReport(gone, now + 1ms, now + 1ms);
    STRCMP_EQUAL("load c @1", nextOrderText().c_str());
}

TEST(ModelController, orderOutcomes_nextOrderComesAfterTheRightReport)
{
    struct Row {
        OrderAnswer outcome;
        std::uint64_t reported;
        const char *atOnce;
        const char *afterReport;
    };
    const Row rows[] = {
        {OrderAnswer::InDoubt, 0, "none", "load b @0"}, // Has the same sequence, so only one of both takes effect.
        {OrderAnswer::InDoubt, 1, "none", "none"}, // The report shows that the target is carrying out the order.
        {OrderAnswer::AlreadyHolds, 0, "none", "load b @0"},
        {OrderAnswer::Conflict, 4, "none", "load b @4"},
        {OrderAnswer::Rejected, 0, "none", "none"},
        {OrderAnswer::Fenced, 0, "none", "none"},
    };
    for (const Row &row : rows) {
        start();
        reportModels({});
        reportDemand({{"b", 1, 0, 0s}});
        const auto order = controller.nextOrder(now);
        now += 2ms;
        noteOutcome(*order, row.outcome);
        STRCMP_EQUAL(row.atOnce, nextOrderText().c_str());
        now += 20ms;
        TargetReport later = report;
        later.sequence = row.reported;
        later.busy = row.reported == 1;
        controller.noteReport(later, now, now);
        STRCMP_EQUAL(row.afterReport, nextOrderText().c_str());
        CHECK_EQUAL(row.outcome != OrderAnswer::Fenced, controller.status(now).ordering);
        controller.setFence(7);
        CHECK_EQUAL(row.outcome != OrderAnswer::Fenced, controller.status(now).ordering);
        controller.setFence(8);
        CHECK(controller.status(now).ordering);
    }
}

TEST(ModelController, targetIsUnreachable_noOrders)
{
    reportModels({});
    reportDemand({{"b", 1, 0, 0s}});
    controller.noteUnreachable(now);
    STRCMP_EQUAL("none", nextOrderText().c_str());
    CHECK(controller.nextReportAt(now) == now + 250ms);
    now += 500ms;
    readReport();
    STRCMP_EQUAL("load b @0", nextOrderText().c_str());
}

TEST(ModelController, targetLeaves_noOrdersUntilALaterLifetime)
{
    reportModels({});
    reportDemand({{"b", 1, 0, 0s}});
    report.leaving = true;
    readReport();
    STRCMP_EQUAL("none", nextOrderText().c_str());
    CHECK(controller.status(now).leaving);
    report.leaving = false; // A report that lacks the field does not end the leaving.
    readReport();
    STRCMP_EQUAL("none", nextOrderText().c_str());
    CHECK(controller.status(now).leaving);
    report.bornMs += 1000;
    readReport();
    STRCMP_EQUAL("load b @0", nextOrderText().c_str());
    CHECK_FALSE(controller.status(now).leaving);
}

TEST(ModelController, targetWithoutStartTimeLeaves_noOrdersWhileItSaysSo)
{
    report.bornMs = 0;
    report.leaving = true;
    reportModels({});
    reportDemand({{"b", 1, 0, 0s}});
    STRCMP_EQUAL("none", nextOrderText().c_str());
    report.leaving = false;
    readReport();
    STRCMP_EQUAL("load b @0", nextOrderText().c_str());
}

TEST(ModelController, reportIsOld_noOrders)
{
    reportModels({});
    now += 3s;
    reportDemand({{"b", 1, 0, 0s}});
    STRCMP_EQUAL("none", nextOrderText().c_str());
    CHECK(controller.nextReportAt(now) == now);
    readReport();
    STRCMP_EQUAL("load b @0", nextOrderText().c_str());
}

TEST(ModelController, orderToAnEarlierLifetimeIsInDoubt_itsMemoryStaysReserved)
{
    report.sequence = 5;
    reportModels({});
    reportDemand({{"a", 1, 0, 0s}});
    const auto late = controller.nextOrder(now);
    STRCMP_EQUAL("load a @5", describe(late).c_str());
    noteOutcome(*late, OrderAnswer::InDoubt);
    report.sequence = 0;
    report.bornMs += 1000;
    now += 1s;
    reportModels({{"b", 1, {}}});
    reportDemand({{"c", 1, 0, 0s}}, {{"b", 1}});
    STRCMP_EQUAL("none", nextOrderText().c_str()); // 40 MB are resident and 40 MB reserved.
    STRCMP_EQUAL("c ", declinedItems().c_str());
    now += 15s;
    readReport();
    reportDemand({{"c", 1, 0, 0s}}, {{"b", 1}});
    STRCMP_EQUAL("load c @0", nextOrderText().c_str());
}

TEST(ModelController, agentRestarts_reservesMemoryForOneOrderOfItsPredecessor)
{
    struct Row {
        std::int64_t age; // Age of the target's lifetime in ms.
        const char *wanted;
        const char *order;
    };
    const Row rows[] = {
        {3'600'000, "big", "load big @3"}, // Has the same sequence as any order of the predecessor.
        {5'000, "big", "none"}, // An order of the predecessor may still load 90 MB.
        {5'000, "a", "none"},
        {-1'000, "a", "none"},
    };
    for (const Row &row : rows) {
        start(false);
        report.sequence = 3;
        report.bornMs = 1'000'000 - row.age;
        reportModels({});
        reportDemand({{row.wanted, 1, 0, 0s}});
        STRCMP_EQUAL(row.order, nextOrderText().c_str());
    }
    now += 16s;
    readReport();
    reportDemand({{"big", 1, 0, 0s}});
    STRCMP_EQUAL("load big @3", nextOrderText().c_str());
}

TEST(ModelController, foreignOrderIsRunning_noOrdersUntilItHasEnded)
{
    start(false);
    report.busy = true;
    reportModels({{"a", 1, {}}});
    reportDemand({{"a/a1", 1, 0, 0s}});
    STRCMP_EQUAL("none", nextOrderText().c_str());
    report.busy = false;
    reportModels({{"a", 1, {}}, {"b", 1, {}}});
    STRCMP_EQUAL("load a/a1 @0", nextOrderText().c_str());
}

TEST(ModelController, foreignOrderIsRunning_waitingModelIsExpectedAfterItsUsualTime)
{
    start(false);
    readReport();
    now += 1s;
    report.sequence = 1;
    report.busy = true;
    readReport();
    reportDemand({{"a", 1, 0, 0s}});
    nextOrderText();
    const std::vector<LoadingItem> loading = controller.status(now).loading;
    CHECK_EQUAL(1, loading.size());
    CHECK(loading.front().remaining <= 22s);
}

TEST(ModelController, storeLoads_needTheNumberOfTargetsAndAWindowAfterARestart)
{
    for (const bool firstStart : {true, false}) {
        now = TimePoint(100s);
        start(firstStart);
        reportModels({});
        controller.noteUsage("e1", {0, {}, {{"d", 1, 0, 0s}}}, now);
        STRCMP_EQUAL("none", nextOrderText().c_str());
        STRCMP_EQUAL("d ", declinedItems().c_str());
        controller.noteUsage("e1", {7, {}, {{"d", 1, 0, 0s}}}, now);
        STRCMP_EQUAL(firstStart ? "load d @0" : "none", nextOrderText().c_str());
        now += 5001ms;
        readReport();
        controller.noteUsage("e1", {7, {}, {{"d", 1, 0, 0s}}}, now);
        STRCMP_EQUAL(firstStart ? "none" : "load d @0", nextOrderText().c_str());
    }
}

TEST(ModelController, entriesAreSilent_waitingCallsExpireBeforeRunningCalls)
{
    reportModels({{"a", 1, {}}, {"b", 1, {}}});
    reportDemand({{"c", 1, 0, 0s}}, {{"a", 1}, {"b", 1}}, "e1");
    now += 1100ms;
    readReport();
    STRCMP_EQUAL("none", nextOrderText().c_str());
    STRCMP_EQUAL("", declinedItems().c_str());
    reportDemand({{"c", 1, 0, 0s}}, {}, "e2");
    STRCMP_EQUAL("none", nextOrderText().c_str());
    STRCMP_EQUAL("c ", declinedItems().c_str());
    now += 4200ms;
    readReport();
    reportDemand({{"c", 1, 0, 0s}}, {}, "e2");
    STRCMP_EQUAL("unload a @0", nextOrderText().c_str());
}

TEST(ModelController, reports_areReadMoreOftenDuringActivity)
{
    CHECK(controller.nextReportAt(now) == now); // No report has been read.
    reportModels({});
    nextOrderText();
    CHECK(controller.nextReportAt(now) == now + 1s);
    reportDemand({{"unknown", 1, 0, 0s}});
    nextOrderText();
    CHECK(controller.nextReportAt(now) == now + 150ms);
    reportDemand({{"b", 1, 0, 0s}});
    const auto order = controller.nextOrder(now);
    noteOutcome(*order, OrderAnswer::Accepted);
    CHECK(controller.nextReportAt(now) == now + 50ms);
    report.busy = true;
    report.sequence = 1;
    now += 580ms;
    readReport();
    CHECK(controller.nextReportAt(now) == now + 5ms);
}

TEST(ModelController, stateVersion_changesWithTheStateThatEntriesUse)
{
    auto changed = [this, last = std::uint64_t{0}]() mutable {
        nextOrderText();
        const bool result = controller.stateVersion() != last;
        last = controller.stateVersion();
        return result;
    };
    reportModels({{"a", 1, {}}});
    CHECK(changed());
    report.active = 3;
    readReport();
    CHECK_FALSE(changed());
    reportDemand({{"b", 1, 0, 0s}});
    CHECK(changed()); // b is listed as expected.
    const TargetStatus status = controller.status(now);
    LONGS_EQUAL(1, status.loading.size());
    STRCMP_EQUAL("b", status.loading[0].item.c_str());
    CHECK(status.loading[0].remaining == 600ms);
    now += 50ms;
    CHECK_FALSE(changed());
    reportDemand({{"unknown", 1, 0, 0s}});
    CHECK(changed()); // The unknown model is listed as declined.
    controller.noteUnreachable(now);
    CHECK(changed());
    CHECK_FALSE(changed());
    report.leaving = true;
    readReport();
    controller.noteUnreachable(now);
    CHECK(changed());
}

TEST(ModelController, prefetchIsEnabled_loadsAFrequentlyUsedModelThatFits)
{
    for (const bool asked : {false, true}) {
        start(true, asked);
        reportModels({{"a", 1, {}}});
        for (int i = 0; i < 10; ++i) {
            reportDemand({}, {{"b", 2}});
            now += 500ms;
        }
        reportDemand({});
        readReport();
        STRCMP_EQUAL(asked ? "load b @0" : "none", nextOrderText().c_str());
    }
}

TEST(ModelController, modelIsLargerThanTheTarget_noMemoryIsReservedForIt)
{
    spec.models.push_back({"giant", 110, 6s, 900ms, 500ms, 0, 1});
    report.bornMs = 1'000'000 - 1'000;
    start(false);
    reportModels({});
    reportDemand({{"a", 1, 0, 0s}, {"giant", 1, 0, 0s}});
    // An order of an earlier agent may still load the largest model that fits, which takes 90 of 100 MB.
    STRCMP_EQUAL("none", nextOrderText().c_str());
    std::erase_if(spec.models, [](const EngineModel &model) { return model.name == "big"; });
    start(false);
    reportModels({});
    reportDemand({{"a", 1, 0, 0s}, {"giant", 1, 0, 0s}});
    STRCMP_EQUAL("load a @0", nextOrderText().c_str());
    STRCMP_EQUAL("giant ", declinedItems().c_str());
}

TEST_GROUP(StoreLoadShare){};

TEST(StoreLoadShare, loadsAreLimitedByTurns_waitEndsWhenALoadIsPermitted)
{
    ServingBounds bounds;
    for (const std::uint32_t targets : {1U, 2U, 9U, 40U, 200U, 11000U}) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            StoreLoadShare share(seed * 0x9E3779B97F4A7C15U);
            share.setLimits(1, bounds);
            share.noteTargets(targets, TimePoint(100s));
            TimePoint now(100s);
            if (seed % 2 == 0) {
                share.noteUnobservedUntil(now);
            }
            for (int i = 0; i < 20; ++i) {
                now += 777ms;
                const Duration wait = share.timeUntilTurn(now);
                const bool counts = targets <= 7; // The limit is 1 * 5 * 1.1 + 2 loads in a window.
                CHECK(!counts || wait == Duration::zero());
                CHECK(counts || share.permits(now + wait, 0));
                CHECK(counts || wait == Duration::zero() || !share.permits(now + wait - 2ms, 0));
                if (share.permits(now, 0)) {
                    CHECK(wait == Duration::zero());
                    share.noteLoadStarted(now);
                }
            }
        }
    }
}

TEST(StoreLoadShare, allTargetsAlwaysLoad_totalStaysBelowTheLimit)
{
    struct Row {
        std::uint32_t targets;
        double rate;
        double leastUse; // Part of the rate that must be used at least.
    };
    const Row rows[] = {{2, 1.6, 0.6}, {9, 1.6, 0.9}, {18, 4.2, 0.8}, {40, 1.6, 0.2}, {300, 16, 0.5}, {2000, 200, 0.6}};
    for (const Row &row : rows) {
        ServingBounds bounds;
        const double limit = row.rate * 5 * 1.1 + 3;
        std::vector<StoreLoadShare> shares;
        std::mt19937_64 random(row.targets);
        for (std::uint32_t i = 0; i < row.targets; ++i) {
            shares.emplace_back(random());
            shares.back().setLimits(row.rate, bounds);
            shares.back().noteTargets(row.targets, TimePoint(1s));
        }
        std::deque<TimePoint> window;
        std::size_t total = 0;
        std::size_t most = 0;
        const TimePoint end = TimePoint(300s);
        for (TimePoint now = TimePoint(1s); now < end; now += 100ms) {
            for (StoreLoadShare &share : shares) {
                if (share.permits(now, 0)) {
                    share.noteLoadStarted(now);
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

TEST(StoreLoadShare, limitsAreLowered_applyToEarlierLoadsToo)
{
    ServingBounds bounds;
    StoreLoadShare share(1);
    share.setLimits(2, bounds);
    share.noteTargets(1, TimePoint(1s));
    const auto loads = [&share](TimePoint now) {
        int count = 0;
        for (; share.permits(now, 0); ++count) {
            share.noteLoadStarted(now);
        }
        return count;
    };
    CHECK_EQUAL(13, loads(TimePoint(10s)));
    bounds.loadWindow = 10s;
    bounds.loadOverage = 0.5;
    share.setLimits(2, bounds);
    CHECK_EQUAL(0, loads(TimePoint(19s)));
    CHECK_EQUAL(12, loads(TimePoint(21s)));
}

TEST(StoreLoadShare, ratesAreRead_followTheDivisionAndTheLoads)
{
    ServingBounds bounds;
    bounds.loadWindow = 10s;
    bounds.loadOverage = 1;
    StoreLoadShare share(1);
    share.setLimits(2, bounds); // 22 loads in a window
    CHECK_EQUAL(0, share.grantedRate(TimePoint(20s)));
    share.noteTargets(4, TimePoint(20s));
    DOUBLES_EQUAL(0.5, share.grantedRate(TimePoint(20s)), 1e-9);
    share.noteLoadStarted(TimePoint(21s));
    share.noteLoadStarted(TimePoint(22s));
    DOUBLES_EQUAL(0.2, share.usedRate(TimePoint(23s)), 1e-9);
    DOUBLES_EQUAL(0.1, share.usedRate(TimePoint(31500ms)), 1e-9);
    share.noteJoined(TimePoint(40s));
    CHECK_EQUAL(0, share.grantedRate(TimePoint(52s)));
    CHECK(share.grantedRate(TimePoint(53s)) > 0);
    share.noteTargets(44, TimePoint(60s));
    CHECK(share.grantedRate(TimePoint(120s)) > 0);
    CHECK(share.grantedRate(TimePoint(120s)) < 2.2 / 44);
}

// The limit is nine loads in a window. The loads of a target that left still count in the window, so the others may use
// its share only afterwards.
TEST(StoreLoadShare, targetsJoinAndLeave_totalStaysBelowTheLimit)
{
    const ServingBounds bounds;
    const double rate = 7 / (5 * bounds.loadOverage);
    std::vector<StoreLoadShare> shares;
    std::vector<TimePoint> began;
    for (std::uint64_t i = 0; i < 3; ++i) {
        shares.emplace_back(i);
        shares.back().setLimits(rate, bounds);
    }
    const auto run = [&](const std::vector<std::size_t> &present, TimePoint from, TimePoint end) {
        for (TimePoint now = from; now < end; now += 50ms) {
            for (const std::size_t i : present) {
                shares[i].noteTargets(static_cast<std::uint32_t>(present.size()), now);
                if (shares[i].permits(now, 0)) {
                    shares[i].noteLoadStarted(now);
                    began.push_back(now);
                }
            }
            const auto recent = std::count_if(began.begin(), began.end(), [&](TimePoint time) {
                return now - time < bounds.loadWindow;
            });
            CHECK(recent <= 9);
        }
    };
    run({0, 1, 2}, TimePoint(10s), TimePoint(21s));
    run({0, 1}, TimePoint(21s), TimePoint(40s));
    const std::size_t before = began.size();
    run({0, 1}, TimePoint(40s), TimePoint(60s));
    CHECK(began.size() - before >= 32U); // The share of the target that left is used.
    shares[2].noteJoined(TimePoint(60s));
    run({0, 1, 2}, TimePoint(60s), TimePoint(80s));
    CHECK(began.back() > TimePoint(70s));
}
