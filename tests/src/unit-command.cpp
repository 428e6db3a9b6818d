#include "staterecords.h"

#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/cli/command.h>
#include <celeryroute/detail/cli/declarationplan.h>

#include <nlohmann/json.hpp>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace celeryroute::test;
using Json = nlohmann::json;

TEST_GROUP(Command)
{
    MemoryLog log;
    TimePoint now{std::chrono::hours(1)};
    std::ostringstream out;
    std::ostringstream err;
    std::function<void()> onOpen;

    static std::string example(const std::string &name)
    {
        return std::string(CELERYROUTE_SOURCE_DIR) + "/examples/" + name;
    }

    int run(std::vector<std::string> words, bool json = false, bool prune = false)
    {
        CommandOptions options;
        options.words = std::move(words);
        options.author = "test";
        options.json = json;
        options.prune = prune;
        out.str("");
        err.str("");
        const SessionClock clock{[this] { return now += std::chrono::milliseconds(1); },
                                 [this](Duration duration) { now += duration; }};
        CommandContext context{out, err, [this] { return LogClient(log); }, clock, [] { return WallTime(); }};
        return static_cast<int>(runCommand(options, context));
    }

    void applyExample()
    {
        LONGS_EQUAL(0, run({"apply", example("tana-ridge")}));
    }

    Json shown(const std::string &table)
    {
        LONGS_EQUAL(0, run({"show", table}, true));
        return Json::parse(out.str())[table];
    }

    bool logHolds(const std::string &text)
    {
        const ReadOutcome outcome = log.read({0, 1000, 0});
        for (const std::string &record : std::get<LogBatch>(outcome).records) {
            if (record.find(text) != std::string::npos) {
                return true;
            }
        }
        return false;
    }
};

TEST(Command, apply_putsTheExampleInForceOnce)
{
    applyExample();
    CHECK(out.str().find("add pool assay-llm") != std::string::npos);
    CHECK(out.str().find("accepted at offset 0") != std::string::npos);
    LONGS_EQUAL(5, shown("customers").size());
    applyExample();
    STRCMP_EQUAL("nothing to change\n", out.str().c_str());
    LONGS_EQUAL(1, log.next());
}

TEST(Command, applyWithPrune_removesWhatIsNotDeclared)
{
    applyExample();
    LONGS_EQUAL(0, run({"apply", example("mti-finish")}, false, true));
    LONGS_EQUAL(5, shown("routes").size());
    CHECK(shown("pools").contains("stain-advisor"));
    CHECK_FALSE(shown("pools").contains("assay-llm"));
}

TEST(Command, diff_namesChangesAndAppendsNothing)
{
    LONGS_EQUAL(0, run({"diff", example("tana-ridge")}, true));
    LONGS_EQUAL(12, Json::parse(out.str())["changes"].size());
    LONGS_EQUAL(0, log.next());
}

TEST(Command, plannedChange_namesTheFieldsThatDiffer)
{
    StateTables tables;
    CustomerSpec customer = customerSpec("yard");
    tables.customers.edit()["yard"] = {customer, 7};
    Declarations declared;
    customer.weight = 2.5;
    declared.customers["yard"] = customer;
    const std::vector<PlannedChange> plan = planChanges(declared, FleetState(tables), false);
    LONGS_EQUAL(1, plan.size());
    STRCMP_EQUAL("weight: 1 -> 2.5", plan[0].differences.at(0).c_str());
    LONGS_EQUAL(7, plan[0].change.base_revision());
}

TEST(Command, grantedKey_isPrintedOnceAndOnlyItsDigestIsRecorded)
{
    applyExample();
    LONGS_EQUAL(0, run({"key", "grant", "nairobi-yards"}));
    const std::string key = out.str().substr(0, out.str().size() - 1);
    CHECK(key.find('\n') == std::string::npos);
    CHECK_FALSE(logHolds(key));
    CHECK(logHolds(sha256(key)));
    LONGS_EQUAL(0, run({"key", "list"}));
    CHECK(out.str().find(key) == std::string::npos);
    CHECK(out.str().find("nairobi-yards active") != std::string::npos);
    LONGS_EQUAL(0, run({"key", "withdraw", toHex(sha256(key)).substr(0, 16)}));
    LONGS_EQUAL(0, run({"key", "list", "nairobi-yards"}));
    CHECK(out.str().find("withdrawn") != std::string::npos);
}

TEST(Command, keyForAnUnknownCustomer_isRefusedAndNotPrinted)
{
    applyExample();
    LONGS_EQUAL(1, run({"key", "grant", "nobody"}));
    STRCMP_EQUAL("", out.str().c_str());
    CHECK(err.str().find("error 206") != std::string::npos);
    LONGS_EQUAL(1, run({"key", "withdraw", "cr-unknown"}));
}

TEST(Command, logDown_isUnreachableAndNothingIsPrintedAsDone)
{
    log.setDown(true);
    LONGS_EQUAL(3, run({"apply", example("tana-ridge")}));
    CHECK(err.str().find("error 401") != std::string::npos);
    LONGS_EQUAL(3, run({"show"}, true));
    LONGS_EQUAL(401, Json::parse(out.str())["error"]["code"].get<int>());
}

TEST(Command, answerLost_isSettledByReadingTheLog)
{
    log.loseAnswers(1);
    applyExample();
    LONGS_EQUAL(1, log.next());
}

TEST(Command, appendHeldOnItsWay_isInDoubtWhenRepeatsAreLostToo)
{
    applyExample();
    log.holdAppends(1000);
    LONGS_EQUAL(4, run({"drain", "h1"}));
    CHECK(err.str().find("error 402") != std::string::npos);
    log.holdAppends(0);
    log.deliverHeld();
    CHECK(shown("hosts").contains("h1"));
}

TEST(Command, drainAndUndrain_areShown)
{
    LONGS_EQUAL(0, run({"drain", "h1"}));
    CHECK(shown("hosts").contains("h1"));
    LONGS_EQUAL(0, run({"undrain", "h1"}));
    CHECK(shown("hosts").empty());
}

TEST(Command, wrongUse_hasItsOwnExitCode)
{
    LONGS_EQUAL(2, run({}));
    LONGS_EQUAL(2, run({"aply", "x.yaml"}));
    LONGS_EQUAL(2, run({"drain"}));
    LONGS_EQUAL(2, run({"key", "grant"}));
    LONGS_EQUAL(2, run({"show", "nothing"}));
    LONGS_EQUAL(1, run({"validate", "missing.yaml"}));
    CHECK(err.str().find("error 207") != std::string::npos);
}
