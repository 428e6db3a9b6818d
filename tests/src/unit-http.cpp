#include "rawconnection.h"

#include <celeryroute/detail/http/httpclient.h>
#include <celeryroute/detail/http/httperrorbody.h>
#include <celeryroute/detail/http/httpmulticlient.h>
#include <celeryroute/detail/http/httpserver.h>
#include <celeryroute/detail/http/httpurl.h>
#include <celeryroute/detail/http/requesttarget.h>

#include <absl/strings/str_cat.h>
#include <absl/synchronization/notification.h>

#include <atomic>
#include <mutex>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;

namespace {

constexpr Duration HangGuard = std::chrono::seconds(60);

/// An HTTP server on loopback whose paths behave as their names say, and clients of it.
class HttpFixture : public Utest
{
public:
    void serve(HttpServerSettings settings = {})
    {
        testServer = std::make_unique<HttpServer>(
            std::move(settings),
            [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                answer(request, responder);
            });
        CHECK(handleErrors(
            [this]() -> Result<bool> {
                BOOST_LEAF_CHECK(testServer->start());
                return true;
            },
            [](const Error &) { return false; }));
    }

    void answer(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
    {
        if (request.path == "/held" || request.path == "/stream") {
            if (request.path == "/stream") {
                responder->begin(200, {{"content-type", "text/event-stream"}});
                responder->write("first;");
            }
            const std::lock_guard lock(heldMutex);
            responder->onClosed([this] { callerClosed.Notify(); });
            heldResponder = responder;
        } else if (request.path == "/connection") {
            responder->respond({200, {}, absl::StrCat(request.connection, " number ")});
        } else if (request.path != "/dropped") {
            responder->respond({200, {{"x-method", request.method}}, request.body});
        }
    }

    std::shared_ptr<HttpResponder> waitForHeld()
    {
        while (true) {
            {
                const std::lock_guard lock(heldMutex);
                if (heldResponder) {
                    return heldResponder;
                }
            }
            std::this_thread::yield();
        }
    }

    std::string url(const std::string &path) const
    {
        return absl::StrCat("http://127.0.0.1:", testServer->port(), path);
    }

    HttpCall post(const std::string &path, const std::string &body) const
    {
        HttpCall call;
        call.method = "POST";
        call.url = url(path);
        call.body = body;
        call.totalTimeout = HangGuard;
        return call;
    }

    HttpResponse perform(const HttpCall &call)
    {
        return handleErrors([&] { return blockingClient.perform(call); },
                            [](const Error &error) {
                                return HttpResponse{-1, {}, toString(error)};
                            });
    }

    HttpCallEnd performMulti(HttpMultiClient &client, const HttpCall &call)
    {
        std::optional<HttpCallEnd> end;
        client.start(call, {nullptr, nullptr, [&](const HttpCallEnd &callEnd) { end = callEnd; }});
        while (!end) {
            client.poll(std::chrono::seconds(1));
        }
        return *end;
    }

    void teardown() override
    {
        if (testServer) {
            testServer->stop();
        }
        heldResponder.reset();
        testServer.reset();
    }

    std::unique_ptr<HttpServer> testServer;
    HttpClient blockingClient;
    std::mutex heldMutex;
    std::shared_ptr<HttpResponder> heldResponder;
    absl::Notification callerClosed;
};

} // namespace

TEST_GROUP_BASE(HttpServer, HttpFixture){};

TEST(HttpServer, wholeAnswer_carriesStatusHeadersAndBody)
{
    serve();
    const HttpResponse response = perform(post("/echo", std::string(100'000, 'x')));
    LONGS_EQUAL(200, response.status);
    STRCMP_EQUAL("POST", response.headers.at("x-method").c_str());
    LONGS_EQUAL(100'000, response.body.size());
}

TEST(HttpServer, answerFromAnotherThread_arrives)
{
    serve();
    std::thread answering([this] { waitForHeld()->respond({503, {}, "later"}); });
    const HttpResponse response = perform(post("/held", "{}"));
    answering.join();
    LONGS_EQUAL(503, response.status);
    STRCMP_EQUAL("later", response.body.c_str());
}

TEST(HttpServer, streamedAnswer_arrivesChunkByChunk)
{
    serve();
    HttpMultiClient client;
    std::string received;
    std::optional<HttpCallEnd> end;
    client.start(post("/stream", "{}"),
                 {nullptr,
                  [&](const std::string &data) {
                      received += data;
                      // The next chunk is written only after this one has arrived.
                      if (received.size() < 30) {
                          waitForHeld()->write("chunk;");
                      } else {
                          waitForHeld()->end(true);
                      }
                  },
                  [&](const HttpCallEnd &callEnd) { end = callEnd; }});
    while (!end) {
        client.poll(std::chrono::seconds(1));
    }
    CHECK_FALSE(end->error.has_value());
    STRCMP_EQUAL("first;chunk;chunk;chunk;chunk;", received.c_str());
    CHECK_FALSE(callerClosed.HasBeenNotified());
}

TEST(HttpServer, streamCutByServer_clientSeesFailure)
{
    serve();
    HttpMultiClient client;
    std::optional<HttpCallEnd> end;
    client.start(post("/stream", "{}"),
                 {nullptr,
                  [&](const std::string &) { waitForHeld()->end(false); },
                  [&](const HttpCallEnd &callEnd) { end = callEnd; }});
    while (!end) {
        client.poll(std::chrono::seconds(1));
    }
    CHECK(end->error.has_value());
    CHECK(end->connected);
}

TEST(HttpServer, callerClosesWhileStreamIsQuiet_reportsClosed)
{
    serve();
    RawConnection caller(testServer->port());
    caller.send("GET /stream HTTP/1.1\r\nHost: a\r\n\r\n");
    caller.receiveUntil("first;");
    caller.closeNow();
    CHECK(callerClosed.WaitForNotificationWithTimeout(absl::Seconds(60)));
    CHECK(waitForHeld()->closed());
    waitForHeld()->write("into the void");
    waitForHeld()->end(true);
}

TEST(HttpServer, callerClosesBeforeAnswer_reportsClosed)
{
    serve();
    RawConnection caller(testServer->port());
    caller.send("GET /held HTTP/1.1\r\nHost: a\r\n\r\n");
    waitForHeld();
    caller.closeNow();
    CHECK(callerClosed.WaitForNotificationWithTimeout(absl::Seconds(60)));
    waitForHeld()->respond({});
}

TEST(HttpServer, cutBeforeHead_callerGetsNoByte)
{
    serve();
    RawConnection caller(testServer->port());
    caller.send("GET /held HTTP/1.1\r\nHost: a\r\n\r\n");
    waitForHeld()->end(false);
    STRCMP_EQUAL("", caller.receiveUntil("\r\n").c_str());
    CHECK_FALSE(callerClosed.HasBeenNotified());
}

TEST(HttpServer, twoRequestsOnOneConnection_haveTheSameNumber)
{
    serve();
    RawConnection caller(testServer->port());
    const std::string request = "GET /connection HTTP/1.1\r\nHost: a\r\n\r\n";
    caller.send(request);
    const std::string first = caller.receiveUntil("number ");
    caller.send(request);
    const std::string second = caller.receiveUntil("number ");
    RawConnection other(testServer->port());
    other.send(request);
    const std::string third = other.receiveUntil("number ");
    const auto number = [](const std::string &answer) { return answer.substr(answer.rfind("\r\n")); };
    STRCMP_EQUAL(number(first).c_str(), number(second).c_str());
    CHECK(number(first) != number(third));
}

TEST(HttpServer, responderDestroyedUnanswered_answers500)
{
    serve();
    LONGS_EQUAL(500, perform(post("/dropped", "{}")).status);
}

TEST(HttpServer, slowReader_pendingBytesGrowAndReaderGetsAll)
{
    serve();
    RawConnection caller(testServer->port());
    caller.send("GET /stream HTTP/1.0\r\nHost: a\r\n\r\n");
    const std::shared_ptr<HttpResponder> responder = waitForHeld();
    // More than the socket buffers of both sides can take.
    constexpr std::size_t BlockBytes = 1U << 20U;
    for (int i = 0; i < 64; ++i) {
        responder->write(std::string(BlockBytes, 'x'));
    }
    CHECK(responder->pendingBytes() > BlockBytes);
    responder->write("last;");
    responder->end(true);
    CHECK(caller.receiveUntil("last;").size() > 64 * BlockBytes);
}

TEST(HttpServer, callerReadsNothingOfAStream_isCutAndReported)
{
    HttpServerSettings settings;
    settings.idleTimeout = std::chrono::milliseconds(200);
    serve(settings);
    RawConnection caller(testServer->port());
    caller.send("GET /stream HTTP/1.1\r\nHost: a\r\n\r\n");
    // More than the socket buffers of both sides can take.
    waitForHeld()->write(std::string(64U << 20U, 'x'));
    CHECK(callerClosed.WaitForNotificationWithTimeout(absl::Seconds(60)));
    CHECK(waitForHeld()->closed());
    LONGS_EQUAL(0, waitForHeld()->pendingBytes());
}

TEST(HttpServer, announcedBodyTooLarge_answers413WithCode)
{
    HttpServerSettings settings;
    settings.maxBodyBytes = 1000;
    serve(settings);
    RawConnection caller(testServer->port());
    caller.send("POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n");
    const std::string answer = caller.receiveUntil("\"type\"");
    CHECK(answer.find("HTTP/1.1 413") == 0);
    CHECK(answer.find("302") != std::string::npos);
}

TEST(HttpServer, chunkedBodyTooLarge_answers413)
{
    HttpServerSettings settings;
    settings.maxBodyBytes = 1000;
    serve(settings);
    RawConnection caller(testServer->port());
    caller.send("POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5dc\r\n" + std::string(1500, 'x')
                + "\r\n0\r\n\r\n");
    CHECK(caller.receiveUntil("RequestTooLarge").find("HTTP/1.1 413") == 0);
}

TEST(HttpServer, bodyWithoutEnd_connectionIsCut)
{
    HttpServerSettings settings;
    settings.maxBodyBytes = 1000;
    serve(settings);
    RawConnection caller(testServer->port());
    caller.send("POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n"
                + std::string(5000, 'x'));
    CHECK(caller.closedByPeer());
}

TEST(HttpServer, headerTooLarge_answers431)
{
    HttpServerSettings settings;
    settings.maxHeaderBytes = 4096;
    serve(settings);
    for (const std::size_t bytes : {5000U, 60'000U}) {
        RawConnection caller(testServer->port());
        caller.send("GET /echo HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(bytes, 'x') + "\r\n\r\n");
        CHECK(caller.receiveUntil("\r\n\r\n").find("HTTP/1.1 431") == 0);
    }
    LONGS_EQUAL(200, perform(post("/echo", "{}")).status);
}

TEST(HttpServer, bodyWhoseEndTwoReadersCouldSeeElsewhere_isRefusedAndNothingBehindItIsRead)
{
    serve();
    const std::string smuggled = "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\nsmuggled";
    const std::string chunks = "5\r\nabcde\r\n0\r\n\r\n";
    for (const char *fields : {"Content-Length: 5\r\nContent-Length: 6",
                               "Content-Length: 5\r\nX-Other: a\r\ncontent-length: 5",
                               "Content-Length: 5, 5",
                               "Content-Length: +5",
                               "Content-Length: 5\r\nTransfer-Encoding: chunked",
                               "Transfer-Encoding: chunked\r\nContent-Length: 0",
                               "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                               "Transfer-Encoding: gzip, chunked",
                               "Transfer-Encoding: identity"}) {
        const bool chunked = std::string(fields).find("chunked") != std::string::npos;
        RawConnection caller(testServer->port());
        caller.send(absl::StrCat("POST /echo HTTP/1.1\r\nHost: a\r\n",
                                 fields,
                                 "\r\n\r\n",
                                 chunked ? chunks : "abcde",
                                 smuggled));
        const std::string answer = caller.receiveUntil("no end");
        CHECK_TEXT(answer.find("HTTP/1.1 400") == 0, fields);
        CHECK_TEXT(answer.find("HTTP/1.1 200") == std::string::npos, fields);
    }
}

TEST(HttpServer, malformedBytes_serverGoesOn)
{
    serve();
    const std::vector<std::string> inputs = {
        std::string(4, '\0') + "\r\n\r\n",
        "\r\n\r\n\r\n",
        "GET\r\n\r\n",
        "GET / HTTP/9.9\r\n\r\n",
        "GET / HTTP/1.1\r\nno colon here\r\n\r\n",
        "GET / HTTP/1.1\r\n: empty name\r\n\r\n",
        "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
        "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999999\r\n\r\n",
        "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: ten\r\n\r\n",
        "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
        "POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
        "POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gibberish\r\n\r\n",
        "GET /%zz%00%ff HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET /?%=%&&&=== HTTP/1.1\r\nHost: a\r\n\r\n",
        "\x16\x03\x01\x02\x05\x01\x05\x01\xfc\x03\x03",
        std::string(100'000, 'A'),
        std::string(1000, '\n'),
    };
    for (const std::string &input : inputs) {
        RawConnection caller(testServer->port());
        caller.send(input);
        caller.closeNow();
    }
    LONGS_EQUAL(200, perform(post("/echo", "{}")).status);
}

TEST(HttpServer, callerDripsBytes_connectionIsCut)
{
    HttpServerSettings settings;
    settings.idleTimeout = std::chrono::milliseconds(1200);
    serve(settings);
    RawConnection caller(testServer->port());
    caller.send("POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n");
    // Each byte restarts a plain idle timeout, so only a limit on the whole request ends this loop.
    while (caller.send("x")) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    LONGS_EQUAL(200, perform(post("/echo", "{}")).status);
}

TEST(HttpServer, connectionsAboveLimit_answers503)
{
    HttpServerSettings settings;
    settings.maxConnections = 2;
    serve(settings);
    RawConnection first(testServer->port());
    RawConnection second(testServer->port());
    const std::string request = "GET /echo HTTP/1.1\r\nHost: a\r\n\r\n";
    first.send(request);
    CHECK(first.receiveUntil("\r\n\r\n").find("HTTP/1.1 200") == 0);
    second.send(request);
    CHECK(second.receiveUntil("\r\n\r\n").find("HTTP/1.1 200") == 0);
    RawConnection third(testServer->port());
    third.send(request);
    const std::string refusal = third.receiveUntil("TooManyConnections");
    CHECK(refusal.find("HTTP/1.1 503") == 0);
    CHECK(refusal.find("not_run") != std::string::npos);
}

TEST(HttpServer, stopAccepting_openStreamGoesOnAndNewCallersAreRefused)
{
    serve();
    RawConnection caller(testServer->port());
    caller.send("GET /stream HTTP/1.1\r\nHost: a\r\n\r\n");
    caller.receiveUntil("first;");
    testServer->stopAccepting();
    CHECK_FALSE(RawConnection(testServer->port()).connected());
    waitForHeld()->write("second;");
    CHECK(caller.receiveUntil("second;").find("second;") != std::string::npos);
}

TEST(HttpServer, stopWithOpenStreams_reportsClosedAndReturns)
{
    serve();
    RawConnection caller(testServer->port());
    caller.send("GET /stream HTTP/1.1\r\nHost: a\r\n\r\n");
    caller.receiveUntil("first;");
    testServer->stop();
    CHECK(callerClosed.HasBeenNotified());
    CHECK(caller.closedByPeer());
    waitForHeld()->write("after the end");
}

TEST(HttpServer, stopWhileMalformedRequestsArrive_isOrderly)
{
    constexpr int Rounds = 80;
    constexpr int Callers = 20;
    for (int round = 0; round < Rounds; ++round) {
        serve();
        for (int i = 0; i < Callers; ++i) {
            RawConnection caller(testServer->port());
            caller.send("POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: ten\r\n\r\n");
        }
        testServer->stop();
    }
}

TEST(HttpServer, portTaken_failsWithPortUnavailable)
{
    serve();
    HttpServerSettings settings;
    settings.port = testServer->port();
    HttpServer other(settings, [](const HttpRequest &, const std::shared_ptr<HttpResponder> &) {});
    const ResultCode code = handleErrors(
        [&]() -> Result<ResultCode> {
            BOOST_LEAF_CHECK(other.start());
            return ResultCode::Ok;
        },
        [](const Error &error) { return error.code; });
    CHECK(code == ResultCode::PortUnavailable);
}

TEST_GROUP(RequestTarget){};

TEST(RequestTarget, pathAndQuery_areDecoded)
{
    struct Row {
        const char *target;
        const char *path;
        HttpFields query;
    };
    const Row rows[] = {
        {"/a/b", "/a/b", {}},
        {"/a%2Fb+c%20d?", "/a/b+c d", {}},
        {"/%zz%4", "/%zz%4", {}},
        {"/?a=1&b=x+y%26z&&c", "/", {{"a", "1"}, {"b", "x y&z"}, {"c", ""}}},
        {"/?a=1&a=2=3", "/", {{"a", "1, 2=3"}}},
    };
    for (const Row &row : rows) {
        HttpRequest request;
        readTarget(row.target, request);
        STRCMP_EQUAL(row.path, request.path.c_str());
        CHECK_TRUE_TEXT(row.query == request.query, row.target);
    }
}

TEST_GROUP(HttpUrl){};

TEST(HttpUrl, urls_areReadOrRefused)
{
    constexpr std::uint32_t Loopback = 0x7f000001;
    const HttpUrl plain{{Loopback, 81}, "127.0.0.1:81", "/"};
    CHECK(parseHttpUrl("http://127.0.0.1:81") == plain);
    CHECK(parseHttpUrl("http://127.0.0.1:81/") == plain);
    const HttpUrl usualPort{{Loopback, 80}, "127.0.0.1", "/?a=b"};
    CHECK(parseHttpUrl("http://127.0.0.1?a=b") == usualPort);
    const HttpUrl path{{Loopback, 81}, "127.0.0.1:81", "/a/b%20?c=/d"};
    CHECK(parseHttpUrl("http://127.0.0.1:81/a/b%20?c=/d") == path);
    for (const char *refused : {"",
                                "127.0.0.1:81",
                                "https://127.0.0.1:81/",
                                "http://",
                                "http://name:81/",
                                "http://127.0.0.1:0/",
                                "http://127.0.0.1:99999/",
                                "http://127.0.0.1:81/a b",
                                "http://127.0.0.1:81/a\r\nX: y"}) {
        CHECK_FALSE_TEXT(parseHttpUrl(refused).has_value(), refused);
    }
}

TEST_GROUP_BASE(HttpMultiClient, HttpFixture){};

TEST(HttpMultiClient, serverSilent_idleTimeoutEndsCall)
{
    serve();
    HttpMultiClient client;
    HttpCall call = post("/held", "{}");
    call.idleTimeout = std::chrono::milliseconds(50);
    const HttpCallEnd end = performMulti(client, call);
    CHECK(end.error.has_value());
    CHECK(end.error->code == ResultCode::TransportFailed);
    CHECK(end.connected);
    CHECK(callerClosed.WaitForNotificationWithTimeout(absl::Seconds(60)));
}

TEST(HttpMultiClient, connection_isKeptUnlessTheCallWantsItsOwn)
{
    serve();
    HttpCall call = post("/connection", "{}");
    const std::string first = perform(call).body;
    STRCMP_EQUAL(first.c_str(), perform(call).body.c_str());
    call.freshConnection = true;
    const std::string fresh = perform(call).body;
    CHECK(first != fresh);
    call.freshConnection = false;
    STRCMP_EQUAL(first.c_str(), perform(call).body.c_str());
}

TEST(HttpMultiClient, serverClosesKeptConnection_nextCallTakesANewOne)
{
    HttpServerSettings settings;
    settings.idleTimeout = std::chrono::milliseconds(50);
    serve(settings);
    HttpMultiClient client;
    CHECK_FALSE(performMulti(client, post("/echo", "{}")).error.has_value());
    std::this_thread::sleep_for(settings.idleTimeout * 4);
    CHECK_FALSE(performMulti(client, post("/echo", "{}")).error.has_value());
}

TEST(HttpMultiClient, serverWithoutEnd_totalTimeoutEndsCall)
{
    serve();
    HttpMultiClient client;
    HttpCall call = post("/stream", "{}");
    call.totalTimeout = std::chrono::milliseconds(100);
    const HttpCallEnd end = performMulti(client, call);
    CHECK(end.error.has_value());
    CHECK(end.error->code == ResultCode::TransportFailed);
    CHECK(callerClosed.WaitForNotificationWithTimeout(absl::Seconds(60)));
}

TEST(HttpMultiClient, connectionRefused_reportsNotConnected)
{
    serve();
    HttpCall call = post("/echo", "{}");
    testServer->stop();
    HttpMultiClient client;
    const HttpCallEnd end = performMulti(client, call);
    CHECK(end.error.has_value());
    CHECK(end.error->code == ResultCode::PlatformUnavailable);
    CHECK_FALSE(end.connected);
}

TEST(HttpMultiClient, cancelInsideObserver_noFurtherCallAndServerSeesClose)
{
    serve();
    HttpMultiClient client;
    HttpMultiClient::CallId id = 0;
    bool called = false;
    bool ended = false;
    id = client.start(post("/stream", "{}"),
                      {nullptr,
                       [&](const std::string &) {
                           called = true;
                           client.cancel(id);
                       },
                       [&](const HttpCallEnd &) { ended = true; }});
    while (!called) {
        client.poll(std::chrono::seconds(1));
    }
    CHECK(callerClosed.WaitForNotificationWithTimeout(absl::Seconds(60)));
    LONGS_EQUAL(0, client.running());
    CHECK_FALSE(ended);
}

TEST(HttpMultiClient, manyCallsAtOnce_eachGetsItsOwnAnswer)
{
    serve();
    HttpMultiClient client;
    constexpr int Calls = 200;
    std::vector<std::string> bodies(Calls);
    int ended = 0;
    for (int i = 0; i < Calls; ++i) {
        client.start(post("/echo", absl::StrCat("body ", i)),
                     {nullptr,
                      [&bodies, i](const std::string &data) { bodies[static_cast<std::size_t>(i)] += data; },
                      [&ended](const HttpCallEnd &) { ++ended; }});
    }
    while (ended < Calls) {
        client.poll(std::chrono::seconds(1));
    }
    for (int i = 0; i < Calls; ++i) {
        STRCMP_EQUAL(absl::StrCat("body ", i).c_str(), bodies[static_cast<std::size_t>(i)].c_str());
    }
}

TEST(HttpMultiClient, wakeUpFromAnotherThread_endsPoll)
{
    HttpMultiClient client;
    std::thread waking([&client] { client.wakeUp(); });
    // Without the wake-up the poll would outlast the time limit of the test program.
    client.poll(std::chrono::minutes(10));
    waking.join();
}

TEST(HttpMultiClient, reusedConnectionDiesDuringPost_requestIsNotSentTwice)
{
    std::atomic<int> executions = 0;
    std::mutex mutex;
    std::vector<std::shared_ptr<HttpResponder>> responders;
    HttpServer server({}, [&](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
        if (request.path == "/warm") {
            responder->respond({});
            return;
        }
        ++executions;
        responder->begin(200, {});
        responder->end(false);
    });
    handleErrors([&]() -> Result<void> { return server.start(); }, [](const Error &) {});
    HttpMultiClient client;
    HttpCall call;
    call.method = "POST";
    call.totalTimeout = HangGuard;
    call.url = absl::StrCat("http://127.0.0.1:", server.port(), "/warm");
    CHECK_FALSE(performMulti(client, call).error.has_value());
    call.url = absl::StrCat("http://127.0.0.1:", server.port(), "/fatal");
    CHECK(performMulti(client, call).error.has_value());
    LONGS_EQUAL(1, executions.load());
}

TEST_GROUP(ErrorResponse){};

TEST(ErrorResponse, messageWithInvalidUtf8_isStillJson)
{
    const HttpResponse response = errorResponse(ResultCode::RequestMalformed, "bad \xff byte", RunState::NotRun);
    LONGS_EQUAL(400, response.status);
    CHECK(response.body.find("\"run\":\"not_run\"") != std::string::npos);
}
