#include "childprocess.h"
#include "fakeengine.h"
#include "fakestore.h"
#include "gatewayworld.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

const char *const EntryIp = "127.0.0.2";
const char *const AgentIp = "127.0.0.3";

const std::string SignedAnswer = httpAnswer(200, "ok", "X-Request-Id: {id}\r\nX-Server-Signature: s\r\n");

} // namespace

TEST_GROUP(Serving)
{
    EventLoop loop;
    FakeStore store{loop};
    FakeEngine engine{loop, *parseIp(AgentIp)};
    ScriptedTarget app{loop};
    std::string file = "serving-" + std::to_string(getpid()) + ".settings";
    Endpoint callers{*parseIp(EntryIp), freeEndpoint().port};
    Endpoint readiness{*parseIp(EntryIp), freeEndpoint().port};
    int peerPort = std::min<int>(freeEndpoint().port, 65000);
    int keyRevocationMs = 1000;
    std::string storeAddress = store.address();
    std::unique_ptr<ChildProcess> entry;
    std::unique_ptr<ChildProcess> agent;

    void teardown() override
    {
        entry.reset();
        agent.reset();
        unsetenv("CELERYROUTE_CONFIG");
        (void)std::remove(file.c_str());
    }

    void writeSettings(const std::string &role, const std::string &ip, const std::string &more)
    {
        std::ofstream(file) << "name = " << role << "\nrole = " << role << "\nip = " << ip
                            << "\ndomain = a\nfirst-start = true\n"
                            << "key-revocation-ms = " << keyRevocationMs
                            << "\nstop-grace-s = 5\nstore-address = " << storeAddress
                            << "\npeer-port-first = " << peerPort << "\npeer-port-last = " << peerPort + 9 << '\n'
                            << more;
    }
    std::unique_ptr<ChildProcess> start(const std::string &role, const std::string &ip, const std::string &more)
    {
        writeSettings(role, ip, more);
        setenv("CELERYROUTE_CONFIG", file.c_str(), 1);
        auto process = std::make_unique<ChildProcess>("celeryrouted", std::vector<std::string>());
        CHECK(process->waitForOutput("process.start"));
        return process;
    }
    std::string entryAddresses() const
    {
        return "listen-address = " + toString(callers) + "\nreadiness-address = " + toString(readiness) + '\n';
    }
    void startEntry()
    {
        entry = start("entry", EntryIp, entryAddresses());
        CHECK(turnUntil(loop, [this] { return !RawCaller(loop, readiness).ended(); }));
    }
    void startAgent()
    {
        agent = start("agent", AgentIp, "pool = llm\ntarget-address = " + engine.server.address());
    }
    void publish(const json &state)
    {
        store.put("keyed.op", "config", state.dump());
    }
    void registerTarget(const std::string &id, const std::string &service, const std::string &address)
    {
        store.put("keyed.servers",
                  id,
                  json{{"service", service},
                       {"address", address},
                       {"cold_remaining_ms", 0},
                       {"version", "1"},
                       {"zone", "a"},
                       {"slots", 8},
                       {"state", "ready"},
                       {"sequence", 0}}
                      .dump());
    }
    std::string call(const Endpoint &at, const std::string &target, const std::string &fields = {})
    {
        RawCaller caller(loop, at);
        caller.send("GET " + target + " HTTP/1.1\r\nHost: api.example\r\nX-Request-Id: r\r\nConnection: close\r\n"
                    + fields + "\r\n");
        CHECK(caller.waitForEnd());
        return caller.received();
    }
    int callStatus(const std::string &target, const std::string &key = "key-a")
    {
        return statusOf(call(callers, target, "Authorization: Bearer " + key + "\r\n"));
    }
    int ready()
    {
        return statusOf(call(readiness, "/api/ready"));
    }
    bool becomes(int status, const std::function<int()> &asked)
    {
        return turnUntil(loop, [&] { return asked() == status; });
    }
};

TEST(Serving, entry_isReadyWithStateAndRegistryAndFollowsBoth)
{
    app.answerEveryRequest(SignedAnswer);
    store.refuse("keyed", 503);
    startEntry();
    CHECK_EQUAL(503, ready());
    CHECK_EQUAL(503, callStatus("/open/a"));
    publish(servingDesiredState(3));
    store.put("keyed.servers", "bad", "another writer's");
    store.refuse("keyed", 0);
    store.refuse("servers", 503);
    CHECK(becomes(401, [this] { return callStatus("/pay/a", "key-b"); }));
    CHECK_EQUAL(503, ready());
    CHECK_EQUAL(503, callStatus("/pay/a"));
    registerTarget("i-1", "app", app.address());
    store.refuse("servers", 0);
    CHECK(becomes(200, [this] { return ready(); }));
    CHECK_EQUAL(200, callStatus("/pay/a"));
    STRCMP_EQUAL("alpha", app.requests().back().field("X-Tenant").c_str());
    STRCMP_EQUAL("i-1", app.requests().back().field("X-Expect-Instance").c_str());
    // A newer version removes a route and a key; an older version is ignored.
    json state = servingDesiredState(5);
    state["routes"].erase(0);
    state["tenants"][0]["api_keys"] = {"key-b"};
    publish(state);
    CHECK(becomes(404, [this] { return callStatus("/chat/a"); }));
    publish(servingDesiredState(4));
    CHECK(becomes(200, [this] { return callStatus("/pay/a", "key-b"); }));
    CHECK_EQUAL(401, callStatus("/pay/a"));
    CHECK_EQUAL(404, callStatus("/chat/a"));
    // During an outage of the store, keys become stale, but calls without a key are still served.
    store.refuse("keyed", 503);
    CHECK(becomes(503, [this] { return callStatus("/pay/a", "key-b"); }));
    CHECK_EQUAL(200, statusOf(call(callers, "/open/a")));
    CHECK_EQUAL(503, ready());
    store.refuse("keyed", 0);
    CHECK(becomes(200, [this] { return callStatus("/pay/a", "key-b"); }));
    CHECK_EQUAL(200, ready());
    // A removed target gets no more calls.
    store.put("keyed.servers", "i-1", "");
    CHECK(becomes(503, [this] { return callStatus("/pay/a", "key-b"); }));
}

TEST(Serving, changedSettings_areAppliedWithAndWithoutSignal)
{
    keyRevocationMs = 80'000;
    app.answerEveryRequest(SignedAnswer);
    publish(servingDesiredState(1));
    registerTarget("i-1", "app", app.address());
    startEntry();
    CHECK(becomes(200, [this] { return callStatus("/pay/a"); }));
    const auto logged = [this](const std::string &text) {
        return turnUntil(loop, [this, &text] { return entry->output().find(text) != std::string::npos; });
    };
    // Without a signal: the read that is held for the longer bound is abandoned, and keys become stale sooner.
    keyRevocationMs = 1000;
    writeSettings("entry", EntryIp, entryAddresses());
    CHECK(logged("\"changed\":\"key-revocation-ms\",\"next_start\":\"\""));
    // The last read may be older than the new bound allows. Calls are then refused until the next one is answered.
    const std::string staleRefusal = R"("status":503,"reason":"keys_stale")";
    const std::size_t before = countOf(entry->output(), staleRefusal);
    std::size_t refused = 0;
    std::string answer;
    CHECK(turnUntil(loop, [&] {
        answer = call(callers, "/pay/a", "Authorization: Bearer key-a\r\n");
        refused += statusOf(answer) == 503 ? 1 : 0;
        return statusOf(answer) != 503;
    }));
    LONGS_EQUAL_TEXT(200, statusOf(answer), answer.c_str());
    CHECK(turnUntil(loop, [&] { return countOf(entry->output(), staleRefusal) == before + refused; }));
    store.refuse("keyed", 503);
    CHECK(becomes(503, [this] { return callStatus("/pay/a"); }));
    // A malformed file leaves the old settings in force.
    std::ofstream(file) << "role = entry\n";
    entry->signal(SIGHUP);
    CHECK(logged("settings.rejected"));
    CHECK_EQUAL(200, statusOf(call(callers, "/open/a")));
    // The store moves to another address. Settings that need a restart are named in the log.
    FakeStore other(loop);
    for (const int version : {1, 2}) {
        other.put("keyed.op", "config", servingDesiredState(version).dump());
    }
    storeAddress = other.address();
    writeSettings("entry", EntryIp, entryAddresses() + "heartbeat-ms = 1200\ncpu-share = 0.5\n");
    entry->signal(SIGHUP);
    CHECK(logged("\"changed\":\"store-address,cpu-share,heartbeat-ms\""));
    CHECK(logged("\"state_version\":2"));
    writeSettings("entry", EntryIp, "listen-address = 127.0.0.2:1\nreadiness-address = 127.0.0.2:2\n");
    entry->signal(SIGHUP);
    CHECK(logged("\"next_start\":\"listen-address,readiness-address\""));
    CHECK_EQUAL(404, statusOf(call(callers, "/nothing/")));
}

TEST(Serving, callForUnloadedModel_waitsForLoadAndIsAnswered)
{
    publish(servingDesiredState(1));
    store.put("keyed.servers", "i-7", engine.record());
    startAgent();
    startEntry();
    CHECK(becomes(200, [this] { return ready(); }));
    const std::string answer = call(
        callers,
        "/chat/a",
        "Authorization: Bearer key-a\r\nX-Model: m1\r\nX-Token-Usage: 10,5\r\nX-Deadline-Ms: 8000\r\n");
    CHECK_EQUAL(200, statusOf(answer));
    STRCMP_EQUAL("id: 1\ndata: a token\n\n<end>", chunksOf(answer).c_str());
    CHECK_EQUAL(1U, engine.orders.size());
    STRCMP_EQUAL("load", engine.orders[0]["operation"].get<std::string>().c_str());
    STRCMP_EQUAL("m1", engine.orders[0]["model"].get<std::string>().c_str());
    CHECK_EQUAL(0, engine.orders[0]["precondition"].get<int>());
    CHECK(engine.orders[0]["fencing_token"].get<int>() > 0);
    STRCMP_EQUAL("i-7", engine.orderedInstances[0].c_str());
    CHECK_EQUAL(0U, engine.misdirected);
    // A restarted agent has a higher fencing token.
    agent->signal(SIGTERM);
    CHECK_EQUAL(0, agent->wait());
    startAgent();
    CHECK(turnUntil(loop, [this] { return agent->output().find("\"fence\":2") != std::string::npos; }));
}

TEST(Serving, stoppingEntry_reportsNotReadyAndFinishesAllCalls)
{
    publish(servingDesiredState(1));
    registerTarget("i-1", "app", app.address());
    startEntry();
    CHECK(becomes(200, [this] { return ready(); }));
    const std::string request = "GET /open/a HTTP/1.1\r\nHost: api.example\r\nX-Request-Id: r\r\n\r\n";
    RawCaller kept(loop, callers);
    RawCaller slow(loop, callers);
    RawCaller idle(loop, callers);
    slow.send(request);
    CHECK(turnUntil(loop, [this] { return app.requests().size() == 1; }));
    entry->signal(SIGTERM);
    CHECK(becomes(503, [this] { return ready(); }));
    app.answerEveryRequest(SignedAnswer);
    kept.send(request);
    CHECK(kept.waitForEnd());
    CHECK_EQUAL(200, statusOf(kept.received()));
    STRCMP_EQUAL("close", fieldOf(kept.received(), "Connection").c_str());
    CHECK_EQUAL(200, statusOf(call(callers, "/open/a")));
    CHECK(idle.waitForEnd());
    CHECK_FALSE(slow.ended());
    app.answer(app.requests()[0], SignedAnswer);
    CHECK(slow.waitForEnd());
    CHECK_EQUAL(200, statusOf(slow.received()));
    STRCMP_EQUAL("ok", bodyOf(slow.received()).c_str());
    CHECK(!slow.wasReset() && !idle.wasReset() && !kept.wasReset());
    CHECK_EQUAL(0, entry->wait());
}
