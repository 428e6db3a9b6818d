#include "gatewayworld.h"
#include "targetanswers.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;

namespace {

const std::string Fields = "X-Request-Id: {id}\r\nX-Signature: sig\r\nX-Weights: 7\r\n";
const std::string Heads[] = {
    "HTTP/1.1 200 OK\r\n" + Fields + "Content-Length: 2\r\n\r\n",
    "HTTP/1.1 200 OK\r\n" + Fields + "\r\n",
    "HTTP/1.0 200 OK\r\n" + Fields + "Connection: close\r\n\r\n",
    StreamHead,
};

/// @brief The answer to a request on a connection of its own, and whether it looks complete.
struct SeenAnswer {
    int status = 0;
    bool endsAsComplete = false;
};

SeenAnswer seenBy(const std::string &received)
{
    const bool isChunked = fieldOf(received, "Transfer-Encoding") == "chunked";
    return {statusOf(received), !isChunked || received.ends_with(LastChunk)};
}

} // namespace

TEST_GROUP(HeadCut){
    /// @brief Sends a request whose target answers with the first @p length bytes of @p head, after whole answers to
    /// @p earlier requests on the same connection.
    static SeenAnswer callCutAt(const std::string &path,
                                const std::string &head,
                                std::size_t length,
                                AfterAnswer end,
                                int earlier){GatewayWorld world(1);
world.apply();
for (int i = 0; i < earlier; ++i) {
    world.scripts.push_back(world.respondWith(Ok));
}
world.scripts.push_back(world.respondWith(head.substr(0, length), end));
for (int i = 0; i < earlier; ++i) {
    CHECK_EQUAL(200, statusOf(world.call("/idempotent/a")));
}
return seenBy(world.call(path));
}
}
;

// Callers got a 200 with an empty or short body, framed as whole, when a target closed in the middle of its head.
TEST(HeadCut, answerThatEndsInItsHead_isNeverHandedOnAsASuccess)
{
    for (const std::string &head : Heads) {
        for (const AfterAnswer end : {AfterAnswer::Close, AfterAnswer::Reset}) {
            for (std::size_t length = 0; length < head.size(); ++length) {
                const char *path = length % 2 == 0 ? "/once/a" : "/stream/a";
                const SeenAnswer seen = callCutAt(path, head, length, end, static_cast<int>(length % 3));
                CHECK_TEXT(seen.status >= 500, (std::to_string(length) + " bytes of " + head).c_str());
            }
            for (std::size_t length = 0; length < head.size(); length += 7) {
                for (const char *path : {"/idempotent/a", "/resumable/a"}) {
                    CHECK_TEXT(callCutAt(path, head, length, end, 1).status >= 500, path);
                }
            }
        }
    }
}

// As above, for the target at which a stream that broke off goes on.
TEST(HeadCut, streamResumedAtATargetThatEndsInItsHead_doesNotEndAsComplete)
{
    for (const std::string &head : Heads) {
        for (const AfterAnswer end : {AfterAnswer::Close, AfterAnswer::Reset}) {
            for (std::size_t length = 0; length < head.size(); length += 3) {
                GatewayWorld world(2);
                world.apply();
                world.scripts = {world.respondWith(StreamHead + chunk(event(1)), AfterAnswer::Close),
                                 world.respondWith(head.substr(0, length), end)};
                const SeenAnswer seen = seenBy(world.call("/resumable/a"));
                CHECK_EQUAL(200, seen.status);
                CHECK_FALSE(seen.endsAsComplete);
            }
        }
    }
}
