#include "childprocess.h"
#include "fakeengine.h"
#include "fakestore.h"
#include "gatewayworld.h"
#include "nodelauncher.h"
#include "targetlimitjudge.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Entries = 3;
constexpr double Limit = 2; ///< Requests a second.
constexpr Duration CallInterval = 100ms; ///< Between calls at one entry.
constexpr Duration PlayTime = 20s;
constexpr Duration LongestTurn = 300ms; ///< If a turn took longer, the target stood still.

/// @brief Number of seeds; CELERYROUTE_LIMIT_SOAKS sets another one for long runs.
std::uint64_t seedCount()
{
    const char *text = std::getenv("CELERYROUTE_LIMIT_SOAKS");
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

std::string ipOf(std::size_t entry)
{
    return "127.0.0." + std::to_string(2 + entry);
}

} // namespace

/// Entry processes that are killed and stopped while they send calls to one target, whose limit moves and ends.
TEST_GROUP(ProcessTargetLimit)
{
    struct Entry {
        std::unique_ptr<ChildProcess> process;
        Endpoint callers;
        Endpoint readiness;
        TimePoint excusedUntil = TimePoint::min();
        TimePoint stoppedUntil = TimePoint::min();
    };
    struct OpenCall {
        std::unique_ptr<RawCaller> caller;
        std::size_t entry;
    };

    EventLoop loop;
    FakeStore store{loop};
    FakeEngine engine{loop, *parseIp("127.0.0.9")};
    ScriptedTarget app{loop};
    NodeLauncher launcher{"targetlimit", store.address(), 5};
    std::vector<Entry> entries;
    std::unique_ptr<ChildProcess> agent;
    std::unique_ptr<TargetLimitJudge> judge;
    std::optional<double> limit;
    std::vector<OpenCall> open;
    std::size_t served = 0;

    void teardown() override
    {
        open.clear();
        entries.clear();
        agent.reset();
    }
    std::unique_ptr<ChildProcess> start(const std::string &role, const std::string &ip, const std::string &more)
    {
        auto process = launcher.start(role, ip, more);
        CHECK(process != nullptr);
        return process;
    }
    void startEntry(std::size_t index)
    {
        const Entry &entry = entries[index];
        entries[index].process = start("entry",
                                       ipOf(index),
                                       "listen-address = " + toString(entry.callers)
                                           + "\nreadiness-address = " + toString(entry.readiness) + '\n');
    }
    void startAll()
    {
        store.put("keyed.op", "config", servingDesiredState(1).dump());
        store.put("keyed.servers", "i-7", engine.record());
        store.put("keyed.servers", "i-1", plainRecord(app.address(), 64).dump());
        agent = start("agent", "127.0.0.9", "pool = llm\ntarget-address = " + engine.server.address());
        for (std::size_t i = 0; i < Entries; ++i) {
            const std::uint32_t ip = *parseIp(ipOf(i));
            entries.push_back({nullptr, {ip, freeEndpoint().port}, {ip, freeEndpoint().port}});
            startEntry(i);
        }
        app.onRequest([this](const ScriptedTarget::Request &request) {
            judge->arrive(std::stoul(request.field("X-Request-Id")), loop.now());
            const std::string named = limit ? "Server-Limit: " + std::to_string(*limit) + "\r\n" : "";
            app.answer(request, httpAnswer(200, "ok", "X-Request-Id: {id}\r\nX-Server-Signature: s\r\n" + named));
        });
        turnFor(5s);
    }
    void turnFor(Duration time)
    {
        for (const TimePoint end = loop.now() + time; loop.now() < end;) {
            loop.turn(5ms);
        }
    }
    void name(std::optional<double> perSecond)
    {
        limit = perSecond;
        judge->name(perSecond, loop.now());
    }
    void excuse(std::size_t index, Duration time)
    {
        judge->excuse(index);
        entries[index].excusedUntil = loop.now() + time + TargetLimitJudge::FirstWindowEnds;
    }
    void startCalls(std::size_t number)
    {
        for (std::size_t i = 0; i < Entries; ++i) {
            OpenCall call{std::make_unique<RawCaller>(loop, entries[i].callers), i};
            if (!call.caller->ended()) {
                call.caller->send("GET /open/a HTTP/1.1\r\nHost: api.example\r\nX-Request-Id: " + std::to_string(i)
                                  + "-" + std::to_string(number)
                                  + "\r\nX-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n");
                open.push_back(std::move(call));
            }
        }
    }
    void endCalls()
    {
        std::erase_if(open, [this](const OpenCall &call) {
            if (!call.caller->ended()) {
                return false;
            }
            const std::string &answer = call.caller->received();
            served += statusOf(answer) == 200 ? 1 : 0;
            if (fieldOf(answer, "Server-Limit") != "(none)" && loop.now() >= entries[call.entry].excusedUntil) {
                judge->tell(call.entry, loop.now());
            }
            return true;
        });
    }
    void trouble(std::mt19937_64 & random)
    {
        const std::size_t index = random() % Entries;
        switch (random() % 4) {
        case 0:
            entries[index].process->signal(SIGKILL);
            entries[index].process->wait();
            startEntry(index);
            excuse(index, 1s);
            return;
        case 1: {
            const auto length = std::chrono::milliseconds(500 + random() % 2000);
            entries[index].process->signal(SIGSTOP);
            entries[index].stoppedUntil = loop.now() + length;
            excuse(index, length);
            return;
        }
        case 2:
            name(Limit * std::uniform_real_distribution<double>(0.5, 2)(random));
            return;
        default:
            name(std::nullopt);
            return;
        }
    }
    void resumeStopped()
    {
        for (Entry &entry : entries) {
            if (entry.stoppedUntil != TimePoint::min() && loop.now() >= entry.stoppedUntil) {
                entry.stoppedUntil = TimePoint::min();
                entry.process->signal(SIGCONT);
            }
        }
    }
    void play(std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        judge = std::make_unique<TargetLimitJudge>();
        served = 0;
        name(Limit);
        const TimePoint end = loop.now() + PlayTime;
        TimePoint nextCalls = loop.now();
        TimePoint nextTrouble = loop.now() + 5s;
        TimePoint last = loop.now();
        for (std::size_t number = 0; loop.now() < end;) {
            if (loop.now() - last > LongestTurn) {
                judge->restartWindow();
            }
            last = loop.now();
            if (loop.now() >= nextCalls) {
                nextCalls = loop.now() + CallInterval;
                startCalls(++number);
            }
            if (loop.now() >= nextTrouble) {
                nextTrouble = loop.now() + std::chrono::milliseconds(500 + random() % 3000);
                trouble(random);
                if (!limit && random() % 2 == 0) {
                    name(Limit);
                }
            }
            resumeStopped();
            loop.turn(2ms);
            endCalls();
        }
        for (Entry &entry : entries) {
            entry.process->signal(SIGCONT);
            entry.stoppedUntil = TimePoint::min();
        }
        name(std::nullopt);
        turnFor(3s);
        open.clear();
    }
};

TEST(ProcessTargetLimit, entriesKilledAndStoppedOverALimitedTarget_sendNoMoreThanItsLimitAllows)
{
    startAll();
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        play(seed);
        std::printf("\nseed %llu: %zu arrivals, %zu served, worst excess %.1f",
                    static_cast<unsigned long long>(seed),
                    judge->arrivals(),
                    served,
                    judge->worstExcess());
        CHECK_TRUE(judge->worstExcess() <= 0);
        CHECK_TRUE(served > 0);
    }
}
