#include "httpcalls.h"
#include "rawconnection.h"
#include "samplefleet.h"

#include <celeryroute/detail/base/digest.h>
#include <standins/generation.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <atomic>
#include <csignal>
#include <functional>
#include <memory>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using Json = nlohmann::json;

namespace {

constexpr unsigned Tokens = 8;
constexpr Duration HangGuard = std::chrono::seconds(30);

/// The sample fleet and callers of it.
class WholePathFixture : public Utest
{
public:
    void startFleet(DeploymentSpec spec = SampleFleet::defaultSpec())
    {
        fleet = std::make_unique<SampleFleet>(std::move(spec));
    }

    static HttpFields keyed(const std::string &key, HttpFields headers = {})
    {
        headers["authorization"] = "Bearer " + key;
        headers["content-type"] = "application/json";
        return headers;
    }

    static Json chat(const std::string &model, const std::string &prompt, bool stream, unsigned tokens = Tokens)
    {
        const Json message = {{"role", "user"}, {"content", prompt}};
        return {{"model", model}, {"messages", Json::array({message})}, {"max_tokens", tokens}, {"stream", stream}};
    }

    HttpResponse
    sendChat(const std::string &prompt, bool stream = false, const std::string &model = "oak", std::size_t entry = 0)
    {
        return callHttp("POST",
                        fleet->entryUrl(entry) + "/v1/chat/completions",
                        chat(model, prompt, stream).dump(),
                        keyed(SampleFleet::HotelKey));
    }

    HttpResponse book(const std::string &key, const std::string &parcel, std::size_t entry = 0)
    {
        return callHttp("POST",
                        fleet->entryUrl(entry) + "/couriers",
                        Json{{"parcel", parcel}}.dump(),
                        keyed(SampleFleet::HotelKey, {{"idempotency-key", key}}));
    }

    static int codeOf(const HttpResponse &response)
    {
        const Json json = Json::parse(response.body, nullptr, false);
        const Json::json_pointer code("/error/code");
        return !json.is_discarded() && json.contains(code) ? json[code].get<int>() : -1;
    }

    static std::string runOf(const HttpResponse &response)
    {
        const Json json = Json::parse(response.body, nullptr, false);
        const Json::json_pointer run("/error/run");
        return !json.is_discarded() && json.contains(run) ? json[run].get<std::string>() : "absent";
    }

    static std::string answerText(const HttpResponse &response)
    {
        const Json json = Json::parse(response.body, nullptr, false);
        const Json::json_pointer content("/choices/0/message/content");
        return !json.is_discarded() && json.contains(content) ? json[content].get<std::string>() : response.body;
    }

    /// A connection with an endless stream on it, after its first token.
    std::unique_ptr<RawConnection> openStream(const std::string &key, unsigned tokens)
    {
        const std::string url = fleet->entryUrl();
        auto caller = std::make_unique<RawConnection>(
            static_cast<std::uint16_t>(std::stoi(url.substr(url.rfind(':') + 1))));
        const std::string body = chat("oak", "a long story", true, tokens).dump();
        caller->send(absl::StrCat("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ",
                                  key,
                                  "\r\nContent-Type: application/json\r\nContent-Length: ",
                                  body.size(),
                                  "\r\n\r\n",
                                  body));
        caller->receiveUntil("w1");
        return caller;
    }

    /// Bookings that reached the service; calls of /prices are not counted.
    std::uint64_t courierExecutions()
    {
        const std::string output = fleet->deployment().workers().back().target->output();
        std::uint64_t count = 0;
        for (const absl::string_view line : absl::StrSplit(output, '\n')) {
            count += absl::StrContains(line, "\"path\":\"/couriers") ? 1 : 0;
        }
        return count;
    }

    /// Waits for an event that another process brings about; false after the hang guard.
    static bool waitFor(const std::function<bool()> &happened)
    {
        const TimePoint giveUp = MonotonicClock::now() + HangGuard;
        while (!happened()) {
            if (MonotonicClock::now() > giveUp) {
                return false;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return true;
    }

    std::unique_ptr<SampleFleet> fleet;
};

} // namespace

TEST_GROUP_BASE(WholePath, WholePathFixture){};

TEST(WholePath, chatThroughEachEntry_answersBelongToThePrompts)
{
    startFleet();
    for (const std::size_t entry : {0U, 1U}) {
        for (const char *model : {"oak", "pine", "oak/wax"}) {
            const std::string prompt = absl::StrCat("prompt ", entry, " for ", model);
            const HttpResponse whole = sendChat(prompt, false, model, entry);
            LONGS_EQUAL(200, whole.status);
            STRCMP_EQUAL(expectedAnswer(model, prompt, Tokens).c_str(), answerText(whole).c_str());
            const HttpResponse streamed = sendChat(prompt, true, model, entry);
            LONGS_EQUAL(200, streamed.status);
            CHECK(absl::EndsWith(streamed.body, "data: [DONE]\n\n"));
            CHECK(absl::StrContains(streamed.body, generateTokens({model, prompt, Tokens, true}).front()));
        }
    }
}

TEST(WholePath, burstOnColdModel_isLoadedOnce)
{
    startFleet();
    constexpr int Callers = 20;
    std::vector<std::thread> callers;
    callers.reserve(Callers);
    std::atomic<int> answered = 0;
    for (int i = 0; i < Callers; ++i) {
        callers.emplace_back([this, i, &answered] {
            const std::string prompt = absl::StrCat("caller ", i);
            const HttpResponse response = sendChat(prompt, false, "teak", static_cast<std::size_t>(i % 2));
            answered += answerText(response) == expectedAnswer("teak", prompt, Tokens) ? 1 : 0;
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    LONGS_EQUAL(Callers, answered.load());
    std::uint64_t loads = 0;
    for (const Deployment::Worker &worker : fleet->deployment().workers()) {
        if (worker.host.pool == "advisor") {
            const Json stats = getJson(worker.targetUrl + "/control/stats");
            loads += stats["loads"].value("teak", std::uint64_t{0});
            CHECK(stats["most_used_mb"].get<int>() <= 1000);
            LONGS_EQUAL(0, stats["memory_refusals"].get<int>());
        }
    }
    LONGS_EQUAL(1, loads);
}

TEST(WholePath, badRequests_answerWithStatusCodeAndRunState)
{
    startFleet();
    const std::string chatUrl = fleet->entryUrl() + "/v1/chat/completions";
    const std::string good = chat("oak", "hi", false).dump();
    const HttpFields shop = keyed(SampleFleet::ShopKey);
    struct Case {
        std::string method;
        std::string url;
        std::string body;
        HttpFields headers;
        int status;
        ResultCode code;
    };
    const std::vector<Case> cases = {
        {"POST", chatUrl, good, {}, 401, ResultCode::KeyMissing},
        {"POST", chatUrl, good, keyed("nonsense"), 401, ResultCode::KeyUnknown},
        {"POST", chatUrl, "{", shop, 400, ResultCode::RequestMalformed},
        {"POST", chatUrl, R"({"model": 7})", shop, 400, ResultCode::RequestMalformed},
        {"POST", chatUrl, chat("no-such", "hi", false).dump(), shop, 404, ResultCode::ModelUnknown},
        {"POST", chatUrl, std::string(5U << 20U, 'x'), shop, 413, ResultCode::RequestTooLarge},
        {"POST",
         chatUrl,
         good,
         keyed(SampleFleet::ShopKey, {{"x-deadline-ms", "soon"}}),
         400,
         ResultCode::DeadlineInvalid},
        {"POST", fleet->entryUrl() + "/couriers", "{}", shop, 403, ResultCode::RouteForbidden},
        {"POST",
         fleet->entryUrl() + "/couriers",
         "{}",
         keyed(SampleFleet::HotelKey),
         400,
         ResultCode::IdempotencyKeyMissing},
        {"POST", fleet->entryUrl() + "/nowhere", "{}", shop, 404, ResultCode::RouteUnknown},
        {"DELETE", fleet->entryUrl() + "/v1/models", "", shop, 405, ResultCode::MethodNotAllowed},
    };
    for (const Case &bad : cases) {
        const HttpResponse response = callHttp(bad.method, bad.url, bad.body, bad.headers);
        LONGS_EQUAL(bad.status, response.status);
        LONGS_EQUAL(static_cast<int>(bad.code), codeOf(response));
        STRCMP_EQUAL("not_run", runOf(response).c_str());
    }
    LONGS_EQUAL(200, sendChat("after all that").status);
}

TEST(WholePath, modelList_holdsWhatTheKeyMayCall)
{
    startFleet();
    const HttpResponse listed = callHttp("GET", fleet->entryUrl() + "/v1/models", "", keyed(SampleFleet::HotelKey));
    LONGS_EQUAL(200, listed.status);
    CHECK(absl::StrContains(listed.body, "oak/wax"));
    const HttpResponse open = callHttp("GET", fleet->entryUrl() + "/v1/models");
    CHECK_FALSE(absl::StrContains(open.body, "oak"));
}

TEST(WholePath, openRoute_needsNoKey)
{
    startFleet();
    LONGS_EQUAL(200, callHttp("GET", fleet->entryUrl() + "/prices/oak").status);
}

TEST(WholePath, bookingRepeatedAtBothEntries_runsOnceAndAnswersAlike)
{
    startFleet();
    const HttpResponse first = book("booking-1", "parcel 1", 0);
    LONGS_EQUAL(200, first.status);
    for (const std::size_t entry : {0U, 1U}) {
        const HttpResponse repeat = book("booking-1", "parcel 1", entry);
        LONGS_EQUAL(200, repeat.status);
        STRCMP_EQUAL(first.body.c_str(), repeat.body.c_str());
    }
    const HttpResponse other = book("booking-1", "another parcel", 1);
    LONGS_EQUAL(422, other.status);
    LONGS_EQUAL(static_cast<int>(ResultCode::IdempotencyKeyReused), codeOf(other));
    LONGS_EQUAL(1, courierExecutions());
}

TEST(WholePath, bookingsOfOneKeyAtOnce_runOnce)
{
    startFleet();
    std::vector<std::thread> callers;
    std::atomic<int> answered = 0;
    for (std::size_t i = 0; i < 8; ++i) {
        callers.emplace_back(
            [this, i, &answered] { answered += book("booking-2", "parcel 2", i % 2).status == 200 ? 1 : 0; });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    CHECK(answered.load() >= 1);
    LONGS_EQUAL(1, courierExecutions());
}

TEST(WholePath, bookingAnswerLost_isNotRunAgain)
{
    startFleet();
    callHttp("POST", fleet->deployment().workers().back().targetUrl + "/control/faults", R"({"drop_answers": 1})");
    const HttpResponse first = book("booking-3", "parcel 3");
    CHECK(first.status >= 500);
    STRCMP_EQUAL("unknown", runOf(first).c_str());
    const HttpResponse repeat = book("booking-3", "parcel 3", 1);
    CHECK(repeat.status != 200);
    LONGS_EQUAL(1, courierExecutions());
}

TEST(WholePath, logDown_chatGoesOnAndBookingIsRefusedAsNotRun)
{
    startFleet();
    LONGS_EQUAL(200, sendChat("warm").status);
    callHttp("POST", fleet->deployment().logUrl() + "/control/faults", R"({"down": true})");
    LONGS_EQUAL(200, sendChat("during the outage").status);
    const HttpResponse refused = book("booking-4", "parcel 4");
    LONGS_EQUAL(503, refused.status);
    STRCMP_EQUAL("not_run", runOf(refused).c_str());
    LONGS_EQUAL(0, courierExecutions());
}

TEST(WholePath, anyCall_targetsSeeNoKey)
{
    startFleet();
    LONGS_EQUAL(200, sendChat("first").status);
    LONGS_EQUAL(200, sendChat("second", true).status);
    LONGS_EQUAL(200, book("booking-5", "parcel 5").status);
    const std::string received = fleet->receivedByTargets();
    CHECK(absl::StrContains(received, "second"));
    CHECK(absl::StrContains(received, "parcel 5"));
    CHECK_FALSE(absl::StrContains(received, SampleFleet::HotelKey));
    CHECK_FALSE(absl::StrContains(received, toHex(sha256(std::string(SampleFleet::HotelKey)))));
    CHECK_FALSE(absl::StrContains(received, "authorization"));
}

TEST(WholePath, keyWithdrawnDuringStream_streamEndsAndKeyIsRefused)
{
    startFleet();
    const std::unique_ptr<RawConnection> caller = openStream(SampleFleet::ShopKey, 8000);
    fleet->withdrawKey(SampleFleet::ShopKey);
    const std::string rest = caller->receiveUntil("\"code\":306");
    CHECK(absl::StrContains(rest, "\"code\":306"));
    CHECK_FALSE(absl::StrContains(rest, "[DONE]"));
    const HttpResponse refused = callHttp("POST",
                                          fleet->entryUrl(0) + "/v1/chat/completions",
                                          chat("oak", "hi", false).dump(),
                                          keyed(SampleFleet::ShopKey));
    LONGS_EQUAL(401, refused.status);
    LONGS_EQUAL(static_cast<int>(ResultCode::KeyWithdrawn), codeOf(refused));
    LONGS_EQUAL(200, sendChat("the other customer goes on").status);
}

TEST(WholePath, callerLeavesDuringStream_engineIsCancelled)
{
    startFleet();
    openStream(SampleFleet::ShopKey, 8000)->closeNow();
    CHECK(waitFor([this] {
        std::uint64_t cancelled = 0;
        for (const Deployment::Worker &worker : fleet->deployment().workers()) {
            if (worker.host.pool == "advisor") {
                cancelled += getJson(worker.targetUrl + "/control/stats").value("cancelled", std::uint64_t{0});
            }
        }
        return cancelled > 0;
    }));
}

TEST(WholePath, entryStoppedDuringStream_streamIsFinishedFirst)
{
    startFleet();
    const std::unique_ptr<RawConnection> caller = openStream(SampleFleet::ShopKey, 500);
    ChildProcess &entry = *fleet->deployment().entries().front().process;
    entry.signal(SIGTERM);
    CHECK(absl::StrContains(caller->receiveUntil("[DONE]"), "[DONE]"));
    LONGS_EQUAL(0, entry.wait());
}

TEST(WholePath, agentStoppedDuringStream_streamIsFinishedFirst)
{
    startFleet();
    const std::unique_ptr<RawConnection> caller = openStream(SampleFleet::ShopKey, 500);
    for (Deployment::Worker &worker : fleet->deployment().workers()) {
        worker.agent->signal(SIGTERM);
    }
    CHECK(absl::StrContains(caller->receiveUntil("[DONE]"), "[DONE]"));
    for (Deployment::Worker &worker : fleet->deployment().workers()) {
        LONGS_EQUAL(0, worker.agent->wait());
    }
}

TEST(WholePath, operatorsPages_answer)
{
    startFleet();
    LONGS_EQUAL(200, sendChat("count me").status);
    for (const std::string &url : {fleet->entryUrl(), fleet->deployment().workers().front().adminUrl}) {
        LONGS_EQUAL(200, callHttp("GET", url + "/healthz").status);
        LONGS_EQUAL(200, callHttp("GET", url + "/readyz").status);
        CHECK(absl::StrContains(callHttp("GET", url + "/metrics").body, "# TYPE"));
    }
}
