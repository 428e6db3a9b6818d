#include "childprocess.h"
#include "fakeengine.h"
#include "fakestore.h"
#include "faultytarget.h"
#include "gatewayworld.h"
#include "nodelauncher.h"
#include "runjudge.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Entries = 3;
constexpr std::size_t Engines = 3;
constexpr std::size_t PlainTargets = 3; ///< Of each plain service.
constexpr std::size_t MostCallsOpen = 24;
constexpr std::size_t MostAttempts = 4; ///< Of one work; all but the first after a promise.
constexpr Duration CallInterval = 8ms;
constexpr Duration CallerPatience = 4s;
constexpr Duration SettleTime = 3s;

std::uint64_t numberFrom(const char *variable, std::uint64_t otherwise)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

std::string ipOf(std::size_t number)
{
    return "127.0.0." + std::to_string(number);
}

} // namespace

/// Entry and agent processes that are killed, stopped and frozen over targets that refuse, repeat and lose answers,
/// crash, start anew and exchange their addresses. By hand: CELERYROUTE_RUNONCE_SEEDS seeds from
/// CELERYROUTE_RUNONCE_FIRST on.
TEST_GROUP(ProcessRunOnce)
{
    struct Entry {
        std::unique_ptr<ChildProcess> process;
        Endpoint callers;
        Endpoint readiness;
        TimePoint frozenUntil = TimePoint::min();
        TimePoint downUntil = TimePoint::min();
    };
    struct Target {
        std::unique_ptr<FaultyTarget> target;
        std::unique_ptr<ChildProcess> agent;
        TimePoint downUntil = TimePoint::min();
        bool newId = false;
    };
    struct OpenCall {
        std::unique_ptr<RawCaller> caller;
        std::string id;
        std::string work;
        std::string path;
        std::size_t attempt;
        TimePoint began;
    };

    EventLoop loop;
    FakeStore store{loop};
    std::mt19937_64 random;
    std::unique_ptr<RunJudge> judge = std::make_unique<RunJudge>();
    NodeLauncher launcher{"runonce", store.address(), 3};
    std::vector<Entry> entries;
    std::vector<Target> targets;
    std::vector<OpenCall> open;
    std::vector<std::unique_ptr<ChildProcess>> leaving;
    std::size_t number = 0;

    void teardown() override
    {
        open.clear();
        entries.clear();
        leaving.clear();
        targets.clear();
    }
    std::unique_ptr<ChildProcess> start(const std::string &role, const std::string &ip, const std::string &more)
    {
        auto process = launcher.start(role, ip, more);
        CHECK(process != nullptr);
        return process;
    }
    void startEntry(std::size_t index)
    {
        Entry &entry = entries[index];
        entry.process = start("entry",
                              ipOf(2 + index),
                              "listen-address = " + toString(entry.callers)
                                  + "\nreadiness-address = " + toString(entry.readiness) + '\n');
    }
    void startAgent(std::size_t index)
    {
        const std::string ip = ipOf(50 + index);
        targets[index].agent = start("agent",
                                     ip,
                                     "pool = llm\ntarget-address = " + toString(targets[index].target->endpoint())
                                         + '\n');
    }
    void addTarget(const std::string &name, const std::string &pool, const std::string &ip)
    {
        const std::uint32_t address = *parseIp(ip);
        const FaultyTarget::Surroundings around{loop, store, *judge, random, {}};
        targets.push_back(
            {std::make_unique<FaultyTarget>(around, name, pool, Endpoint{address, freeEndpoint().port}), nullptr});
        targets.back().target->start(true);
    }
    void startAll()
    {
        nlohmann::json state = servingDesiredState(1);
        state["services"].push_back({{"name", "desk"}});
        state["services"][1]["engine"]["models"].push_back(
            {{"name", "m2"}, {"weights_mb", 60}, {"load_s", 0.1}, {"disk_s", 0.1}, {"warm_s", 0.1}});
        state["services"][1]["engine"]["loads_per_s"] = 50;
        for (const char *path : {"/desk/", "/feed/"}) {
            const bool isStream = path == std::string("/feed/");
            state["routes"].push_back({{"name", isStream ? "feed" : "desk"},
                                       {"host", "api.example"},
                                       {"path_prefix", path},
                                       {"kind", isStream ? "streaming" : "unsafe"},
                                       {"service", isStream ? "app" : "desk"},
                                       {"timeout_ms", 4000}});
        }
        store.put("keyed.op", "config", state.dump());
        for (std::size_t i = 0; i < Engines; ++i) {
            addTarget("engine" + std::to_string(i), "llm", ipOf(50 + i));
            startAgent(i);
        }
        for (std::size_t i = 0; i < PlainTargets; ++i) {
            addTarget("app" + std::to_string(i), "app", "127.0.0.1");
            addTarget("desk" + std::to_string(i), "desk", "127.0.0.1");
        }
        for (std::size_t i = 0; i < Entries; ++i) {
            const std::uint32_t ip = *parseIp(ipOf(2 + i));
            entries.push_back({nullptr, {ip, freeEndpoint().port}, {ip, freeEndpoint().port}});
            startEntry(i);
        }
        turnFor(4s);
    }
    void turnFor(Duration time)
    {
        for (const TimePoint end = loop.now() + time; loop.now() < end;) {
            loop.turn(5ms);
            endCalls();
        }
    }
    bool chance(unsigned inHundred)
    {
        return random() % 100 < inHundred;
    }
    void send(const std::string &work, const std::string &path, std::size_t attempt)
    {
        const Entry &entry = entries[random() % Entries];
        const std::string id = work + '.' + std::to_string(attempt);
        const std::string model = chance(50) ? "m1" : "m2";
        const std::string engineFields = "X-Model: " + model + "\r\nX-Token-Usage: 20,5\r\nX-Prompt-Prefix: aa:10\r\n";
        judge->sent(id, work);
        auto caller = std::make_unique<RawCaller>(loop, entry.callers);
        if (!caller->ended()) {
            caller->send("POST " + path + "a HTTP/1.1\r\nHost: api.example\r\nX-Request-Id: " + id
                         + "\r\nAuthorization: Bearer key-a\r\nX-Deadline-Ms: 3000\r\nConnection: close\r\n"
                         + (path == "/chat/" ? engineFields : "") + "Content-Length: 1\r\n\r\nx");
        }
        open.push_back({std::move(caller), id, work, path, attempt, loop.now()});
    }
    void startCall()
    {
        constexpr const char *Paths[] = {"/pay/", "/desk/", "/chat/", "/feed/"};
        if (open.size() < MostCallsOpen) {
            send("w" + std::to_string(++number), Paths[random() % std::size(Paths)], 1);
        }
    }
    void endCalls()
    {
        std::vector<OpenCall> ended;
        for (std::size_t i = 0; i < open.size();) {
            if (open[i].caller->ended() || loop.now() - open[i].began > CallerPatience) {
                ended.push_back(std::move(open[i]));
                open.erase(open.begin() + static_cast<std::ptrdiff_t>(i));
            } else {
                ++i;
            }
        }
        for (const OpenCall &call : ended) {
            const int status = call.caller->ended() ? statusOf(call.caller->received()) : 0;
            judge->answered(call.id, status);
            if (RunJudge::isPromise(status) && call.attempt < MostAttempts) {
                send(call.work, call.path, call.attempt + 1);
            }
        }
    }
    Duration upTo(std::uint64_t most)
    {
        return std::chrono::milliseconds(50 + random() % most);
    }
    void disturbEntry()
    {
        const std::size_t index = random() % Entries;
        Entry &entry = entries[index];
        if (!entry.process || entry.frozenUntil != TimePoint::min()) {
            return;
        }
        switch (random() % 3) {
        case 0:
            entry.process->signal(SIGKILL);
            entry.process->wait();
            entry.process.reset();
            entry.downUntil = loop.now() + upTo(500);
            return;
        case 1:
            entry.process->signal(SIGSTOP);
            entry.frozenUntil = loop.now() + upTo(2000);
            return;
        default:
            entry.process->signal(SIGTERM);
            leaving.push_back(std::move(entry.process));
            entry.downUntil = loop.now() + 3200ms;
            return;
        }
    }
    void disturbTarget()
    {
        Target &target = targets[random() % targets.size()];
        if (!target.target->isUp()) {
            return;
        }
        const bool isPlain = target.agent == nullptr;
        if (chance(25)) {
            target.target->freeze(loop.now() + upTo(700));
            return;
        }
        crash(target);
        Target &other = targets[random() % targets.size()];
        if (isPlain && chance(30) && other.agent == nullptr && other.target->isUp()) {
            crash(other);
            other.newId = true;
            target.newId = true;
            const Endpoint own = target.target->endpoint();
            target.target->useEndpoint(other.target->endpoint());
            other.target->useEndpoint(own);
            other.downUntil = target.downUntil;
        }
    }
    void crash(Target & target)
    {
        target.target->crash();
        target.newId = chance(60);
        target.downUntil = loop.now() + upTo(chance(50) ? 100 : 1500);
    }
    void restartTargets()
    {
        for (std::size_t i = 0; i < targets.size(); ++i) {
            Target &target = targets[i];
            if (target.target->isUp() || loop.now() < target.downUntil) {
                continue;
            }
            const std::string before = target.target->id();
            target.target->start(target.newId);
            if (target.newId) {
                const Duration expiry = chance(50) ? 3600ms : upTo(400);
                loop.at(loop.now() + expiry, [target = target.target.get(), before] { target->expire(before); });
            }
            if (target.agent && chance(30)) {
                target.agent->signal(SIGKILL);
                target.agent->wait();
                startAgent(i);
            }
        }
    }
    void restartEntries()
    {
        for (std::size_t i = 0; i < Entries; ++i) {
            Entry &entry = entries[i];
            if (entry.frozenUntil != TimePoint::min() && loop.now() >= entry.frozenUntil) {
                entry.frozenUntil = TimePoint::min();
                entry.process->signal(SIGCONT);
            }
            if (!entry.process && loop.now() >= entry.downUntil) {
                leaving.clear();
                startEntry(i);
            }
        }
    }
    void play(std::uint64_t seed, Duration length)
    {
        random.seed(seed);
        const TimePoint end = loop.now() + length;
        TimePoint nextCall = loop.now();
        TimePoint nextEntry = loop.now() + 3s;
        TimePoint nextTarget = loop.now() + 1s;
        while (loop.now() < end) {
            if (loop.now() >= nextCall) {
                nextCall = loop.now() + CallInterval;
                startCall();
            }
            if (loop.now() >= nextEntry) {
                nextEntry = loop.now() + upTo(5000);
                disturbEntry();
            }
            if (loop.now() >= nextTarget) {
                nextTarget = loop.now() + upTo(600);
                disturbTarget();
            }
            restartTargets();
            restartEntries();
            loop.turn(2ms);
            endCalls();
        }
        for (const TimePoint calm = loop.now() + CallerPatience + SettleTime; loop.now() < calm;) {
            restartTargets();
            restartEntries();
            loop.turn(2ms);
            endCalls();
        }
    }
};

// Callers were told that bookings had not run that ran, or bookings and streams ran at two targets, after answers that
// targets wrote twice.
TEST(ProcessRunOnce, faultyTargetsAndEntriesInTrouble_runEachWorkOnceAndPromisesHold)
{
    startAll();
    const std::uint64_t first = numberFrom("CELERYROUTE_RUNONCE_FIRST", 1);
    const std::uint64_t seeds = numberFrom("CELERYROUTE_RUNONCE_SEEDS", 1);
    const auto length = std::chrono::seconds(numberFrom("CELERYROUTE_RUNONCE_SECONDS", 25));
    std::set<std::string> told;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        play(seed, length);
        const std::vector<std::string> faults = judge->faults();
        std::printf("\nseed %llu: %zu requests so far, %zu served, %zu promised, %zu faults",
                    static_cast<unsigned long long>(seed),
                    judge->requests(),
                    judge->count(200),
                    judge->promised(),
                    faults.size());
        for (const std::string &fault : faults) {
            if (told.insert(fault).second) {
                std::printf("\n  %s", fault.c_str());
            }
        }
        (void)std::fflush(stdout);
    }
    CHECK_EQUAL(0U, judge->faults().size());
    CHECK_TRUE(judge->count(200) > judge->requests() / 4);
}
