#include "gatewayworld.h"
#include "targetanswers.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

namespace {

const std::string Secret = "upstream-failed";
const std::string Echo = "X-Request-Id: {id}\r\n";
const std::string Signed = Echo + "X-Signature: other\r\n";

std::string chunkedAnswer(const std::string &status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + LastChunk;
}

std::string emptyChunkedAnswer(const std::string &fields)
{
    return "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + LastChunk;
}

std::string unframedAnswer(const std::string &status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "\r\n" + body;
}

struct Row {
    const char *name;
    std::string answer;
    AfterAnswer after = AfterAnswer::Keep;
};

/// Answers of the target that a stream is resumed at, none of which continues it.
std::vector<Row> errors()
{
    const std::string json = "{\"error\": \"" + Secret + "\"}";
    const std::string lines = json + "\n\n";
    const std::string wholeHead = "HTTP/1.1 500 Own\r\nContent-Length: 15\r\n\r\n" + Secret;
    const std::string type = "Content-Type: text/event-stream\r\n";
    return {
        {"500", httpAnswer(500, json, Signed)},
        {"500, blank line", httpAnswer(500, lines, Signed)},
        {"500, unsigned", httpAnswer(500, lines, Echo)},
        {"500, chunked", chunkedAnswer("500 Own", Signed, lines)},
        {"500, no length", unframedAnswer("500 Own", Signed, lines), AfterAnswer::Close},
        {"500, reset", unframedAnswer("500 Own", Signed, lines), AfterAnswer::Reset},
        {"500 as events", chunkedAnswer("500 Own", Signed + type, event(2, Secret))},
        {"503", httpAnswer(503, lines, Echo + "X-Not-Run: 1\r\n")},
        {"429", httpAnswer(429, lines, Signed)},
        {"404", httpAnswer(404, lines, Signed)},
        {"421", httpAnswer(421, lines, Echo)},
        {"302", httpAnswer(302, lines, Signed)},
        {"204", "HTTP/1.1 204 None\r\n" + Signed + "\r\n"},
        {"200 of another type", httpAnswer(200, lines, Signed + "Content-Type: application/json\r\n")},
        {"200 of another type, chunked", chunkedAnswer("200 OK", Signed + "Content-Type: application/json\r\n", lines)},
        {"200 without type", httpAnswer(200, lines, Signed)},
        {"200 without type, chunked", chunkedAnswer("200 OK", Signed, lines)},
        {"200 without type, no length", unframedAnswer("200 OK", Signed, lines), AfterAnswer::Close},
        {"200 as events, unsigned", chunkedAnswer("200 OK", Echo + type, event(2, Secret))},
        {"200 as events that are none", chunkedAnswer("200 OK", Signed + type, lines)},
        {"200 as events, whole head", chunkedAnswer("200 OK", Signed + type, wholeHead)},
        {"200 as events, whole head, no length",
         unframedAnswer("200 OK", Signed + type, wholeHead),
         AfterAnswer::Close},
        {"200 as events, word", chunkedAnswer("200 OK", Signed + type, Secret + "\n\n")},
        {"200 as events, from the begin", chunkedAnswer("200 OK", Signed + type, event(1, Secret))},
        {"no HTTP", lines + lines, AfterAnswer::Close},
    };
}

/// A way in which the target that began the stream breaks it off.
struct Break {
    std::string begin; ///< Holds the first event.
    std::string rest; ///< Comes after the caller has got the first event.
    AfterAnswer after;
};

const std::string RawHead = "HTTP/1.1 500 Own\r\nX-Request-Id: {id}\r\nContent-Length: 15\r\n\r\n" + Secret;
const Break Breaks[] = {
    {StreamHead + chunk(event(1)), "", AfterAnswer::Reset},
    {StreamHead + chunk(event(1)), "", AfterAnswer::Close},
    {StreamHead + chunk(event(1)), chunk("id: 2\nda"), AfterAnswer::Reset},
    {StreamHead + chunk(event(1)), chunk("id: 2\nda") + LastChunk, AfterAnswer::Keep},
    {StreamHead + chunk(event(1)), RawHead, AfterAnswer::Close},
    {StreamHead + chunk(event(1)), chunk("id: 2\nda") + RawHead + "\n\n", AfterAnswer::Close},
    {StreamHead + chunk(event(1)), chunk("id: 2\nda" + RawHead), AfterAnswer::Reset},
    {StreamHead + chunk(event(1)), chunk(RawHead), AfterAnswer::Reset},
    {unframedAnswer("200 OK", Signed + "Content-Type: text/event-stream\r\n", event(1)), RawHead, AfterAnswer::Close},
    {unframedAnswer("200 OK", Signed + "Content-Type: text/event-stream\r\n", event(1)), RawHead, AfterAnswer::Reset},
};

class BrokenStreamWorld : public GatewayWorld
{
public:
    BrokenStreamWorld(const Break &broken, const std::string &second, AfterAnswer afterSecond)
        : GatewayWorld(2)
    {
        apply();
        scripts = {[this, broken](const ScriptedTarget::Request &request) {
                       answer(0, broken.begin);
                       settle(loop);
                       answer(0, broken.rest);
                       settle(loop);
                       if (broken.after == AfterAnswer::Reset) {
                           targetOf(0).reset(request.channel);
                       } else if (broken.after == AfterAnswer::Close) {
                           targetOf(0).close(request.channel);
                       }
                   },
                   respondWith(second, afterSecond)};
    }
};

} // namespace

TEST_GROUP(ErrorAfterStream){};

// Bytes of errors must not get between the events, and a stream without its end must not look complete.
TEST(ErrorAfterStream, nextTargetAnswersWithAnError_streamBreaksOffAfterItsWholeEvents)
{
    std::string wrong;
    for (const Row &row : errors()) {
        for (std::size_t number = 0; number < std::size(Breaks); ++number) {
            BrokenStreamWorld world(Breaks[number], row.answer, row.after);
            const std::string answer = world.call("/resumable/a");
            if (chunksOf(answer) != event(1)) {
                wrong += std::string(row.name) + " after break " + std::to_string(number) + ": " + answer + '\n';
            }
        }
    }
    STRCMP_EQUAL("", wrong.c_str());
}

TEST(ErrorAfterStream, nextTargetContinues_streamIsWhole)
{
    const std::string rest = chunk(event(2)) + LastChunk;
    for (const Break &broken : Breaks) {
        BrokenStreamWorld world(broken, SecondHead + rest, AfterAnswer::Keep);
        STRCMP_EQUAL((event(1) + event(2) + "<end>").c_str(), chunksOf(world.call("/resumable/a")).c_str());
    }
}

// The first target broke off behind its last event.
TEST(ErrorAfterStream, nextTargetHasNoFurtherEvent_streamIsComplete)
{
    const std::string fields = Signed + "Content-Type: text/event-stream\r\n";
    for (const std::string &end : {emptyChunkedAnswer(fields), httpAnswer(200, "", fields)}) {
        BrokenStreamWorld world(Breaks[0], end, AfterAnswer::Keep);
        STRCMP_EQUAL((event(1) + "<end>").c_str(), chunksOf(world.call("/resumable/a")).c_str());
    }
}
