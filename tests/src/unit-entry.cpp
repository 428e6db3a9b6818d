#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/entry/admission.h>
#include <celeryroute/detail/entry/answerrelay.h>
#include <celeryroute/detail/entry/answers.h>
#include <celeryroute/detail/entry/callbuilder.h>
#include <celeryroute/detail/entry/chatrequest.h>
#include <celeryroute/detail/entry/dispatcher.h>
#include <celeryroute/detail/transport/peerserver.h>

#include <peer.pb.h>

#include <absl/synchronization/mutex.h>
#include <poll.h>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;

namespace {

template <typename T>
ResultCode codeOf(const std::function<Result<T>()> &operation)
{
    return handleErrors(
        [&]() -> Result<ResultCode> {
            BOOST_LEAF_CHECK(operation());
            return ResultCode::Ok;
        },
        [](const Error &error) { return error.code; });
}

FleetState fleet()
{
    StateTables tables;
    PoolSpec pool;
    pool.name = "assay-llm";
    pool.models = {ModelSpec{"assay", 100, 1, 1, {AdapterSpec{"kisumu", 1, 1, 1}}}};
    tables.pools.edit()["assay-llm"] = {pool, 1};
    RouteSpec chat;
    chat.name = "chat";
    chat.pool = "assay-llm";
    chat.models = {"*"};
    chat.customers = {"yard"};
    chat.repeatable = true;
    chat.deadlineMs = 5000;
    tables.routes.edit()["chat"] = {chat, 1};
    RouteSpec payout;
    payout.name = "payout";
    payout.pool = "yard-app";
    payout.path = "/payouts";
    payout.customers = {"yard"};
    tables.routes.edit()["payout"] = {payout, 1};
    tables.keys.insertOrAssign(sha256(std::string("good")), {KeyEntry{"yard", "", false}, 1});
    tables.keys.insertOrAssign(sha256(std::string("gone")), {KeyEntry{"yard", "", true}, 1});
    tables.keys.insertOrAssign(sha256(std::string("other")), {KeyEntry{"hotel", "", false}, 1});
    tables.customers.edit()["yard"] = {CustomerSpec{"yard", 1e6, 1e6, 1}, 1};
    tables.nextOffset = 1;
    tables.shares.edit() = Shares{1, 0, {{"entry-1", 1.0}}};
    return FleetState(std::move(tables));
}

HttpRequest chatRequest(const std::string &key)
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.headers["authorization"] = "Bearer " + key;
    request.body = R"({"model": "assay", "messages": [{"role": "user", "content": "price?"}]})";
    return request;
}

/// Records one answer and lets tests wait until it has ended.
class RecordingResponder : public HttpResponder
{
public:
    void respond(HttpResponse response) override
    {
        absl::MutexLock lock(&m_mutex);
        m_status = response.status;
        m_body = std::move(response.body);
        m_ended = true;
    }
    void begin(int status, HttpFields) override
    {
        absl::MutexLock lock(&m_mutex);
        m_status = status;
    }
    void write(std::string data) override
    {
        absl::MutexLock lock(&m_mutex);
        m_body += data;
    }
    void end(bool complete) override
    {
        absl::MutexLock lock(&m_mutex);
        m_ended = true;
        m_complete = complete;
    }
    std::size_t pendingBytes() const override
    {
        return 0;
    }
    bool closed() const override
    {
        return false;
    }
    void onClosed(std::function<void()>) override {}

    /// Waits until the answer has ended and returns its body.
    std::string body()
    {
        absl::MutexLock lock(&m_mutex);
        m_mutex.AwaitWithTimeout(absl::Condition(&m_ended), absl::Seconds(20));
        return m_ended ? m_body : "unanswered";
    }
    int status()
    {
        body();
        return m_status;
    }
    bool complete()
    {
        body();
        return m_complete;
    }

private:
    absl::Mutex m_mutex;
    int m_status = 0;
    std::string m_body;
    bool m_ended = false;
    bool m_complete = false;
};

} // namespace

TEST_GROUP(ChatRequests){};

TEST(ChatRequests, wellFormed_modelStreamAndTokensAreRead)
{
    const ChatRequest chat = handleErrors(
        [] {
            return parseChatRequest(
                R"({"model":"a/b","stream":true,"max_tokens":9,"messages":[{"role":"user","content":"12345"}]})");
        },
        [](const Error &) { return ChatRequest(); });
    CHECK(chat == (ChatRequest{"a/b", true, 2, 9}));
}

TEST(ChatRequests, malformed_eachIsRefusedAsMalformed)
{
    const std::vector<std::string> bodies = {
        "",
        "null",
        "[]",
        "{",
        R"({"model":7})",
        R"({"model":""})",
        R"({"model":"a"})",
        R"({"model":"a","messages":[]})",
        R"({"model":"a","messages":{}})",
        R"({"model":"a","messages":[1]})",
        R"({"model":"a","messages":[{"content":"x"}]})",
        R"({"model":"a","messages":[{"role":"user","content":7}]})",
        R"({"model":"a","messages":[{"role":"user","content":[7]}]})",
        R"({"model":"a","stream":"yes","messages":[{"role":"user","content":"x"}]})",
        R"({"model":"a","max_tokens":0,"messages":[{"role":"user","content":"x"}]})",
        R"({"model":"a","max_tokens":1e99,"messages":[{"role":"user","content":"x"}]})",
        "\xff\xfe",
        std::string(1000, '['),
    };
    for (const std::string &body : bodies) {
        CHECK(codeOf<ChatRequest>([&] { return parseChatRequest(body); }) == ResultCode::RequestMalformed);
    }
}

TEST_GROUP(CallAdmission)
{
    FleetState state = fleet();
    TimePoint now = TimePoint(std::chrono::hours(1));

    ResultCode build(const HttpRequest &request, bool keyedAllowed = true)
    {
        return codeOf<CallerCall>([&] { return buildChatCall(state, request, keyedAllowed, now); });
    }
};

TEST(CallAdmission, keysAndRoutes_eachCaseHasItsCode)
{
    CHECK(build(chatRequest("good")) == ResultCode::Ok);
    CHECK(build(chatRequest("gone")) == ResultCode::KeyWithdrawn);
    CHECK(build(chatRequest("bad")) == ResultCode::KeyUnknown);
    CHECK(build(chatRequest("other")) == ResultCode::RouteForbidden);
    CHECK(build(chatRequest("good"), false) == ResultCode::StateStale);
    HttpRequest request = chatRequest("good");
    request.headers["x-deadline-ms"] = "soon";
    CHECK(build(request) == ResultCode::DeadlineInvalid);
    request = chatRequest("good");
    request.headers.erase("authorization");
    CHECK(build(request) == ResultCode::KeyMissing);
    request = chatRequest("good");
    request.body = R"({"model":"none","messages":[{"role":"user","content":"x"}]})";
    CHECK(build(request) == ResultCode::ModelUnknown);
}

TEST(CallAdmission, unrepeatableRouteWithoutIdempotencyKey_isRefused)
{
    HttpRequest request = chatRequest("good");
    request.path = "/payouts/7";
    const auto build = [&] { return buildServiceCall(state, request, true, now); };
    CHECK(codeOf<CallerCall>(build) == ResultCode::IdempotencyKeyMissing);
    request.headers["idempotency-key"] = "lot-7";
    CHECK(codeOf<CallerCall>(build) == ResultCode::Ok);
}

TEST_GROUP(AnswerOrder){};

TEST(AnswerOrder, reorderedAndRepeatedChunks_returnedOnceInOrder)
{
    AnswerRelay relay;
    STRCMP_EQUAL("", relay.take(1, "b").c_str());
    CHECK(relay.gap());
    STRCMP_EQUAL("ab", relay.take(0, "a").c_str());
    STRCMP_EQUAL("", relay.take(1, "b").c_str());
    relay.finish(3);
    CHECK_FALSE(relay.complete());
    CHECK(relay.gap());
    STRCMP_EQUAL("c", relay.take(2, "c").c_str());
    CHECK(relay.complete());
}

TEST_GROUP(DispatcherWithFakeAgent)
{
    TransportContext context{CurveKeys{}};
    std::shared_ptr<const FleetState> state = std::make_shared<const FleetState>(fleet());
    PeerServer agent{context};
    PeerServer secondAgent{context};
    Timeline timeline{"entry-1", "host-e", 100};
    Metrics metrics;
    std::unique_ptr<Dispatcher> dispatcher;
    std::shared_ptr<RecordingResponder> responder = std::make_shared<RecordingResponder>();

    void setup() override
    {
        handleErrors(
            [this]() -> Result<bool> {
                BOOST_LEAF_CHECK(agent.bind("127.0.0.1:0"));
                BOOST_LEAF_CHECK(secondAgent.bind("127.0.0.1:0"));
                return true;
            },
            [](const Error &) { return false; });
        // The agents of this group answer two heartbeats only; on a busy machine a test may take longer than the
        // default timeouts.
        startDispatcher(patientTimeouts());
    }

    static LinkTimeouts patientTimeouts()
    {
        LinkTimeouts patient;
        patient.reconnectAfter = std::chrono::hours(1);
        patient.unreachableAfter = std::chrono::hours(1);
        return patient;
    }

    void startDispatcher(LinkTimeouts timeouts, Duration progressTimeout = DispatcherSettings().progressTimeout)
    {
        DispatcherSettings settings;
        settings.progressTimeout = progressTimeout;
        settings.instance = "entry-1";
        settings.link = timeouts;
        settings.link.heartbeatInterval = std::chrono::milliseconds(20);
        DispatcherHooks hooks;
        hooks.state = [this] { return std::atomic_load(&state); };
        hooks.otherMessage = [](const proto::Envelope &) { return std::nullopt; };
        hooks.peerOffset = [](const std::string &, std::uint64_t) {};
        hooks.confirmedAt = [] { return MonotonicClock::now(); };
        hooks.submitDivision = [](const proto::ShareDivision &) {};
        hooks.heardFrom = [](const std::string &, TimePoint) {};
        dispatcher.reset();
        while (agent.receive()) {}
        dispatcher = std::make_unique<Dispatcher>(settings, context, hooks, Observers{timeline, metrics});
        handleErrors(
            [this]() -> Result<bool> {
                BOOST_LEAF_CHECK(dispatcher->start());
                return true;
            },
            [](const Error &) { return false; });
        dispatcher->setHosts({{"host-1", agent.endpoint(), "a", HostRole::Agent, "assay-llm", HostState::Live}});
        answerHeartbeat(agent);
        answerHeartbeat(agent);
    }

    void teardown() override
    {
        dispatcher.reset();
    }

    static PeerMessage waitFor(PeerServer & server, const std::function<bool(const proto::Envelope &)> &wanted)
    {
        const TimePoint limit = MonotonicClock::now() + std::chrono::seconds(20);
        while (MonotonicClock::now() < limit) {
            while (auto message = server.receive()) {
                if (wanted(*message->envelope)) {
                    return *message;
                }
            }
            pollfd descriptor{server.fd(), POLLIN, 0};
            poll(&descriptor, 1, 10);
        }
        FAIL("the message did not come");
        return {};
    }

    static void answerHeartbeat(PeerServer & server)
    {
        const PeerMessage question = waitFor(server, [](const proto::Envelope &e) { return e.has_heartbeat(); });
        proto::Envelope reply;
        reply.set_sender("agent-1");
        reply.mutable_heartbeat_reply()->set_host("host-1");
        server.send(question.connection, reply);
    }

    PeerMessage submitCall(bool stream)
    {
        HttpRequest request = chatRequest("good");
        if (stream) {
            request.body.insert(1, R"("stream": true, )");
        }
        CallerCall call = handleErrors([&] { return buildChatCall(*state, request, true, MonotonicClock::now()); },
                                       [](const Error &) { return CallerCall(); });
        call.worstCaseTokens = 0; // Disables budgets, which other tests cover.
        call.deadline = MonotonicClock::now() + std::chrono::hours(1);
        dispatcher->submit(std::move(call), responder);
        return waitFor(agent, [](const proto::Envelope &e) { return e.has_submit(); });
    }

    static void sendHead(PeerServer & server, const PeerMessage &submit)
    {
        proto::Envelope head;
        head.mutable_response_head()->set_attempt_id(submit.envelope->submit().attempt_id());
        head.mutable_response_head()->set_status(200);
        head.mutable_response_head()->set_content_type("text/event-stream");
        server.send(submit.connection, head);
    }

    static void sendChunk(PeerServer & server,
                          const PeerMessage &submit,
                          std::uint64_t sequence,
                          const std::string &data)
    {
        proto::Envelope chunk;
        chunk.mutable_response_chunk()->set_attempt_id(submit.envelope->submit().attempt_id());
        chunk.mutable_response_chunk()->set_sequence(sequence);
        chunk.mutable_response_chunk()->set_data(data);
        server.send(submit.connection, chunk);
    }

    static void sendEnd(PeerServer & server,
                        const PeerMessage &submit,
                        std::uint64_t chunks,
                        ResultCode code,
                        proto::RunReport run)
    {
        proto::Envelope end;
        end.mutable_response_end()->set_attempt_id(submit.envelope->submit().attempt_id());
        end.mutable_response_end()->set_chunks(chunks);
        end.mutable_response_end()->set_result_code(static_cast<std::uint32_t>(code));
        end.mutable_response_end()->set_run(run);
        server.send(submit.connection, end);
    }

    void finishStream(const PeerMessage &submit)
    {
        sendChunk(agent, submit, 1, "b");
        sendEnd(agent, submit, 2, ResultCode::Ok, proto::RAN);
        STRCMP_EQUAL("ab", responder->body().c_str());
        CHECK(responder->complete());
    }
};

TEST(DispatcherWithFakeAgent, wholeAnswer_reachesTheCaller)
{
    const PeerMessage submit = submitCall(false);
    STRCMP_EQUAL("yard", submit.envelope->submit().customer().c_str());
    sendHead(agent, submit);
    sendChunk(agent, submit, 0, "42");
    sendEnd(agent, submit, 1, ResultCode::Ok, proto::RAN);
    STRCMP_EQUAL("42", responder->body().c_str());
    CHECK_EQUAL(200, responder->status());
}

TEST(DispatcherWithFakeAgent, lostChunk_isRequestedAgain)
{
    const PeerMessage submit = submitCall(true);
    sendHead(agent, submit);
    sendChunk(agent, submit, 1, "b");
    sendEnd(agent, submit, 2, ResultCode::Ok, proto::RAN);
    const PeerMessage resume = waitFor(agent, [](const proto::Envelope &e) { return e.has_resume(); });
    CHECK_EQUAL(0, resume.envelope->resume().next_sequence());
    sendChunk(agent, submit, 0, "a");
    sendEnd(agent, submit, 2, ResultCode::Ok, proto::RAN);
    STRCMP_EQUAL("ab", responder->body().c_str());
    CHECK(responder->complete());
}

TEST(DispatcherWithFakeAgent, streamWithoutProgress_isAskedForAndGoesOn)
{
    startDispatcher(patientTimeouts(), std::chrono::milliseconds(50));
    const PeerMessage submit = submitCall(true);
    sendHead(agent, submit);
    sendChunk(agent, submit, 0, "a");
    for (int silences = 0; silences < 3; ++silences) {
        const PeerMessage resume = waitFor(agent, [](const proto::Envelope &e) { return e.has_resume(); });
        CHECK_EQUAL(1, resume.envelope->resume().next_sequence());
    }
    finishStream(submit);
}

TEST(DispatcherWithFakeAgent, hostLeavesTheListDuringAStream_streamIsFinished)
{
    const PeerMessage submit = submitCall(true);
    sendHead(agent, submit);
    sendChunk(agent, submit, 0, "a");
    dispatcher->setHosts({});
    finishStream(submit);
}

TEST(DispatcherWithFakeAgent, hostMovesToAnotherDomainDuringAStream_streamIsFinished)
{
    const PeerMessage submit = submitCall(true);
    sendHead(agent, submit);
    sendChunk(agent, submit, 0, "a");
    dispatcher->setHosts({{"host-1", agent.endpoint(), "b", HostRole::Agent, "assay-llm", HostState::Live}});
    finishStream(submit);
}

TEST(DispatcherWithFakeAgent, answerOfAnotherAttempt_isDropped)
{
    const PeerMessage submit = submitCall(false);
    PeerMessage stranger = submit;
    auto other = std::make_shared<proto::Envelope>(*submit.envelope);
    other->mutable_submit()->set_attempt_id("not-this-one");
    stranger.envelope = other;
    sendHead(agent, submit);
    sendChunk(agent, stranger, 0, "wrong");
    sendChunk(agent, submit, 0, "right");
    sendEnd(agent, submit, 1, ResultCode::Ok, proto::RAN);
    STRCMP_EQUAL("right", responder->body().c_str());
}

TEST(DispatcherWithFakeAgent, keyWithdrawnDuringAStream_streamIsCutAndTargetCancelled)
{
    const PeerMessage submit = submitCall(true);
    sendHead(agent, submit);
    sendChunk(agent, submit, 0, "a");
    StateTables tables = FleetState(*state).takeTables();
    tables.nextOffset = 2;
    tables.keys.insertOrAssign(sha256(std::string("good")), {KeyEntry{"yard", "", true}, 2});
    std::atomic_store(&state, std::make_shared<const FleetState>(std::move(tables)));
    dispatcher->stateChanged();
    waitFor(agent, [](const proto::Envelope &e) { return e.has_cancel(); });
    CHECK(responder->body().find("\"code\":306") != std::string::npos);
    CHECK_FALSE(responder->complete());
}

TEST(DispatcherWithFakeAgent, refusedAsNotRun_isTriedAtAnotherHost)
{
    const PeerMessage submit = submitCall(false);
    dispatcher->setHosts({{"host-1", agent.endpoint(), "a", HostRole::Agent, "assay-llm", HostState::Live},
                          {"host-2", secondAgent.endpoint(), "b", HostRole::Agent, "assay-llm", HostState::Live}});
    answerHeartbeat(secondAgent);
    answerHeartbeat(secondAgent);
    sendEnd(agent, submit, 0, ResultCode::Stopping, proto::NOT_RUN);
    const PeerMessage second = waitFor(secondAgent, [](const proto::Envelope &e) { return e.has_submit(); });
    STRCMP_EQUAL(submit.envelope->submit().request_id().c_str(), second.envelope->submit().request_id().c_str());
    CHECK(submit.envelope->submit().attempt_id() != second.envelope->submit().attempt_id());
    sendHead(secondAgent, second);
    sendChunk(secondAgent, second, 0, "42");
    sendEnd(secondAgent, second, 1, ResultCode::Ok, proto::RAN);
    STRCMP_EQUAL("42", responder->body().c_str());
}

TEST(DispatcherWithFakeAgent, noTargetLeft_refusedAsNotRun)
{
    const PeerMessage submit = submitCall(false);
    sendEnd(agent, submit, 0, ResultCode::QueueFull, proto::NOT_RUN);
    CHECK(responder->body().find("\"run\":\"not_run\"") != std::string::npos);
    CHECK_EQUAL(503, responder->status());
}

TEST(DispatcherWithFakeAgent, agentSilentAfterSubmit_isReportedAsUnknown)
{
    startDispatcher(LinkTimeouts());
    submitCall(false);
    CHECK(responder->body().find("\"run\":\"unknown\"") != std::string::npos);
}
