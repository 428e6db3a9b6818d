#include "childprocess.h"
#include "httpcalls.h"
#include "rawconnection.h"

#include <standins/generation.h>

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <csignal>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using Json = nlohmann::json;

namespace {

/// One stand-in program and calls of it.
class StandinFixture : public Utest
{
public:
    void startProgram(const std::string &program, const std::vector<std::string> &arguments = {})
    {
        process = std::make_unique<ChildProcess>(program, arguments);
        const Json ready = process->waitUntilReady();
        CHECK(ready.is_object());
        base = absl::StrCat("http://", ready["listen"].get<std::string>());
    }

    HttpResponse post(const std::string &path, const Json &body, const HttpFields &headers = {}) const
    {
        return callHttp("POST", base + path, body.dump(), headers);
    }

    HttpResponse loadModel(const std::string &model, int megabytes, int fencing, const std::string &adapter = {}) const
    {
        return post("/v1/orders/load",
                    {{"model", model}, {"adapter", adapter}, {"memory_mb", megabytes}, {"fencing", fencing}});
    }

    static Json chat(const std::string &model, const std::string &prompt, bool stream)
    {
        const Json message = {{"role", "user"}, {"content", prompt}};
        return {{"model", model}, {"messages", Json::array({message})}, {"max_tokens", 5}, {"stream", stream}};
    }

    std::uint16_t port() const
    {
        return static_cast<std::uint16_t>(std::stoi(base.substr(base.rfind(':') + 1)));
    }

    std::unique_ptr<ChildProcess> process;
    std::string base;
};

} // namespace

TEST_GROUP_BASE(StandinPrograms, StandinFixture){};

TEST(StandinPrograms, badSettings_allAreNamedAndNothingIsReady)
{
    ChildProcess child("standin-engine", {"--memory-mb=none", "--listen=nowhere", "--colour=red"});
    CHECK(child.wait() != 0);
    child.waitForEnd();
    STRCMP_EQUAL("", child.output().c_str());
    for (const char *name : {"memory-mb", "listen", "colour"}) {
        CHECK(absl::StrContains(child.errorOutput(), name));
    }
}

TEST(StandinPrograms, helpVersionAndCheck_exitWithZero)
{
    for (const char *program :
         {"standin-log", "standin-hosts", "standin-weights", "standin-engine", "standin-service"}) {
        for (const char *flag : {"--help", "--version", "--check"}) {
            ChildProcess child(program, {flag});
            LONGS_EQUAL(0, child.wait());
        }
    }
}

TEST(StandinPrograms, sigterm_exitsWithZero)
{
    startProgram("standin-service");
    process->signal(SIGTERM);
    LONGS_EQUAL(0, process->wait());
}

TEST_GROUP_BASE(StandinLog, StandinFixture){};

TEST(StandinLog, appendedRecords_areReadInOrder)
{
    startProgram("standin-log");
    const std::string binary("a\0b\xff", 4);
    LONGS_EQUAL(0, Json::parse(callHttp("POST", base + "/v1/records", binary).body)["offset"].get<int>());
    LONGS_EQUAL(1, Json::parse(callHttp("POST", base + "/v1/records", "second").body)["offset"].get<int>());
    const Json range = getJson(base + "/v1/records?from=0&max=10");
    LONGS_EQUAL(2, range["next"].get<int>());
    std::string decoded;
    CHECK(absl::Base64Unescape(range["records"][0].get<std::string>(), &decoded));
    CHECK(decoded == binary);
}

TEST(StandinLog, readerWaits_recordArrives)
{
    startProgram("standin-log");
    RawConnection reader(port());
    reader.send("GET /v1/records?from=0&wait_ms=60000 HTTP/1.1\r\nHost: a\r\n\r\n");
    callHttp("POST", base + "/v1/records", "late");
    CHECK(absl::StrContains(reader.receiveUntil("\"records\""), "\"next\":1"));
}

TEST(StandinLog, offsetOlderThanRetention_answers410)
{
    startProgram("standin-log", {"--retention-records=2"});
    for (int i = 0; i < 5; ++i) {
        callHttp("POST", base + "/v1/records", "r");
    }
    const HttpResponse response = callHttp("GET", base + "/v1/records?from=0");
    LONGS_EQUAL(410, response.status);
    LONGS_EQUAL(3, Json::parse(response.body)["first"].get<int>());
}

TEST(StandinLog, answerDropped_recordIsAppended)
{
    startProgram("standin-log");
    post("/control/faults", {{"drop_answers", 1}});
    LONGS_EQUAL(-1, callHttp("POST", base + "/v1/records", "doubtful").status);
    LONGS_EQUAL(1, getJson(base + "/v1/records?from=0")["next"].get<int>());
}

TEST(StandinLog, down_nothingIsAppendedUntilItIsUp)
{
    startProgram("standin-log");
    post("/control/faults", {{"down", true}});
    LONGS_EQUAL(-1, callHttp("POST", base + "/v1/records", "lost").status);
    post("/control/faults", {{"down", false}});
    LONGS_EQUAL(0, getJson(base + "/v1/records?from=0")["next"].get<int>());
}

TEST(StandinLog, silent_openConnectionHangsAndNewOneWorks)
{
    startProgram("standin-log");
    RawConnection old(port());
    const std::string request = "GET /v1/records?from=0 HTTP/1.1\r\nHost: a\r\n\r\n";
    old.send(request);
    old.receiveUntil("records");
    post("/control/faults", {{"silent", true}});
    old.send(request);
    LONGS_EQUAL(200, callHttp("GET", base + "/v1/records?from=0").status);
    // The old request was received before the answered one was sent, and holds no answer still.
    CHECK_FALSE(old.readable());
}

TEST_GROUP_BASE(StandinHosts, StandinFixture){};

TEST(StandinHosts, hostPutAndRemoved_listFollows)
{
    startProgram("standin-hosts", {"--lag-ms=0"});
    const Json host = {{"host", "a"}, {"address", "127.0.0.1:1"}, {"domain", "d"}, {"role", "agent"}, {"pool", "p"}};
    LONGS_EQUAL(200, callHttp("PUT", base + "/v1/hosts/a", host.dump()).status);
    STRCMP_EQUAL("live", getJson(base + "/v1/hosts")["hosts"][0]["state"].get<std::string>().c_str());
    LONGS_EQUAL(400, callHttp("PUT", base + "/v1/hosts/b", host.dump()).status);
    callHttp("DELETE", base + "/v1/hosts/a");
    LONGS_EQUAL(0, getJson(base + "/v1/hosts")["hosts"].size());
}

TEST_GROUP_BASE(StandinEngine, StandinFixture){};

TEST(StandinEngine, loadBeyondMemory_refusedAndNeverOvercommitted)
{
    startProgram("standin-engine", {"--memory-mb=100"});
    LONGS_EQUAL(200, loadModel("a", 60, 1).status);
    LONGS_EQUAL(507, loadModel("b", 60, 2).status);
    LONGS_EQUAL(200, post("/v1/orders/unload", {{"model", "a"}, {"fencing", 3}}).status);
    LONGS_EQUAL(200, loadModel("b", 60, 4).status);
    const Json stats = getJson(base + "/control/stats");
    LONGS_EQUAL(60, stats["most_used_mb"].get<int>());
    LONGS_EQUAL(1, stats["loads"]["b"].get<int>());
}

TEST(StandinEngine, oldFencingNumber_refusedUnlessIgnored)
{
    startProgram("standin-engine");
    loadModel("a", 1, 9);
    LONGS_EQUAL(409, post("/v1/orders/unload", {{"model", "a"}, {"fencing", 8}}).status);
    startProgram("standin-engine", {"--ignore-fencing"});
    loadModel("a", 1, 9);
    LONGS_EQUAL(200, post("/v1/orders/unload", {{"model", "a"}, {"fencing", 8}}).status);
}

TEST(StandinEngine, wholeAndStreamedAnswer_belongToThePrompt)
{
    startProgram("standin-engine", {"--first-token-ms=0"});
    loadModel("a", 1, 1);
    loadModel("a", 1, 1, "x");
    const HttpResponse whole = post("/v1/chat/completions", chat("a/x", "hello", false));
    LONGS_EQUAL(200, whole.status);
    const Json answer = Json::parse(whole.body);
    STRCMP_EQUAL(expectedAnswer("a/x", "hello", 5).c_str(),
                 answer["choices"][0]["message"]["content"].get<std::string>().c_str());
    LONGS_EQUAL(5, answer["usage"]["completion_tokens"].get<int>());
    const HttpResponse streamed = post("/v1/chat/completions", chat("a/x", "hello", true));
    CHECK(absl::EndsWith(streamed.body, "data: [DONE]\n\n"));
    CHECK(absl::StrContains(streamed.body, "completion_tokens"));
}

TEST(StandinEngine, resumedStream_startsAfterTheEventsReceived)
{
    startProgram("standin-engine");
    loadModel("a", 1, 1);
    const HttpFields name = {{"X-Request-Id", "r1"}};
    const std::string all = post("/v1/chat/completions", chat("a", "hi", true), name).body;
    const HttpFields resume = {{"X-Request-Id", "r1"}, {"X-Resume-From", "2"}};
    const std::string rest = post("/v1/chat/completions", chat("a", "hi", true), resume).body;
    CHECK(absl::EndsWith(all, rest));
    CHECK(rest.size() < all.size());
}

TEST(StandinEngine, cancelledRequest_endsEarly)
{
    startProgram("standin-engine", {"--tokens-per-second=0.01"});
    loadModel("a", 1, 1);
    RawConnection caller(port());
    const std::string body = chat("a", "hi", true).dump();
    caller.send(absl::StrCat("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Request-Id: r1\r\nContent-Length: ",
                             body.size(),
                             "\r\n\r\n",
                             body));
    caller.receiveUntil("data:");
    callHttp("POST", base + "/v1/requests/r1/cancel");
    CHECK(caller.closedByPeer());
    LONGS_EQUAL(1, getJson(base + "/control/stats")["cancelled"].get<int>());
}

TEST(StandinEngine, crashMarkerInRequest_endsTheProcess)
{
    startProgram("standin-engine", {"--crash-marker=poison"});
    loadModel("a", 1, 1);
    LONGS_EQUAL(-1, post("/v1/chat/completions", chat("a", "poison", false)).status);
    CHECK(process->wait() != 0);
}

TEST(StandinEngine, receivedBytes_holdHeadersAndBody)
{
    startProgram("standin-engine");
    post("/v1/chat/completions", chat("none", "the prompt", false), {{"X-Mark", "seen"}});
    const std::string received = callHttp("GET", base + "/control/received").body;
    CHECK(absl::StrContains(received, "x-mark: seen"));
    CHECK(absl::StrContains(received, "the prompt"));
}

TEST(StandinEngine, weightStoreDown_loadFailsAndMemoryIsFree)
{
    startProgram("standin-weights", {"--adapter-ms=0"});
    const std::string weights = base;
    const std::unique_ptr<ChildProcess> store = std::move(process);
    startProgram("standin-engine", {"--weights-url=" + weights});
    LONGS_EQUAL(200, loadModel("a", 10, 1).status);
    callHttp("POST", weights + "/control/faults", R"({"down": true})");
    LONGS_EQUAL(502, loadModel("b", 10, 1).status);
    LONGS_EQUAL(10, getJson(base + "/v1/inventory")["used_mb"].get<int>());
    LONGS_EQUAL(1, getJson(weights + "/control/stats")["model_loads"].get<int>());
}

TEST_GROUP_BASE(StandinService, StandinFixture){};

TEST(StandinService, answerDropped_effectIsCounted)
{
    startProgram("standin-service");
    post("/control/faults", {{"drop_answers", 1}});
    const HttpFields key = {{"Idempotency-Key", "k1"}};
    LONGS_EQUAL(-1, post("/couriers", {{"parcel", 1}}, key).status);
    LONGS_EQUAL(200, post("/couriers", {{"parcel", 1}}, key).status);
    LONGS_EQUAL(2, getJson(base + "/control/executions")["executions"]["k1"].get<int>());
}

TEST(StandinService, crashAfterEffect_effectIsPrinted)
{
    startProgram("standin-service");
    post("/control/faults", {{"crash_after_effect", true}});
    LONGS_EQUAL(-1, post("/couriers", {{"parcel", 1}}, {{"Idempotency-Key", "k1"}}).status);
    CHECK(process->wait() != 0);
    CHECK(process->waitForOutput("\"executed\":\"k1\""));
}
