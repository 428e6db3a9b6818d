#include "gatewayworld.h"
#include "nodeworld.h"
#include "targetanswers.h"

#include <optional>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

namespace {

const std::string IdOnly = "X-Request-Id: {id}\r\n";
const std::string Refusals[] = {
    httpAnswer(421, {}, IdOnly),
    httpAnswer(503, {}, IdOnly + "X-Not-Run: 1\r\n"),
    httpAnswer(429, {}, IdOnly + "X-Not-Run: 1\r\n"),
    httpAnswer(400, {}, IdOnly + "X-Not-Run: 1\r\n"),
    httpAnswer(200, {}, IdOnly + "X-Not-Run: 1\r\n"),
};

std::string streamOfOneEvent()
{
    return chunk(event(1)) + LastChunk;
}

/// A target with two ids, which writes a refusal once more when the refused request arrives again, and runs that.
class RepeatedRefusalWorld : public GatewayWorld
{
public:
    RepeatedRefusalWorld(const std::string &refusal, const std::string &served)
        : GatewayWorld(1)
    {
        TargetRecord second = table.target("t0")->record;
        second.id = "t1";
        table.setRecord(second, loop.now());
        apply();
        scripts = {respondWith(refusal), [this, refusal, served](const ScriptedTarget::Request &) {
                       answer(0, refusal);
                       answer(1, served);
                   }};
    }
};

} // namespace

TEST_GROUP(RepeatedRefusals){};

// The second copy was taken for the answer to the second send: the caller was told that the request had not run, or it
// was sent to a third target, while the target ran it.
TEST(RepeatedRefusals, refusalRepeatedAfterTheRequestWasSentAgain_isNotItsAnswer)
{
    const std::string stream = StreamHead + streamOfOneEvent();
    for (const std::string &refusal : Refusals) {
        for (const std::string path : {"/once/a", "/idempotent/a", "/resumable/a"}) {
            RepeatedRefusalWorld world(refusal, path == "/resumable/a" ? stream : Ok);
            const std::string answer = world.call(path);
            std::string text = path;
            text.append(" after ").append(refusal);
            CHECK_EQUAL_TEXT(200, statusOf(answer), text.c_str());
            CHECK_EQUAL_TEXT(2U, world.arrived.size(), text.c_str());
        }
    }
}

// As above, for a request that waits until its model is loaded and goes to the same target again.
TEST(RepeatedRefusals, refusalRepeatedAfterTheModelWasLoaded_isNotTheAnswer)
{
    NodeWorld world;
    world.publish();
    world.engine.report["models"] = nlohmann::json::parse(R"([{"name": "m1", "version": 3, "adapters": []}])");
    world.registerEngine();
    world.startAgent();
    world.startEntry();
    CHECK(world.runUntilReadiness(0, 200));
    std::optional<ScriptedTarget::Request> first;
    std::size_t arrivals = 0;
    world.engine.onArrival = [&](const ScriptedTarget::Request &request) {
        if (request.head.target != "/chat/a") {
            return;
        }
        ++arrivals;
        if (first) {
            world.engine.server.answer(*first, httpAnswer(421, {}, IdOnly));
        } else {
            first = request;
            world.engine.report["models"] = nlohmann::json::array(); // The agent hasn't told the entry yet.
        }
    };
    const std::string answer = world.call(world.callerEndpoint(0),
                                          "/chat/a",
                                          "r1",
                                          "Authorization: Bearer key-a\r\nX-Model: m1\r\nX-Token-Usage: 100,5\r\n"
                                          "X-Deadline-Ms: 3000\r\n");
    CHECK_EQUAL(200, statusOf(answer));
    STRCMP_CONTAINS("a token", answer.c_str());
    CHECK_EQUAL(2U, arrivals);
}

// An agent took a late copy of an earlier answer, a report or a refusal, for the answer to its order.
TEST(RepeatedRefusals, answerRepeatedBeforeThatToAnOrder_isNotTakenForIt)
{
    for (const std::string &copy : {httpAnswer(200, "{}"), httpAnswer(421, {}), httpAnswer(409, "{}")}) {
        NodeWorld world;
        world.publish();
        world.registerEngine();
        std::set<std::size_t> used;
        world.engine.onArrival = [&](const ScriptedTarget::Request &request) {
            if (request.head.target == "/api/order" && used.contains(request.channel)) {
                world.engine.server.send(request.channel, copy);
            }
            used.insert(request.channel);
        };
        const NodeLog &log = world.startAgent().log;
        world.startEntry();
        CHECK(world.runUntilReadiness(0, 200));
        CHECK_EQUAL(200,
                    statusOf(world.call(world.callerEndpoint(0),
                                        "/chat/a",
                                        "r1",
                                        "Authorization: Bearer key-a\r\nX-Model: m1\r\nX-Token-Usage: 100,5\r\n"
                                        "X-Deadline-Ms: 3000\r\n")));
        const auto outcomes = log.linesOf("agent.outcome");
        CHECK_EQUAL(1U, outcomes.size());
        CHECK_EQUAL(202, outcomes[0].at("status").get<int>());
    }
}
