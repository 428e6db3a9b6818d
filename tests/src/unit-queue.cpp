#include <celeryroute/detail/queue/admissionqueue.h>

#include <iostream>
#include <queuesimulation.h>
#include <random>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

TEST_GROUP(AdmissionQueue)
{
    TimePoint now{};

    QueueEntry entry(const std::string &id, const std::string &customer = "yard", std::uint64_t tokens = 10)
    {
        QueueEntry result;
        result.attemptId = id;
        result.customer = customer;
        result.tokens = tokens;
        result.bytes = 100;
        result.deadline = now + 60s;
        result.serviceTime = 1s;
        return result;
    }
    static QueueLimits limits(std::size_t running, std::size_t queued = 100)
    {
        QueueLimits result;
        result.maxRunning = running;
        result.maxQueued = queued;
        return result;
    }
    void submitAll(AdmissionQueue & queue, const std::vector<QueueEntry> &entries)
    {
        for (const QueueEntry &each : entries) {
            CHECK(queue.submit(each, now).empty());
        }
    }
    // Runs one entry at a time and returns the attempt ids in order of their starts.
    std::string startOrder(AdmissionQueue & queue)
    {
        std::string order;
        while (const auto started = queue.start(now).started) {
            order += (order.empty() ? "" : " ") + started->attemptId;
            queue.finish(started->attemptId, started->tokens);
        }
        return order;
    }
};

TEST(AdmissionQueue, mixedClasses_mostUrgentStartsFirst)
{
    AdmissionQueue queue(limits(1));
    QueueEntry bulk = entry("bulk");
    bulk.urgency = Urgency::Bulk;
    QueueEntry interactive = entry("interactive");
    interactive.urgency = Urgency::Interactive;
    submitAll(queue, {bulk, entry("standard"), interactive});
    STRCMP_EQUAL("interactive standard bulk", startOrder(queue).c_str());
}

TEST(AdmissionQueue, oneCustomer_earliestDeadlineStartsFirst)
{
    AdmissionQueue queue(limits(1));
    QueueEntry early = entry("early");
    early.deadline = now + 30s;
    submitAll(queue, {entry("late"), early});
    STRCMP_EQUAL("early late", startOrder(queue).c_str());
}

TEST(AdmissionQueue, twoCustomers_shareTokensByWeight)
{
    AdmissionQueue queue(limits(1));
    for (int i = 0; i < 30; ++i) {
        QueueEntry heavy = entry("h" + std::to_string(i), "hotel", 20);
        heavy.weight = 2.0;
        submitAll(queue, {heavy, entry("y" + std::to_string(i), "yard", 10)});
    }
    int hotel = 0;
    for (int i = 0; i < 20; ++i) {
        const auto started = queue.start(now).started;
        hotel += started->customer == "hotel" ? 1 : 0;
        queue.finish(started->attemptId, started->tokens);
    }
    LONGS_EQUAL(10, hotel); // 20 tokens at weight 2 cost as much as 10 tokens at weight 1.
}

TEST(AdmissionQueue, lowerClassWaits_getsItsGuaranteedShare)
{
    AdmissionQueue queue(limits(1, 1000));
    QueueEntry bulk = entry("bulk");
    bulk.urgency = Urgency::Bulk;
    submitAll(queue, {bulk});
    const int bound = static_cast<int>(1.0 / limits(1).guaranteedShare[urgencyIndex(Urgency::Bulk)]) + 1;
    int startsBefore = 0;
    for (;; ++startsBefore) {
        QueueEntry urgent = entry("u" + std::to_string(startsBefore));
        urgent.urgency = Urgency::Interactive;
        submitAll(queue, {urgent});
        const auto started = queue.start(now).started;
        queue.finish(started->attemptId, started->tokens);
        if (started->attemptId == "bulk") {
            break;
        }
        CHECK(startsBefore <= bound);
    }
    CHECK(startsBefore >= bound / 2);
}

TEST(AdmissionQueue, deadlineBeforeServiceCanEnd_refusesAtOnce)
{
    AdmissionQueue queue(limits(1));
    QueueEntry hopeless = entry("hopeless");
    hopeless.deadline = now + 500ms;
    const auto refused = queue.submit(hopeless, now);
    LONGS_EQUAL(1, refused.size());
    CHECK(refused[0].code == ResultCode::DeadlineUnreachable);
}

TEST(AdmissionQueue, backlogLongerThanDeadline_refusesAtOnceWithRetryAfter)
{
    AdmissionQueue queue(limits(1));
    for (int i = 0; i < 20; ++i) {
        submitAll(queue, {entry("e" + std::to_string(i))});
    }
    QueueEntry hasty = entry("hasty");
    hasty.urgency = Urgency::Bulk;
    hasty.deadline = now + 10s;
    const auto refused = queue.submit(hasty, now);
    LONGS_EQUAL(1, refused.size());
    CHECK(refused[0].code == ResultCode::DeadlineUnreachable);
    CHECK(refused[0].retryAfter == 20s);
}

TEST(AdmissionQueue, deadlinePassedWhileWaiting_refusesAtOnce)
{
    AdmissionQueue queue(limits(1));
    QueueEntry running = entry("running");
    running.serviceTime = 5s;
    submitAll(queue, {running});
    CHECK(queue.start(now).started.has_value());
    QueueEntry waiting = entry("waiting");
    waiting.deadline = now + 8s;
    submitAll(queue, {waiting});
    CHECK(queue.expire(now + 5s).empty());
    CHECK(queue.nextExpiry() == now + 7s);
    const auto refused = queue.expire(now + 7s + 1ms);
    LONGS_EQUAL(1, refused.size());
    STRCMP_EQUAL("waiting", refused[0].entry.attemptId.c_str());
    CHECK(refused[0].code == ResultCode::DeadlineUnreachable);
    LONGS_EQUAL(0, queue.waiting());
}

TEST(AdmissionQueue, coldModel_entriesDoNotBlockOthersAndStartOnceReady)
{
    AdmissionQueue queue(limits(1));
    QueueEntry cold = entry("cold");
    cold.model = "assay";
    cold.urgency = Urgency::Interactive;
    submitAll(queue, {cold, entry("plain")});
    STRCMP_EQUAL("plain", startOrder(queue).c_str());
    LONGS_EQUAL(1, queue.modelDemands().size());
    STRCMP_EQUAL("assay", queue.modelDemands()[0].model.c_str());
    queue.setModelReady("assay");
    LONGS_EQUAL(0, queue.modelDemands().size());
    STRCMP_EQUAL("cold", startOrder(queue).c_str());
}

TEST(AdmissionQueue, loadTakesLongerThanDeadline_refusesAtOnce)
{
    AdmissionQueue queue(limits(1));
    QueueEntry hasty = entry("hasty");
    hasty.model = "assay";
    hasty.deadline = now + 10s;
    QueueEntry patient = entry("patient");
    patient.model = "assay";
    submitAll(queue, {hasty, patient});
    const auto refused = queue.setModelLoading("assay", now + 20s, now);
    LONGS_EQUAL(1, refused.size());
    STRCMP_EQUAL("hasty", refused[0].entry.attemptId.c_str());
    hasty.attemptId = "second";
    LONGS_EQUAL(1, queue.submit(hasty, now).size());
    const auto failed = queue.refuseModel("assay", ResultCode::LoadFailed, now);
    LONGS_EQUAL(1, failed.size());
    CHECK(failed[0].code == ResultCode::LoadFailed);
}

TEST(AdmissionQueue, modelDemands_mostUrgentThenEarliestLatestStart)
{
    AdmissionQueue queue(limits(1));
    QueueEntry bulk = entry("a");
    bulk.model = "bulk-model";
    bulk.urgency = Urgency::Bulk;
    QueueEntry later = entry("b");
    later.model = "later";
    QueueEntry sooner = entry("c");
    sooner.model = "sooner";
    sooner.deadline = now + 30s;
    submitAll(queue, {bulk, later, sooner});
    const auto demands = queue.modelDemands();
    LONGS_EQUAL(3, demands.size());
    STRCMP_EQUAL("sooner", demands[0].model.c_str());
    STRCMP_EQUAL("later", demands[1].model.c_str());
    STRCMP_EQUAL("bulk-model", demands[2].model.c_str());
}

TEST(AdmissionQueue, queueFull_evictsNewestLeastUrgentOfTheLargestBacklog)
{
    AdmissionQueue queue(limits(1, 4));
    QueueEntry urgent = entry("urgent", "hotel", 50);
    urgent.urgency = Urgency::Interactive;
    submitAll(queue, {entry("h1", "hotel", 50), entry("h2", "hotel", 50), urgent, entry("y1", "yard", 10)});
    const auto refused = queue.submit(entry("y2", "yard", 10), now);
    LONGS_EQUAL(1, refused.size());
    STRCMP_EQUAL("h2", refused[0].entry.attemptId.c_str());
    CHECK(refused[0].code == ResultCode::QueueFull);
    LONGS_EQUAL(4, queue.waiting());
}

TEST(AdmissionQueue, bytesBeyondBound_evictsUntilWithin)
{
    QueueLimits small = limits(1);
    small.maxBytes = 250;
    AdmissionQueue queue(small);
    submitAll(queue, {entry("a"), entry("b")});
    LONGS_EQUAL(1, queue.submit(entry("c"), now).size());
    LONGS_EQUAL(200, queue.waitingBytes());
    QueueEntry huge = entry("huge", "hotel");
    huge.bytes = 251;
    STRCMP_EQUAL("huge", queue.submit(huge, now)[0].entry.attemptId.c_str());
    LONGS_EQUAL(2, queue.waiting());
}

TEST(AdmissionQueue, suspect_runsAlone)
{
    AdmissionQueue queue(limits(4));
    QueueEntry suspect = entry("suspect");
    suspect.deadline = now + 30s;
    submitAll(queue, {entry("first")});
    CHECK(queue.start(now).started.has_value());
    submitAll(queue, {suspect, entry("last")});
    queue.markSuspect("suspect");
    CHECK_FALSE(queue.start(now).started.has_value());
    queue.finish("first", 10);
    STRCMP_EQUAL("suspect", queue.start(now).started->attemptId.c_str());
    CHECK_FALSE(queue.start(now).started.has_value());
    queue.finish("suspect", 10);
    STRCMP_EQUAL("last", queue.start(now).started->attemptId.c_str());
}

TEST(AdmissionQueue, repeatedAttempt_hasNoEffect)
{
    AdmissionQueue queue(limits(1));
    submitAll(queue, {entry("a"), entry("a")});
    LONGS_EQUAL(1, queue.waiting());
    CHECK(queue.start(now).started.has_value());
    submitAll(queue, {entry("a")});
    LONGS_EQUAL(0, queue.waiting());
}

TEST(AdmissionQueue, randomSchedules_everyEntryLeavesExactlyOnceAndBoundsHold)
{
    constexpr std::uint64_t Seeds = 200;
    std::size_t steps = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        std::mt19937_64 random(seed);
        const auto below = [&random](std::uint64_t bound) { return random() % bound; };
        QueueLimits bounds = limits(3, 20);
        bounds.maxBytes = 3000;
        AdmissionQueue queue(bounds);
        std::set<std::string> inside;
        std::vector<QueueEntry> running;
        TimePoint time{};
        const auto leave = [&inside](const QueueEntry &left) { LONGS_EQUAL(1, inside.erase(left.attemptId)); };
        const auto refuseEach = [&leave](const std::vector<RefusedEntry> &refused) {
            for (const RefusedEntry &each : refused) {
                CHECK(each.code != ResultCode::Ok);
                leave(each.entry);
            }
        };
        for (int step = 0; step < 400; ++step, ++steps) {
            time += std::chrono::milliseconds(below(400));
            const std::string model = std::array<std::string, 3>{"", "assay", "oak"}[below(3)];
            switch (below(10)) {
            case 0:
                refuseEach(queue.setModelLoading(model, time + std::chrono::seconds(below(10)), time));
                break;
            case 1:
                queue.setModelReady(model);
                break;
            case 2:
                queue.setModelAbsent(model);
                break;
            case 3:
                if (!inside.empty()) {
                    const auto cancelled = queue.cancel(*inside.begin());
                    CHECK(cancelled.has_value());
                    leave(*cancelled);
                }
                break;
            case 4:
            case 5:
                if (!running.empty()) {
                    queue.finish(running.back().attemptId, below(50));
                    running.pop_back();
                }
                break;
            default: {
                now = time;
                QueueEntry next = entry(std::to_string(step), std::to_string(below(4)), 1 + below(40));
                next.model = model;
                next.urgency = AllUrgencies[below(3)];
                next.bytes = 50 + below(300);
                next.deadline = time + std::chrono::seconds(below(20));
                next.suspect = below(20) == 0;
                inside.insert(next.attemptId);
                refuseEach(queue.submit(next, time));
            }
            }
            const StartDecision decision = queue.start(time);
            refuseEach(decision.refused);
            if (decision.started) {
                CHECK(decision.started->deadline - decision.started->serviceTime >= time);
                leave(*decision.started);
                const bool alone = running.empty();
                CHECK(!decision.started->suspect || alone);
                CHECK(alone || !running.back().suspect);
                running.push_back(*decision.started);
            }
            LONGS_EQUAL(inside.size(), queue.waiting());
            LONGS_EQUAL(running.size(), queue.running());
            CHECK(queue.waiting() <= 20 && queue.waitingBytes() <= 3000);
        }
        refuseEach(queue.refuseAll(ResultCode::Stopping, time));
        CHECK(inside.empty());
        LONGS_EQUAL(0, queue.waitingTokens());
    }
    std::cout << "queue schedules: seeds 1.." << Seeds << ", " << steps << " steps\n";
}

TEST(AdmissionQueue, customerAtFourTimesItsRate_raisesOthersP99ByLessThanATenth)
{
    const std::vector<simulation::CustomerLoad> usual = {{"a", 0.2}, {"b", 0.2}, {"c", 0.2}, {"d", 0.2}};
    std::vector<simulation::CustomerLoad> excessive = usual;
    excessive[0].load = 0.8;
    const auto simulate = [](const std::vector<simulation::CustomerLoad> &loads) {
        return simulation::simulateQueue<AdmissionQueue>(loads, limits(16, 256), 2h, 30s, 11);
    };
    const simulation::QueueOutcome before = simulate(usual);
    const simulation::QueueOutcome after = simulate(excessive);
    for (const std::string other : {"b", "c", "d"}) {
        const double ratio = after.percentile(other, 0.99) / before.percentile(other, 0.99);
        std::cout << "queue seed 11: p99 of " << other << " moved by a factor " << ratio << "\n";
        CHECK(ratio < 1.1);
        LONGS_EQUAL(0, after.refused.contains(other) ? 1 : 0);
    }
}
