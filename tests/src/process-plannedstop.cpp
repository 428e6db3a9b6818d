#include "childprocess.h"
#include "fakeengine.h"
#include "fakestore.h"
#include "gatewayworld.h"
#include "nodelauncher.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Callers = 24;
constexpr auto Grace = 6s;
constexpr Duration LongestWork = 1'500ms;

std::uint64_t seedCount()
{
    const char *text = std::getenv("CELERYROUTE_STOP_SEEDS");
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

} // namespace

/// One entry process in a planned stop, whose callers go on sending over their connections until these are closed.
TEST_GROUP(ProcessPlannedStop)
{
    struct Caller {
        std::unique_ptr<RawCaller> connection;
        std::string id; ///< Of the request in progress; empty if none is.
        bool isReusable = true; ///< The caller keeps its connection for the next request.
        TimePoint nextAt;
        std::string rest{}; ///< Of a request whose body comes later than its head.
        TimePoint restAt{};
    };

    EventLoop loop;
    FakeStore store{loop};
    ScriptedTarget app{loop};
    std::mt19937_64 random;
    NodeLauncher launcher{"plannedstop", store.address(), static_cast<int>(Grace.count())};
    Endpoint callers{*parseIp("127.0.0.2"), freeEndpoint().port};
    std::unique_ptr<ChildProcess> entry;
    std::vector<Caller> open;
    std::map<std::string, TimePoint> arrived;
    std::map<int, std::size_t> statuses;
    std::vector<std::string> lost;
    std::size_t number = 0;

    void teardown() override
    {
        open.clear();
        entry.reset();
    }
    void startEntry()
    {
        entry = launcher.start("entry",
                               "127.0.0.2",
                               "listen-address = " + toString(callers)
                                   + "\nreadiness-address = 127.0.0.2:" + std::to_string(freeEndpoint().port) + '\n');
        CHECK(entry != nullptr);
    }
    void startTarget()
    {
        store.put("keyed.op", "config", servingDesiredState(1).dump());
        store.put("keyed.servers", "i-1", plainRecord(app.address(), 64).dump());
        app.onRequest([this](const ScriptedTarget::Request &request) {
            arrived[request.field("X-Request-Id")] = loop.now();
            const auto work = std::chrono::milliseconds(random() % (toMilliseconds(LongestWork) + 1));
            loop.at(loop.now() + work, [this, request] {
                app.answer(request, httpAnswer(200, "done", "X-Request-Id: {id}\r\nX-Server-Signature: s\r\n"));
            });
        });
    }
    void send(Caller & caller)
    {
        constexpr const char *Budgets[] = {"1700", "4000", "15000"};
        const bool isOnce = random() % 2 == 0;
        const bool isSlow = isOnce && random() % 2 == 0;
        caller.id = "q" + std::to_string(++number);
        caller.connection->send(std::string(isOnce ? "POST /pay/a" : "GET /open/a")
                                + " HTTP/1.1\r\nHost: api.example\r\nAuthorization: Bearer key-a\r\nX-Request-Id: "
                                + caller.id + "\r\nX-Deadline-Ms: " + Budgets[random() % std::size(Budgets)] + "\r\n"
                                + (isOnce ? "Content-Length: 1\r\n\r\n" : "\r\n"));
        caller.rest = isOnce ? "x" : "";
        caller.restAt = loop.now() + (isSlow ? std::chrono::milliseconds(random() % 5'000) : 0ms);
    }
    void sendRest(Caller & caller)
    {
        if (!caller.rest.empty() && !caller.connection->ended() && loop.now() >= caller.restAt) {
            caller.connection->send(caller.rest);
            caller.rest.clear();
        }
    }
    static std::string newestAnswer(const std::string &received)
    {
        const std::size_t begin = received.rfind("HTTP/1.1 ");
        return begin == std::string::npos ? std::string() : received.substr(begin);
    }
    void advance(Caller & caller)
    {
        const bool isEnded = caller.connection->ended(); // Before the bytes are read, or the last ones might be missed.
        const std::string answer = newestAnswer(caller.connection->received());
        const bool isAnswered = fieldOf(answer, "X-Request-Id") == caller.id
            && answer.find("\r\n\r\n") != std::string::npos;
        if (!caller.id.empty() && (isAnswered || isEnded)) {
            const int status = isAnswered ? statusOf(answer) : 0;
            ++statuses[status];
            if (arrived.contains(caller.id) && status != 200) {
                lost.push_back(caller.id + " got " + std::to_string(status));
            }
            caller.id.clear();
            caller.rest.clear();
            caller.nextAt = loop.now() + std::chrono::milliseconds(random() % 100);
        }
        caller.isReusable = caller.isReusable && fieldOf(answer, "Connection") != "close" && !isEnded;
        if (caller.isReusable && caller.id.empty() && loop.now() >= caller.nextAt) {
            send(caller);
        }
        sendRest(caller);
    }
    void printLost()
    {
        std::istringstream log(entry->output());
        for (std::string line; std::getline(log, line);) {
            const auto isOfLost = [&line](const std::string &lostLine) {
                return line.find('"' + lostLine.substr(0, lostLine.find(' ')) + '"') != std::string::npos;
            };
            if (std::any_of(lost.begin(), lost.end(), isOfLost)) {
                std::printf("\n  %s", line.c_str());
            }
        }
    }
    void play(std::uint64_t seed)
    {
        random.seed(seed);
        startEntry();
        for (const TimePoint ready = loop.now() + 3s; loop.now() < ready;) {
            loop.turn(5ms);
        }
        for (std::size_t i = 0; i < Callers; ++i) {
            open.push_back({std::make_unique<RawCaller>(loop, callers), {}, true, loop.now()});
        }
        const TimePoint stop = loop.now() + 2s;
        const TimePoint kill = stop + Grace;
        bool isStopping = false;
        while (loop.now() < kill) {
            if (!isStopping && loop.now() >= stop) {
                isStopping = true;
                entry->signal(SIGTERM);
            }
            loop.turn(2ms);
            for (Caller &caller : open) {
                advance(caller);
            }
            // A caller that was told to leave comes back over a new connection as long as one is accepted.
            if (isStopping && random() % 20 == 0) {
                Caller fresh{std::make_unique<RawCaller>(loop, callers), {}, true, loop.now()};
                if (!fresh.connection->ended()) {
                    open.push_back(std::move(fresh));
                }
            }
        }
        entry->signal(SIGKILL);
        CHECK_EQUAL(0, entry->wait());
        for (Caller &caller : open) {
            advance(caller);
        }
        open.clear();
        printLost();
        entry.reset();
    }
};

// Requests that came late in the grace of a planned stop were passed on, and cut at its end without an answer.
TEST(ProcessPlannedStop, requestsOverTheWholeGrace_areServedOrRefusedAndNoneIsCut)
{
    startTarget();
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        play(seed);
        std::printf("\nseed %llu: %zu requests, %zu reached the target, %zu lost;",
                    static_cast<unsigned long long>(seed),
                    number,
                    arrived.size(),
                    lost.size());
        for (const auto &[status, count] : statuses) {
            std::printf(" %d: %zu", status, count);
        }
        for (const std::string &line : lost) {
            std::printf("\n  %s", line.c_str());
        }
        (void)std::fflush(stdout);
    }
    CHECK_EQUAL(0U, lost.size());
    CHECK_TRUE(statuses[503] > 0);
    CHECK_TRUE(arrived.size() > Callers);
}
