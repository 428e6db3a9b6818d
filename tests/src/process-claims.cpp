#include "httpcalls.h"
#include "samplefleet.h"

#include <celeryroute/resultcode.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <random>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using Json = nlohmann::json;

namespace {

constexpr int DeadlineMs = 4000;

DeploymentSpec couriersOnly(int delayMs)
{
    DeploymentSpec spec = SampleFleet::defaultSpec();
    spec.pools = {{"couriers", false, 1, {absl::StrCat("--delay-ms=", delayMs)}}};
    return spec;
}

Json errorOf(const HttpResponse &response)
{
    const Json json = Json::parse(response.body, nullptr, false);
    return json.is_object() && json.contains("error") ? json["error"] : Json::object();
}

/// Sends one booking request on its own thread.
class Booking
{
public:
    Booking(const std::string &entryUrl, const std::string &key, const std::string &parcel)
        : m_thread([this, entryUrl, key, parcel] { m_answer = send(entryUrl, key, parcel); })
    {}
    ~Booking()
    {
        wait();
    }
    Booking(const Booking &) = delete;
    Booking &operator=(const Booking &) = delete;

    const HttpResponse &wait()
    {
        if (m_thread.joinable()) {
            m_thread.join();
        }
        return m_answer;
    }

    static HttpResponse send(const std::string &entryUrl, const std::string &key, const std::string &parcel)
    {
        return callHttp("POST",
                        entryUrl + "/couriers",
                        Json{{"parcel", parcel}}.dump(),
                        {{"authorization", std::string("Bearer ") + SampleFleet::HotelKey},
                         {"content-type", "application/json"},
                         {"idempotency-key", key},
                         {"x-deadline-ms", std::to_string(DeadlineMs)}});
    }

private:
    HttpResponse m_answer;
    std::thread m_thread;
};

} // namespace

TEST_GROUP(Claims)
{
    std::unique_ptr<SampleFleet> fleet;

    void start(int delayMs = 0)
    {
        fleet = std::make_unique<SampleFleet>(couriersOnly(delayMs));
        // A successful first booking shows that the entry reaches the agent.
        for (std::size_t entry = 0; entry < 2; ++entry) {
            HttpResponse answer;
            answer.status = -1;
            for (int attempt = 0; attempt < 100 && answer.status != 200; ++attempt) {
                answer = book("warm-up", "p", entry);
                std::this_thread::sleep_for(std::chrono::milliseconds(100));
            }
            LONGS_EQUAL(200, answer.status);
        }
    }

    HttpResponse book(const std::string &key, const std::string &parcel = "p", std::size_t entry = 0)
    {
        return Booking::send(fleet->entryUrl(entry), key, parcel);
    }

    Deployment::Worker &courier()
    {
        return fleet->deployment().workers().front();
    }

    int executions(const std::string &key)
    {
        const Json counts = getJson(courier().targetUrl + "/control/executions");
        return counts["executions"].value(key, 0);
    }

    void faultLog(const Json &faults)
    {
        callHttp("POST", fleet->deployment().logUrl() + "/control/faults", faults.dump());
    }

    void expectRefusal(const HttpResponse &response, ResultCode code, const std::string &run)
    {
        const Json error = errorOf(response);
        LONGS_EQUAL(static_cast<int>(code), error.value("code", -1));
        STRCMP_EQUAL(run.c_str(), error.value("run", "absent").c_str());
    }
};

TEST(Claims, repeatAtOtherEntry_getsRecordedAnswer)
{
    start();
    const HttpResponse first = book("k1");
    const HttpResponse repeat = book("k1", "p", 1);
    LONGS_EQUAL(200, first.status);
    STRCMP_EQUAL(first.body.c_str(), repeat.body.c_str());
    LONGS_EQUAL(1, executions("k1"));
    expectRefusal(book("k1", "another parcel", 1), ResultCode::IdempotencyKeyReused, "not_run");
    LONGS_EQUAL(1, executions("k1"));
}

TEST(Claims, repeatAtOtherEntryWhileRunning_runsOnceAndAnswersBoth)
{
    start(500);
    Booking first(fleet->entryUrl(0), "k1", "p");
    Booking second(fleet->entryUrl(1), "k1", "p");
    LONGS_EQUAL(200, first.wait().status);
    LONGS_EQUAL(200, second.wait().status);
    STRCMP_EQUAL(first.wait().body.c_str(), second.wait().body.c_str());
    LONGS_EQUAL(1, executions("k1"));
}

TEST(Claims, logDown_refusesAsNotRunAndRepeatRuns)
{
    start();
    faultLog({{"down", true}});
    expectRefusal(book("k1"), ResultCode::ClaimUnrecorded, "not_run");
    LONGS_EQUAL(0, executions("k1"));
    faultLog({{"down", false}});
    HttpResponse repeat;
    repeat.status = -1;
    for (int attempt = 0; attempt < 20 && repeat.status != 200; ++attempt) {
        repeat = book("k1", "p", 1);
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    LONGS_EQUAL(200, repeat.status);
    LONGS_EQUAL(1, executions("k1"));
}

TEST(Claims, appendResponsesLost_runsOnce)
{
    start();
    faultLog({{"drop_answers", 2}});
    book("k1");
    HttpResponse repeat;
    repeat.status = -1;
    for (int attempt = 0; attempt < 20 && repeat.status != 200; ++attempt) {
        repeat = book("k1", "p", 1);
    }
    LONGS_EQUAL(200, repeat.status);
    LONGS_EQUAL(1, executions("k1"));
}

TEST(Claims, entryKilledAfterDispatch_repeatIsNotRun)
{
    start(1500);
    Booking first(fleet->entryUrl(0), "k1", "p");
    CHECK(courier().target->waitForOutput("\"executed\":\"k1\""));
    fleet->deployment().entries()[0].process->signal(SIGKILL);
    LONGS_EQUAL(-1, first.wait().status);
    expectRefusal(book("k1", "p", 1), ResultCode::ClaimInProgress, "unknown");
    LONGS_EQUAL(1, executions("k1"));
}

TEST(Claims, agentKilledAfterDispatch_isUnknownAndNotRunAgain)
{
    start(1500);
    Booking first(fleet->entryUrl(0), "k1", "p");
    CHECK(courier().target->waitForOutput("\"executed\":\"k1\""));
    fleet->deployment().replaceAgent(courier(), SIGKILL);
    STRCMP_EQUAL("unknown", errorOf(first.wait()).value("run", "absent").c_str());
    expectRefusal(book("k1", "p", 1), ResultCode::OutcomeUnknown, "unknown");
    LONGS_EQUAL(1, executions("k1"));
}

TEST(Claims, targetKilledDuringCall_isUnknownAndNotRunAgain)
{
    start(1500);
    Booking first(fleet->entryUrl(0), "k1", "p");
    CHECK(courier().target->waitForOutput("\"executed\":\"k1\""));
    courier().target->signal(SIGKILL);
    courier().target->wait();
    STRCMP_EQUAL("unknown", errorOf(first.wait()).value("run", "absent").c_str());
    fleet->deployment().restartTarget(courier());
    expectRefusal(book("k1", "p", 1), ResultCode::OutcomeUnknown, "unknown");
    LONGS_EQUAL(0, executions("k1"));
}

TEST(Claims, entryPausedBeyondDeadlineAndResumed_runsOnce)
{
    start(300);
    Booking first(fleet->entryUrl(0), "k1", "p");
    CHECK(courier().target->waitForOutput("\"executed\":\"k1\""));
    fleet->deployment().entries()[0].process->signal(SIGSTOP);
    const HttpResponse during = book("k1", "p", 1);
    expectRefusal(during, ResultCode::ClaimInProgress, "unknown");
    fleet->deployment().entries()[0].process->signal(SIGCONT);
    first.wait();
    book("k1", "p", 1);
    LONGS_EQUAL(1, executions("k1"));
}

TEST(Claims, randomFaults_runNoKeyTwice)
{
    const char *setting = std::getenv("CELERYROUTE_SOAK_CALLS");
    const int calls = setting != nullptr ? std::atoi(setting) : 30;
    constexpr unsigned Seed = 17;
    std::mt19937 random(Seed);
    start(20);
    int faults = 0;
    int unanswered = 0;
    int falseNotRun = 0;
    std::map<std::string, bool> toldRan;
    for (int call = 0; call < calls; ++call) {
        const unsigned fault = random() % 6;
        faults += fault < 3 ? 1 : 0;
        if (fault == 0) {
            faultLog({{"drop_answers", 1 + random() % 2}});
        } else if (fault == 1) {
            faultLog({{"down", true}});
        } else if (fault == 2) {
            fleet->deployment().entries()[random() % 2].process->signal(SIGSTOP);
        }
        const std::string key = absl::StrCat("s", call / 3);
        Booking first(fleet->entryUrl(0), key, "p");
        Booking second(fleet->entryUrl(1), key, "p");
        std::this_thread::sleep_for(std::chrono::milliseconds(random() % 300));
        faultLog({{"down", false}});
        fleet->deployment().entries()[0].process->signal(SIGCONT);
        fleet->deployment().entries()[1].process->signal(SIGCONT);
        for (Booking *booking : {&first, &second}) {
            const HttpResponse &answer = booking->wait();
            unanswered += answer.status < 0 ? 1 : 0;
            toldRan[key] = toldRan[key] || answer.status == 200;
        }
    }
    for (const auto &[key, ran] : toldRan) {
        CHECK(executions(key) <= 1);
        falseNotRun += !ran && executions(key) > 1 ? 1 : 0;
    }
    std::printf("seed %u: %d calls, %d faults, %d unanswered, %d keys\n",
                Seed,
                2 * calls,
                faults,
                unanswered,
                static_cast<int>(toldRan.size()));
    LONGS_EQUAL(0, unanswered);
    LONGS_EQUAL(0, falseNotRun);
}
