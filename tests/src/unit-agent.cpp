#include <celeryroute/detail/agent/agent.h>
#include <celeryroute/detail/agent/answermeter.h>
#include <celeryroute/detail/agent/chunklog.h>
#include <celeryroute/detail/state/fleetstate.h>
#include <celeryroute/detail/transport/transportcontext.h>

#include "agentclient.h"
#include "faketarget.h"

#include <absl/synchronization/mutex.h>
#include <records.pb.h>

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace celeryroute::test;
using namespace std::chrono_literals;

namespace {

constexpr Duration ProgressTimeout = 300ms;

std::string completeStream()
{
    std::string text;
    for (int number = 0; number < FakeTarget::EventsPerAnswer; ++number) {
        text += "data: {\"choices\":[{\"delta\":{\"content\":\"t" + std::to_string(number) + "\"}}]}\n\n";
    }
    return text + "data: [DONE]\n\n";
}

/// Returns a state with pool `p`, routes `chat` and `book`, and grants for models `m1` and `m2`.
std::shared_ptr<const FleetState> makeState(PoolKind kind, const std::string &incarnation)
{
    StateTables tables;
    tables.nextOffset = 10;
    PoolSpec pool;
    pool.name = "p";
    pool.kind = kind;
    pool.memoryMb = 100;
    pool.maxConcurrent = 2;
    pool.maxQueued = 100;
    pool.models = {ModelSpec{"m1", 60, 1, 1, {}}, ModelSpec{"m2", 60, 1, 1, {}}, ModelSpec{"m3", 60, 1, 1, {}}};
    tables.pools.edit()["p"] = {pool, 1};
    RouteSpec chat;
    chat.name = "chat";
    chat.pool = "p";
    chat.models = {"*"};
    chat.customers = {"dealer"};
    tables.routes.edit()["chat"] = {chat, 2};
    RouteSpec book = chat;
    book.name = "book";
    book.models = {};
    book.path = "/couriers";
    tables.routes.edit()["book"] = {book, 3};
    for (const std::string model : {"m1", "m2"}) {
        tables.authorities.insertOrAssign(authorityKey("p", model),
                                          Authority{"p", model, 5, {{"h1", incarnation, 5, false}}});
    }
    return std::make_shared<const FleetState>(tables);
}

} // namespace

TEST_GROUP(AgentBase)
{
    FakeTarget target;
    TransportContext context{CurveKeys{}};
    absl::Mutex mutex;
    std::shared_ptr<const FleetState> state = makeState(PoolKind::Engine, "h1#2");
    std::vector<proto::AuthorityItem> proposed;
    std::unique_ptr<Agent> agent;
    std::unique_ptr<AgentClient> entry;

    void start()
    {
        AgentSettings settings;
        settings.host = "h1";
        settings.domain = "d1";
        settings.incarnation = "h1#2";
        settings.pool = "p";
        settings.targetUrl = target.url();
        settings.progressTimeout = ProgressTimeout;
        settings.orderSettleTime = 50ms;
        AgentHooks hooks;
        hooks.state = [this] {
            absl::MutexLock lock(&mutex);
            return state;
        };
        hooks.submitAuthorityChange = [this](const proto::AuthorityChange &change) {
            absl::MutexLock lock(&mutex);
            proposed.insert(proposed.end(), change.items().begin(), change.items().end());
        };
        agent = std::make_unique<Agent>(settings, hooks, context);
        handleErrors([this] { return agent->start(); }, [](const Error &error) { FAIL(error.message.c_str()); });
        entry = std::make_unique<AgentClient>(context, agent->endpoint());
    }

    void setState(std::shared_ptr<const FleetState> value)
    {
        absl::MutexLock lock(&mutex);
        state = std::move(value);
    }

    std::vector<proto::AuthorityItem> waitForProposals(std::size_t count)
    {
        absl::MutexLock lock(&mutex);
        const auto enough = [this, count] { return proposed.size() >= count; };
        mutex.AwaitWithTimeout(absl::Condition(&enough), absl::Seconds(30));
        return proposed;
    }

    void teardown() override
    {
        entry.reset();
        agent.reset();
    }
};

TEST_GROUP_BASE(Agent, TEST_GROUP_CppUTestGroupAgentBase){void checkCompleteAnswer(const std::string &attemptId){
    const ReceivedAnswer &answer = entry->waitForAnswer(attemptId);
CHECK(answer.end.has_value());
CHECK_EQUAL(0U, answer.end->result_code());
CHECK(proto::RAN == answer.end->run());
CHECK_EQUAL(answer.chunks.size(), answer.end->chunks());
STRCMP_EQUAL(completeStream().c_str(), answer.body().c_str());
}

void checkRefused(const std::string &attemptId, ResultCode code, proto::RunReport run)
{
    const ReceivedAnswer &answer = entry->waitForAnswer(attemptId);
    CHECK(answer.end.has_value());
    CHECK_EQUAL(static_cast<unsigned>(code), answer.end->result_code());
    CHECK_EQUAL(static_cast<int>(run), static_cast<int>(answer.end->run()));
}
}
;

TEST(Agent, firstRequestsForAModel_loadItOnceAndAreAllAnswered)
{
    start();
    for (int i = 0; i < 8; ++i) {
        entry->submit(chatSubmit("a" + std::to_string(i)));
    }
    for (int i = 0; i < 8; ++i) {
        checkCompleteAnswer("a" + std::to_string(i));
    }
    CHECK(entry->answer("a0").end->cold());
    CHECK_EQUAL(9U, entry->answer("a0").end->tokens_used());
    CHECK_EQUAL(1U, target.received("/v1/orders/load").size());
}

// Regression test: a bulk call used to index past the end of the queue's priority classes and crash the agent.
TEST(Agent, callsOfEveryPriority_areAnswered)
{
    start();
    const std::vector<proto::Urgency> urgencies = {proto::INTERACTIVE,
                                                   proto::STANDARD,
                                                   proto::BULK,
                                                   proto::URGENCY_UNSPECIFIED};
    for (const proto::Urgency urgency : urgencies) {
        proto::SubmitRequest request = chatSubmit("u" + std::to_string(urgency));
        request.set_urgency(urgency);
        entry->submit(request);
    }
    for (const proto::Urgency urgency : urgencies) {
        checkCompleteAnswer("u" + std::to_string(urgency));
    }
}

TEST(Agent, callToAnEngine_omitsCallerIdentity)
{
    start();
    entry->submit(chatSubmit("a"));
    checkCompleteAnswer("a");
    const HttpRequest request = target.received("/v1/chat").at(0);
    STRCMP_EQUAL("a", request.headers.at("x-request-id").c_str());
    STRCMP_EQUAL("0", request.headers.at("x-priority").c_str());
    STRCMP_EQUAL(R"({"stream":true})", request.body.c_str());
    CHECK(!request.headers.contains("authorization"));
    CHECK(!request.headers.contains("x-customer"));
}

TEST(Agent, attemptSubmittedTwice_runsOnceAndIsAnsweredAgain)
{
    start();
    entry->submit(chatSubmit("a"));
    checkCompleteAnswer("a");
    AgentClient other(context, agent->endpoint());
    other.submit(chatSubmit("a"));
    STRCMP_EQUAL(completeStream().c_str(), other.waitForAnswer("a").body().c_str());
    CHECK_EQUAL(1U, target.received("/v1/chat").size());
}

TEST(Agent, modelWithoutGrant_isRefusedAsNotRun)
{
    start();
    entry->submit(chatSubmit("a", "m3"));
    checkRefused("a", ResultCode::NotAuthorized, proto::NOT_RUN);
    CHECK(target.received("/v1/chat").empty());
    CHECK(target.received("/v1/orders").empty());
}

TEST(Agent, submitsThatFailTheChecks_areRefusedAsNotRun)
{
    start();
    struct Case {
        const char *name;
        std::function<void(proto::SubmitRequest &)> change;
        ResultCode code;
    };
    const std::vector<Case> cases = {
        {"route", [](auto &submit) { submit.set_route("none"); }, ResultCode::RouteUnknown},
        {"customer", [](auto &submit) { submit.set_customer("other"); }, ResultCode::RouteForbidden},
        {"model", [](auto &submit) { submit.set_model("none"); }, ResultCode::ModelUnknown},
        {"pool", [](auto &submit) { submit.set_pool("other"); }, ResultCode::NoTarget},
        {"deadline", [](auto &submit) { submit.set_remaining_ms(0); }, ResultCode::DeadlineExceeded},
        {"path", [](auto &submit) { submit.set_path("@evil:80/"); }, ResultCode::MessageMalformed},
    };
    for (const Case &entryCase : cases) {
        proto::SubmitRequest submit = chatSubmit(entryCase.name);
        entryCase.change(submit);
        entry->submit(submit);
        checkRefused(entryCase.name, entryCase.code, proto::NOT_RUN);
    }
    CHECK(target.received("/v1/chat").empty());
}

TEST(Agent, streamCutInsideAnEvent_resumesCompleteAndInOrder)
{
    start();
    target.cutNextAfter(2);
    entry->submit(chatSubmit("a"));
    checkCompleteAnswer("a");
    STRCMP_EQUAL("2", target.received("/v1/chat").at(1).headers.at("x-resume-from").c_str());
}

TEST(Agent, streamEndingInOrderInsideAnEvent_resumesCompleteAndInOrder)
{
    start();
    target.endNextInsideEventAfter(2);
    entry->submit(chatSubmit("a"));
    checkCompleteAnswer("a");
    STRCMP_EQUAL("2", target.received("/v1/chat").at(1).headers.at("x-resume-from").c_str());
}

TEST(Agent, eventWithoutEnd_isCutOffAndTheStreamResumes)
{
    start();
    target.extendNextAfter(2);
    entry->submit(chatSubmit("a"));
    checkCompleteAnswer("a");
    STRCMP_EQUAL("2", target.received("/v1/chat").at(1).headers.at("x-resume-from").c_str());
}

TEST(Agent, connectionStalls_resumesOverANewConnection)
{
    start();
    target.silenceNextAfter(3);
    entry->submit(chatSubmit("a"));
    checkCompleteAnswer("a");
    CHECK_EQUAL(2U, target.received("/v1/chat").size());
}

TEST(Agent, targetIsSilentAfterEachEvent_streamResumesToItsEnd)
{
    start();
    target.silenceEachAfterOneEvent();
    entry->submit(chatSubmit("a"));
    checkCompleteAnswer("a");
}

TEST(Agent, targetIsSilentBeforeItsFirstEvent_callGoesOnOverNewConnections)
{
    start();
    target.hold();
    entry->submit(chatSubmit("a"));
    target.waitForRequests("/v1/chat", 6);
    target.release();
    checkCompleteAnswer("a");
}

TEST(Agent, targetLeavesProbesUnansweredDuringAStream_streamResumesToItsEnd)
{
    start();
    target.silenceNextAfter(2);
    entry->submit(chatSubmit("a"));
    CHECK(entry->receiveUntil([this] { return entry->answer("a").chunks.size() == 1; }));
    target.holdProbes();
    const std::size_t probes = target.received("/v1/load").size();
    target.waitForRequests("/v1/load", probes + 7);
    target.releaseProbes();
    checkCompleteAnswer("a");
}

TEST(Agent, targetDiesInTheMiddleOfAStream_reportsTheCrashAndUnknown)
{
    start();
    target.silenceNextAfter(1);
    entry->submit(chatSubmit("a"));
    CHECK(entry->receiveUntil([this] { return entry->answer("a").chunks.size() == 1; }));
    target.kill();
    checkRefused("a", ResultCode::TargetFailed, proto::RUN_UNKNOWN);
    CHECK(entry->answer("a").end->target_crashed());
}

TEST(Agent, requestThatCrashedTheTargetAloneTwice_isRefusedAndTheEntryIsNotified)
{
    start();
    for (const char *id : {"a", "b"}) {
        entry->heartbeat();
        target.silenceNextAfter(1);
        proto::SubmitRequest submit = chatSubmit(id);
        submit.set_request_digest("poison");
        entry->submit(submit);
        CHECK(entry->receiveUntil([this, id] { return entry->answer(id).chunks.size() == 1; }));
        target.kill();
        checkRefused(id, ResultCode::TargetFailed, proto::RUN_UNKNOWN);
        target.restart();
        CHECK(entry->receiveUntil([this] { return entry->heartbeat().load().target_healthy(); }));
    }
    proto::SubmitRequest again = chatSubmit("c");
    again.set_request_digest("poison");
    entry->submit(again);
    checkRefused("c", ResultCode::RequestQuarantined, proto::NOT_RUN);
    CHECK_EQUAL(2U, entry->suspicions().size());
    CHECK(entry->suspicions()[1].alone());
    entry->submit(chatSubmit("d"));
    checkCompleteAnswer("d");
}

TEST(Agent, targetRestartsEmpty_modelIsLoadedAgain)
{
    start();
    entry->submit(chatSubmit("a"));
    checkCompleteAnswer("a");
    target.kill();
    CHECK(entry->receiveUntil([this] { return !entry->heartbeat().load().target_healthy(); }));
    entry->submit(chatSubmit("b"));
    checkRefused("b", ResultCode::TargetFailed, proto::NOT_RUN);
    target.restart();
    CHECK(entry->receiveUntil([this] { return entry->heartbeat().load().target_healthy(); }));
    entry->submit(chatSubmit("c"));
    checkCompleteAnswer("c");
    CHECK_EQUAL(2U, target.received("/v1/orders/load").size());
}

TEST(Agent, cancelledWhileRunning_isForwardedAndFreesTheSlot)
{
    start();
    target.hold();
    for (const char *id : {"a", "b", "c"}) {
        entry->submit(chatSubmit(id));
    }
    target.waitForRequests("/v1/chat", 2);
    entry->cancel("a");
    checkRefused("a", ResultCode::Cancelled, proto::RUN_UNKNOWN);
    target.waitForRequests("/v1/requests/a/cancel", 1);
    target.waitForRequests("/v1/chat", 3);
    target.release();
    checkCompleteAnswer("b");
    checkCompleteAnswer("c");
}

TEST(Agent, cancelledWhileQueued_neverReachesTheTarget)
{
    start();
    target.hold();
    for (const char *id : {"a", "b", "c"}) {
        entry->submit(chatSubmit(id));
    }
    target.waitForRequests("/v1/chat", 2);
    entry->cancel("c");
    checkRefused("c", ResultCode::Cancelled, proto::NOT_RUN);
    target.release();
    checkCompleteAnswer("a");
    CHECK_EQUAL(2U, target.received("/v1/chat").size());
}

TEST(Agent, lostAnswerOfALoadOrder_isResolvedByTheInventory)
{
    start();
    target.dropNextOrderAnswer();
    entry->submit(chatSubmit("a"));
    checkCompleteAnswer("a");
    CHECK_EQUAL(1U, target.received("/v1/orders/load").size());
}

TEST(Agent, memoryIsFull_unloadsTheIdleModelFirst)
{
    start();
    entry->submit(chatSubmit("a", "m1"));
    checkCompleteAnswer("a");
    entry->submit(chatSubmit("b", "m2"));
    checkCompleteAnswer("b");
    CHECK_FALSE(target.resident("m1"));
    CHECK(target.resident("m2"));
}

TEST(Agent, plannedStop_finishesRunningWorkAndReleasesTheGrants)
{
    start();
    target.hold();
    entry->submit(chatSubmit("a"));
    target.waitForRequests("/v1/chat", 1);
    agent->requestStop();
    CHECK(entry->receiveUntil([this] { return entry->heartbeat().leaving(); }));
    entry->submit(chatSubmit("b"));
    checkRefused("b", ResultCode::Stopping, proto::NOT_RUN);
    target.release();
    checkCompleteAnswer("a");
    const std::vector<proto::AuthorityItem> items = waitForProposals(2);
    for (const proto::AuthorityItem &item : items) {
        CHECK(proto::RELEASE == item.action());
    }
    CHECK_FALSE(target.resident("m1"));
    auto released = std::make_shared<const FleetState>();
    setState(released);
    while (!agent->finished()) {
        std::this_thread::sleep_for(1ms);
    }
}

TEST(Agent, startAfterAPredecessor_takesOverItsGrantsInOneRecord)
{
    state = makeState(PoolKind::Engine, "h1#1");
    start();
    const std::vector<proto::AuthorityItem> items = waitForProposals(4);
    CHECK(proto::RELEASE == items[0].action());
    STRCMP_EQUAL("h1#1", items[0].incarnation().c_str());
    CHECK(proto::GRANT == items[1].action());
    STRCMP_EQUAL("h1#2", items[1].incarnation().c_str());
    entry->submit(chatSubmit("a"));
    checkRefused("a", ResultCode::NotAuthorized, proto::NOT_RUN);
    setState(makeState(PoolKind::Engine, "h1#2"));
    entry->submit(chatSubmit("b"));
    checkCompleteAnswer("b");
}

TEST(Agent, entryResumesOnANewConnection_getsTheRestInOrder)
{
    start();
    target.silenceNextAfter(2);
    entry->submit(chatSubmit("a"));
    CHECK(entry->receiveUntil([this] { return !entry->answer("a").chunks.empty(); }));
    AgentClient again(context, agent->endpoint());
    again.resume("a", 1);
    const std::string rest = again.waitForAnswer("a").body();
    const std::string first = entry->answer("a").chunks.at(0);
    STRCMP_EQUAL(completeStream().c_str(), (first + rest).c_str());
}

TEST(Agent, heartbeat_carriesTheLoadReport)
{
    start();
    entry->submit(chatSubmit("a"));
    checkCompleteAnswer("a");
    const proto::HeartbeatReply reply = entry->heartbeat();
    CHECK_EQUAL(7U, reply.sequence());
    STRCMP_EQUAL("h1", reply.host().c_str());
    CHECK_EQUAL(100U, reply.load().memory_mb());
    CHECK_EQUAL(60U, reply.load().memory_used_mb());
    CHECK_EQUAL(1, reply.load().models_size());
    CHECK(proto::ModelResidency::RESIDENT == reply.load().models(0).phase());
}

TEST_GROUP_BASE(ServiceAgent,
                TEST_GROUP_CppUTestGroupAgent){void setup() override{state = makeState(PoolKind::Service, "h1#2");
start();
}

static proto::SubmitRequest booking(const std::string &attemptId, const std::string &claimId)
{
    proto::SubmitRequest submit = chatSubmit(attemptId, "");
    submit.set_route("book");
    submit.set_path("/couriers/book");
    submit.set_repeatable(false);
    submit.set_claim_id(claimId);
    submit.set_stream(false);
    return submit;
}
}
;

TEST(ServiceAgent, call_carriesCustomerAndIdempotencyKey)
{
    entry->submit(booking("a", "claim-1"));
    STRCMP_EQUAL(R"({"booked":true})", entry->waitForAnswer("a").body().c_str());
    const HttpRequest request = target.received("/couriers/book").at(0);
    STRCMP_EQUAL("dealer", request.headers.at("x-customer").c_str());
    STRCMP_EQUAL("claim-1", request.headers.at("idempotency-key").c_str());
    STRCMP_EQUAL("request-a", request.headers.at("x-request-id").c_str());
}

// The agent queued all of it for the entry.
TEST(ServiceAgent, bodyWithoutEndThatItsEntryDoesNotRead_isCutOff)
{
    constexpr std::size_t MostBytes = std::size_t{64} * 1024 * 1024;
    target.extendNextBody();
    entry->submit(booking("a", "claim-1"));
    target.waitForRequests("/couriers/book", 1);
    CHECK_TRUE(target.waitForExtendedEnd());
    CHECK_TRUE(target.extendedBytes() < MostBytes);
    checkRefused("a", ResultCode::TargetFailed, proto::RUN_UNKNOWN);
}

TEST(ServiceAgent, claimSubmittedTwice_runsOnceAndTheSecondSaysUnknown)
{
    entry->submit(booking("a", "claim-1"));
    entry->waitForAnswer("a");
    entry->submit(booking("b", "claim-1"));
    checkRefused("b", ResultCode::ClaimInProgress, proto::RUN_UNKNOWN);
    CHECK_EQUAL(1U, target.received("/couriers/book").size());
}

TEST(ServiceAgent, unrepeatableCallWithoutClaim_isRefusedAsNotRun)
{
    entry->submit(booking("a", ""));
    checkRefused("a", ResultCode::ClaimUnrecorded, proto::NOT_RUN);
    CHECK(target.received("/couriers").empty());
}

// Such a call is never sent to another target, so there is nothing to leave a silent one for.
TEST(ServiceAgent, unrepeatableCallToASilentTarget_isAnsweredWhenTheTargetHasFinished)
{
    target.hold();
    entry->submit(booking("a", "claim-1"));
    target.waitForRequests("/couriers/book", 1);
    std::this_thread::sleep_for(2 * ProgressTimeout);
    target.release();
    STRCMP_EQUAL(R"({"booked":true})", entry->waitForAnswer("a").body().c_str());
    CHECK_EQUAL(1U, target.received("/couriers/book").size());
}

TEST(ServiceAgent, repeatableCallToATargetThatAnswersProbes_isAnsweredWhenTheTargetHasFinished)
{
    target.hold();
    proto::SubmitRequest submit = booking("a", "");
    submit.set_repeatable(true);
    entry->submit(submit);
    target.waitForRequests("/couriers/book", 1);
    std::this_thread::sleep_for(2 * ProgressTimeout);
    target.release();
    STRCMP_EQUAL(R"({"booked":true})", entry->waitForAnswer("a").body().c_str());
    CHECK_EQUAL(1U, target.received("/couriers/book").size());
}

TEST(ServiceAgent, repeatableCallToATargetThatLeavesProbesUnanswered_reportsTheTimeout)
{
    target.hold();
    proto::SubmitRequest submit = booking("a", "");
    submit.set_repeatable(true);
    entry->submit(submit);
    target.waitForRequests("/couriers/book", 1);
    target.holdProbes();
    checkRefused("a", ResultCode::TargetTimeout, proto::RUN_UNKNOWN);
    target.releaseProbes();
}

TEST(ServiceAgent, targetDiesDuringACall_reportsUnknownAndNeverRunsItAgain)
{
    target.hold();
    entry->submit(booking("a", "claim-1"));
    target.waitForRequests("/couriers/book", 1);
    target.kill();
    checkRefused("a", ResultCode::TargetFailed, proto::RUN_UNKNOWN);
    CHECK_EQUAL(1U, target.received("/couriers/book").size());
}

TEST_GROUP(ChunkLog){};

TEST(ChunkLog, discardedChunks_cannotBeResent)
{
    ChunkLog log(4);
    log.append("aa");
    log.append("bb");
    log.append("cc");
    CHECK_FALSE(log.has(0));
    CHECK(log.from(0).empty());
    CHECK_EQUAL(2U, log.from(1).size());
    CHECK_EQUAL(3 * log.from(1).front().data.size(), log.unacknowledgedBytes());
    log.acknowledge(2);
    CHECK_EQUAL(log.bytes(), log.unacknowledgedBytes());
    log.acknowledge(3);
    CHECK_EQUAL(0U, log.bytes());
    CHECK_EQUAL(0U, log.unacknowledgedBytes());
    CHECK(log.has(3));
    CHECK_FALSE(log.has(4));
}

TEST_GROUP(AnswerMeter){};

TEST(AnswerMeter, eventSplitBetweenChunks_isReturnedOnceComplete)
{
    AnswerMeter meter;
    meter.begin("text/event-stream; charset=utf-8");
    STRCMP_EQUAL("", meter.take("data: a\n").c_str());
    STRCMP_EQUAL("data: a\n\n", meter.take("\ndata: b").c_str());
    CHECK_EQUAL(1U, meter.events());
    CHECK_EQUAL(7U, meter.partialBytes());
    meter.dropPartial();
    CHECK_EQUAL(0U, meter.partialBytes());
    STRCMP_EQUAL("data: {\"usage\":{\"total_tokens\":42}}\r\n\r\n",
                 meter.take("data: {\"usage\":{\"total_tokens\":42}}\r\n\r\n").c_str());
    CHECK_EQUAL(42U, meter.tokensUsed(1, 100));
}
