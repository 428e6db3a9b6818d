#include <celeryroute/detail/residency/loadcontroller.h>
#include <celeryroute/detail/residency/memoryledger.h>

#include "residencysimulation.h"

#include <iostream>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

TEST_GROUP(MemoryLedger)
{
    MemoryLedger ledger{100};
};

TEST(MemoryLedger, reservationThatDoesNotFit_isRefusedAndChangesNothing)
{
    CHECK(ledger.reserve("a", LedgerItem{ItemPhase::Loading, 60, 1, 1}));
    const MemoryLedger before = ledger;
    CHECK_FALSE(ledger.reserve("b", LedgerItem{ItemPhase::Loading, 41, 1, 1}));
    CHECK(ledger == before);
}

TEST(MemoryLedger, orderInDoubt_keepsItsMemoryUntilConfirmedAbsent)
{
    ledger.reserve("a", LedgerItem{ItemPhase::Loading, 60, 1, 1});
    ledger.markUnknown("a");
    CHECK_EQUAL(40U, ledger.freeMb());
    ledger.confirmAbsent("a");
    CHECK_EQUAL(100U, ledger.freeMb());
}

TEST(MemoryLedger, reportedItemsLargerThanTheCapacity_leaveNothingFree)
{
    ledger.setReported("a", LedgerItem{ItemPhase::Resident, 150, 1, 1});
    CHECK_EQUAL(0U, ledger.freeMb());
    CHECK_FALSE(ledger.reserve("b", LedgerItem{ItemPhase::Loading, 1, 1, 1}));
}

TEST_GROUP(LoadController)
{
    TimePoint now{1h};
    GrantTable grants{{"m1", {10, 40, 1, false, false}},
                      {"m1/a", {11, 5, 1, false, false}},
                      {"m2", {12, 70, 1, false, false}},
                      {"m3", {13, 30, 1, false, false}}};
    LoadControllerSettings settings = makeSettings();
    LoadController controller{settings, now};

    static LoadControllerSettings makeSettings()
    {
        LoadControllerSettings result;
        result.capacityMb = 100;
        return result;
    }

    void setup() override
    {
        setGrants();
        now += settings.orderSettleTime;
        controller.step(now);
        controller.onInventory(EngineInventory{100, {}}, now, now);
    }

    void setGrants()
    {
        controller.updateGrants(std::make_shared<const GrantTable>(grants));
    }

    std::vector<ModelOrder> orders()
    {
        std::vector<ModelOrder> result;
        for (const ResidencyAction &action : controller.step(now)) {
            if (const auto *send = std::get_if<SendOrder>(&action)) {
                result.push_back(send->order);
            }
        }
        return result;
    }

    std::vector<std::string> outcomes()
    {
        std::vector<std::string> result;
        for (const ResidencyAction &action : controller.step(now)) {
            if (const auto *ready = std::get_if<ItemReady>(&action)) {
                result.push_back("ready " + ready->item);
            } else if (const auto *failed = std::get_if<ItemFailed>(&action)) {
                result.push_back("failed " + failed->item + " " + std::to_string(static_cast<int>(failed->error.code)));
            } else if (const auto *release = std::get_if<ReleaseGrant>(&action)) {
                result.push_back("release " + release->item);
            }
        }
        return result;
    }

    void load(const std::string &item)
    {
        CHECK(Readiness::Waiting == controller.demand(item, LoadDemand{}, now));
        const std::vector<ModelOrder> sent = orders();
        CHECK_EQUAL(1U, sent.size());
        CHECK(controller.confirmSend(sent[0], now));
        now += 100ms;
        controller.onOrderEnd(sent[0].id, OrderOutcome::Done, now);
        CHECK(outcomes() == std::vector<std::string>{"ready " + item});
    }
};

TEST(LoadController, manyDemandsForOneItem_sendOneOrder)
{
    for (int i = 0; i < 100; ++i) {
        CHECK(Readiness::Waiting == controller.demand("m1", LoadDemand{}, now));
    }
    const std::vector<ModelOrder> sent = orders();
    CHECK_EQUAL(1U, sent.size());
    CHECK_EQUAL(10U, sent[0].fencing);
    CHECK(orders().empty());
}

TEST(LoadController, adapterWithoutItsModel_loadsTheModelFirst)
{
    controller.demand("m1/a", LoadDemand{}, now);
    std::vector<ModelOrder> sent = orders();
    CHECK_EQUAL(1U, sent.size());
    STRCMP_EQUAL("m1", sent[0].item.c_str());
    controller.confirmSend(sent[0], now);
    controller.onOrderEnd(sent[0].id, OrderOutcome::Done, now);
    sent = orders();
    CHECK_EQUAL(1U, sent.size());
    STRCMP_EQUAL("m1/a", sent[0].item.c_str());
}

TEST(LoadController, demandWithoutGrant_isRefused)
{
    CHECK(Readiness::NotAuthorized == controller.demand("other", LoadDemand{}, now));
    grants["m1"].predecessor = true;
    setGrants();
    CHECK(Readiness::NotAuthorized == controller.demand("m1", LoadDemand{}, now));
}

TEST(LoadController, itemInUse_isNotEvicted)
{
    load("m1");
    controller.beginUse("m1", now);
    controller.demand("m2", LoadDemand{}, now);
    CHECK(orders().empty());
    controller.endUse("m1", now);
    const std::vector<ModelOrder> sent = orders();
    CHECK_EQUAL(1U, sent.size());
    CHECK(OrderKind::Unload == sent[0].kind);
}

TEST(LoadController, memoryIsNeeded_evictsTheItemWithTheLowestScore)
{
    load("m1");
    load("m3");
    controller.beginUse("m1", now);
    controller.endUse("m1", now);
    grants["m4"] = ItemGrant{20, 50, 1, false, false};
    setGrants();
    controller.demand("m4", LoadDemand{}, now);
    const std::vector<ModelOrder> sent = orders();
    CHECK_EQUAL(1U, sent.size());
    STRCMP_EQUAL("m3", sent[0].item.c_str());
}

TEST(LoadController, pauseBetweenDecisionAndSending_cancelsTheOrder)
{
    controller.demand("m1", LoadDemand{}, now);
    const std::vector<ModelOrder> sent = orders();
    now += settings.maxDecisionAge + 1ms;
    CHECK_FALSE(controller.confirmSend(sent[0], now));
    CHECK_EQUAL(0U, controller.ledger().usedMb());
    CHECK_EQUAL(1U, orders().size());
}

TEST(LoadController, revokedBetweenDecisionAndSending_cancelsTheOrderAndRefuses)
{
    controller.demand("m1", LoadDemand{}, now);
    const std::vector<ModelOrder> sent = orders();
    grants["m1"].revoked = true;
    setGrants();
    CHECK_FALSE(controller.confirmSend(sent[0], now));
    CHECK((outcomes() == std::vector<std::string>{"release m1", "failed m1 510"}));
}

TEST(LoadController, revokedWhileInUse_finishesThenUnloadsThenReleases)
{
    load("m1");
    controller.beginUse("m1", now);
    grants["m1"].revoked = true;
    setGrants();
    CHECK(Readiness::NotAuthorized == controller.demand("m1", LoadDemand{}, now));
    CHECK(orders().empty());
    controller.endUse("m1", now);
    const std::vector<ModelOrder> sent = orders();
    CHECK_EQUAL(1U, sent.size());
    CHECK(controller.confirmSend(sent[0], now));
    CHECK(outcomes().empty());
    controller.onOrderEnd(sent[0].id, OrderOutcome::Done, now);
    CHECK(outcomes() == std::vector<std::string>{"release m1"});
    CHECK(outcomes().empty());
}

TEST(LoadController, lostAnswerOfALoadThatTookEffect_isReadyAfterTheNextInventory)
{
    controller.demand("m1", LoadDemand{}, now);
    const std::vector<ModelOrder> sent = orders();
    controller.confirmSend(sent[0], now);
    controller.onOrderEnd(sent[0].id, OrderOutcome::InDoubt, now);
    CHECK_EQUAL(60U, controller.ledger().freeMb());
    now += 150ms;
    controller.step(now);
    controller.onInventory(EngineInventory{100, {{"m1", 40, 1, 10, ItemPhase::Resident}}}, now, now);
    CHECK(outcomes() == std::vector<std::string>{"ready m1"});
}

TEST(LoadController, lostAnswerOfALoadThatDidNotArrive_isOrderedAgainOnlyAfterItCannotTakeEffect)
{
    controller.demand("m1", LoadDemand{}, now);
    const std::vector<ModelOrder> sent = orders();
    controller.confirmSend(sent[0], now);
    controller.onOrderEnd(sent[0].id, OrderOutcome::InDoubt, now);
    controller.onInventory(EngineInventory{100, {}}, now, now);
    CHECK(orders().empty());
    now += settings.orderSettleTime;
    controller.onInventory(EngineInventory{100, {}}, now, now);
    CHECK_EQUAL(1U, orders().size());
}

TEST(LoadController, startDuringALoadOfThePredecessor_countsItsMemoryAndWaits)
{
    controller = LoadController{settings, now};
    setGrants();
    controller.demand("m2", LoadDemand{}, now);
    controller.onInventory(EngineInventory{100, {{"m1", 40, 1, 9, ItemPhase::Loading}}}, now, now);
    CHECK(orders().empty());
    CHECK_EQUAL(60U, controller.ledger().freeMb());
    now += settings.orderSettleTime;
    controller.onInventory(EngineInventory{100, {{"m1", 40, 1, 9, ItemPhase::Resident}}}, now, now);
    const std::vector<ModelOrder> sent = orders();
    CHECK_EQUAL(1U, sent.size());
    CHECK(OrderKind::Unload == sent[0].kind);
}

TEST(LoadController, newVersion_reloadsTheItemAfterItsLastUse)
{
    load("m1");
    controller.beginUse("m1", now);
    grants["m1"].version = 2;
    setGrants();
    CHECK(Readiness::Waiting == controller.demand("m1", LoadDemand{}, now));
    CHECK(orders().empty());
    controller.endUse("m1", now);
    std::vector<ModelOrder> sent = orders();
    CHECK(OrderKind::Unload == sent.at(0).kind);
    controller.confirmSend(sent[0], now);
    controller.onOrderEnd(sent[0].id, OrderOutcome::Done, now);
    sent = orders();
    CHECK(OrderKind::Load == sent.at(0).kind);
    CHECK_EQUAL(2U, sent[0].version);
}

TEST(LoadController, storeFailsThreeTimes_refusesTheWaitingRequests)
{
    controller.demand("m1", LoadDemand{}, now);
    for (int attempt = 0; attempt < 3; ++attempt) {
        now += 10s;
        const std::vector<ModelOrder> sent = orders();
        CHECK_EQUAL(1U, sent.size());
        controller.confirmSend(sent[0], now);
        controller.onOrderEnd(sent[0].id, OrderOutcome::StoreFailed, now);
    }
    CHECK(outcomes() == std::vector<std::string>{"failed m1 508"});
    CHECK_EQUAL(0U, controller.ledger().usedMb());
}

TEST(LoadController, itemLargerThanTheTarget_isRefusedAtOnce)
{
    grants["huge"] = ItemGrant{30, 101, 1, false, false};
    setGrants();
    controller.demand("huge", LoadDemand{}, now);
    CHECK(outcomes() == std::vector<std::string>{"failed huge 509"});
}

TEST_GROUP(ResidencySchedules){
    static void run(test::ScheduleFaults faults, std::uint64_t firstSeed){constexpr std::uint64_t Schedules = 300;
constexpr int Steps = 1000;
std::size_t orders = 0;
std::size_t readyRequests = 0;
for (std::uint64_t seed = firstSeed; seed < firstSeed + Schedules; ++seed) {
    test::ResidencySimulation simulation(seed, faults);
    for (int step = 0; step < Steps; ++step) {
        const std::string violation = simulation.step();
        if (!violation.empty()) {
            FAIL(("seed " + std::to_string(seed) + " step " + std::to_string(step) + ": " + violation).c_str());
        }
    }
    if (!simulation.runUntilServed()) {
        FAIL(("seed " + std::to_string(seed) + ": a request is never served").c_str());
    }
    orders += simulation.ordersSent();
    readyRequests += simulation.readyRequests();
}
std::cout << "\nschedules " << Schedules << ", seeds " << firstSeed << ".." << firstSeed + Schedules - 1
          << ", steps each " << Steps << ", orders " << orders << ", requests served after a load " << readyRequests
          << std::endl;
CHECK(orders > Schedules);
CHECK(readyRequests > Schedules);
}
}
;

TEST(ResidencySchedules, engineThatChecksFencing_neverOvercommitsOrLoadsUnauthorized)
{
    run(test::ScheduleFaults{}, 1);
}

TEST(ResidencySchedules, engineThatIgnoresFencing_neverOvercommitsOrLoadsUnauthorized)
{
    test::ScheduleFaults faults;
    faults.engineChecksFencing = false;
    run(faults, 10'001);
}
