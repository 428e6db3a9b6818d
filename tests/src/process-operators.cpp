#include "childprocess.h"
#include "httpcalls.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using Json = nlohmann::json;

TEST_GROUP(Operators)
{
    std::unique_ptr<ChildProcess> log;
    std::string logUrl;
    std::string output;
    std::string errors;

    void setup() override
    {
        log = std::make_unique<ChildProcess>("standin-log", std::vector<std::string>());
        const Json ready = log->waitUntilReady();
        CHECK(ready.is_object());
        logUrl = absl::StrCat("http://", ready["listen"].get<std::string>());
    }

    void teardown() override
    {
        log.reset();
    }

    static std::string example(const std::string &name)
    {
        return std::string(CELERYROUTE_SOURCE_DIR) + "/examples/" + name;
    }

    std::unique_ptr<ChildProcess> start(std::vector<std::string> words) const
    {
        words.insert(words.begin(), "--log-url=" + logUrl);
        return std::make_unique<ChildProcess>("celeryctl", words);
    }

    int finish(ChildProcess & process)
    {
        const int code = process.wait();
        process.waitForEnd();
        output = process.output();
        errors = process.errorOutput();
        return code;
    }

    int run(std::vector<std::string> words)
    {
        return finish(*start(std::move(words)));
    }

    void setFaults(const Json &faults)
    {
        LONGS_EQUAL(200, callHttp("POST", logUrl + "/control/faults", faults.dump()).status);
    }

    std::uint64_t recordsInLog()
    {
        return getJson(logUrl + "/v1/records?from=0&max=1000&wait_ms=0")["next"].get<std::uint64_t>();
    }
};

TEST(Operators, applyWhoseAnswerIsDropped_isSettledAndStandsInTheLogOnce)
{
    setFaults({{"drop_answers", 0}});
    auto apply = start({"apply", example("tana-ridge")});
    LONGS_EQUAL(0, finish(*apply));
    const std::uint64_t before = recordsInLog();
    setFaults({{"drop_answers", 3}});
    // The first dropped answers are those of reads; the reader has to get over them as well.
    LONGS_EQUAL(0, run({"drain", "h1"}));
    LONGS_EQUAL(0, run({"--json", "show", "hosts"}));
    CHECK(Json::parse(output)["hosts"].contains("h1"));
    CHECK(recordsInLog() >= before + 1);
}

TEST(Operators, logStopped_changeIsRefusedAndTakesNoEffectLater)
{
    LONGS_EQUAL(0, run({"apply", example("tana-ridge")}));
    log->signal(SIGKILL);
    log->wait();
    LONGS_EQUAL(3, run({"--timeout-ms=500", "drain", "h1"}));
    CHECK(errors.find("error 401") != std::string::npos);
}

TEST(Operators, logSilentForAWhile_commandWaitsAndGoesOn)
{
    LONGS_EQUAL(0, run({"apply", example("tana-ridge")}));
    setFaults({{"delay_ms", 200}});
    LONGS_EQUAL(0, run({"drain", "h1"}));
    setFaults({{"delay_ms", 0}});
    LONGS_EQUAL(0, run({"--json", "show", "hosts"}));
    CHECK(Json::parse(output)["hosts"].contains("h1"));
}

TEST(Operators, twoThatRace_exactlyOneWinsAndTheLoserIsToldWhatChanged)
{
    // Answers take a while, so that both read the log before either appends.
    setFaults({{"delay_ms", 1000}});
    auto first = start({"apply", example("tana-ridge/customers.yaml")});
    auto second = start({"apply", example("tana-ridge/customers.yaml")});
    const int firstCode = finish(*first);
    const std::string firstErrors = errors;
    const int secondCode = finish(*second);
    LONGS_EQUAL(1, firstCode + secondCode);
    const std::string &loser = firstCode == 1 ? firstErrors : errors;
    CHECK(loser.find("error 208 DeclarationConflict") != std::string::npos);
    CHECK(loser.find("changed meanwhile: customer head-office weight: none -> 1") != std::string::npos);
}
