#include "childprocess.h"
#include "fakeengine.h"
#include "fakestore.h"
#include "gatewayworld.h"
#include "nodelauncher.h"
#include "processusage.h"

#include <celeryroute/detail/net/sockets.h>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace celeryroute;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Crowd = 80;
constexpr std::size_t Kib = 1024;
constexpr std::size_t BodyLimit = 256 * Kib; ///< `max_body_bytes` of the desired state.
constexpr std::size_t MemoryLimitMb = 32; ///< `memory-limit-mb`; the process, 15 MB at rest, has to stay below it.
constexpr std::size_t MaxDescriptors = 256; ///< `max-descriptors`, likewise.
constexpr std::size_t FewDescriptors = 64; ///< Fewer than the crowd.

/// @brief A request for /pay/ or another path up to the empty line.
std::string head(const std::string &path, const std::string &key, const std::string &framing)
{
    return "POST " + path + "/a HTTP/1.1\r\nHost: api.example\r\nAuthorization: Bearer " + key
        + "\r\nX-Request-Id: c\r\nX-Deadline-Ms: 60000\r\n" + framing + "\r\n\r\n";
}

/// @brief Chunks of @p size bytes each with at least @p bytes together, without the last chunk.
std::string chunks(std::size_t bytes, std::size_t size)
{
    std::ostringstream begin;
    begin << std::hex << size << "\r\n";
    const std::string chunk = begin.str() + std::string(size, 'x') + "\r\n";
    std::string body;
    for (std::size_t sent = 0; sent < bytes; sent += size) {
        body += chunk;
    }
    return body;
}

std::string stoppingShort(const std::string &key, std::size_t chunk)
{
    constexpr std::size_t Missing = 1000;
    return head("/pay", key, "Transfer-Encoding: chunked") + chunks(BodyLimit - Missing - chunk, chunk);
}

std::string goingPast()
{
    return head("/pay", "key-a", "Transfer-Encoding: chunked") + chunks(4 * BodyLimit, 64 * Kib);
}

std::string announcedFarBeyond()
{
    return head("/pay", "key-a", "Content-Length: 209715200") + std::string(BodyLimit, 'x');
}

std::string whole(const std::string &path)
{
    return head(path, "key-a", "Content-Length: " + std::to_string(BodyLimit)) + std::string(BodyLimit, 'x');
}

/// Accepts connections and takes a few bytes at a time from each.
class SlowReader final : private FileHandler
{
public:
    explicit SlowReader(EventLoop &eventLoop)
        : m_loop(eventLoop)
        , m_endpoint(freeEndpoint())
        , m_listener(handleErrors([this] { return listenTcp(m_endpoint); }, [](const Error &) { return -1; }))
    {
        constexpr int ReceiveBuffer = 4096;
        setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer, sizeof(ReceiveBuffer));
        m_loop.watch(m_listener, EPOLLIN, *this);
    }
    ~SlowReader() override
    {
        m_loop.unwatch(m_listener);
        ::close(m_listener);
        for (const int file : m_files) {
            ::close(file);
        }
    }
    SlowReader(const SlowReader &) = delete;
    SlowReader &operator=(const SlowReader &) = delete;

    std::string address() const
    {
        return toString(m_endpoint);
    }
    void readLittle() const
    {
        char some[64];
        for (const int file : m_files) {
            (void)recv(file, some, sizeof(some), MSG_DONTWAIT);
        }
    }

private:
    void fileReady(std::uint32_t) override
    {
        for (int file = acceptTcp(m_listener); file >= 0; file = acceptTcp(m_listener)) {
            m_files.push_back(file);
        }
    }

    EventLoop &m_loop;
    Endpoint m_endpoint;
    int m_listener;
    std::vector<int> m_files;
};

} // namespace

/// An entry process under a crowd of clients that exceed what is meant for one of them or for all.
TEST_GROUP(ProcessUntrustedClients)
{
    EventLoop loop;
    FakeStore store{loop};
    ScriptedTarget app{loop};
    SlowReader slow{loop};
    NodeLauncher launcher{"untrustedclients", store.address(), 6};
    Endpoint callers{*parseIp("127.0.0.2"), freeEndpoint().port};
    Endpoint readiness{*parseIp("127.0.0.2"), freeEndpoint().port};
    std::unique_ptr<ChildProcess> entry;
    std::vector<std::unique_ptr<RawCaller>> crowd;
    std::size_t mostDescriptors = 0;

    void setup() override
    {
        nlohmann::json state = servingDesiredState(1);
        state["limits"] = {{"max_body_bytes", BodyLimit}, {"idle_timeout_ms", 60'000}};
        state["services"].push_back({{"name", "slow"}});
        state["routes"].push_back({{"name", "slow"},
                                   {"host", "api.example"},
                                   {"path_prefix", "/slow/"},
                                   {"kind", "unsafe"},
                                   {"service", "slow"},
                                   {"timeout_ms", 60'000}});
        store.put("keyed.op", "config", state.dump());
        store.put("keyed.servers", "i-1", plainRecord(app.address(), 256).dump());
        nlohmann::json record = plainRecord(slow.address(), 256);
        record["service"] = "slow";
        store.put("keyed.servers", "i-2", record.dump());
        app.answerEveryRequest(httpAnswer(200, "done", "X-Request-Id: {id}\r\nX-Server-Signature: s\r\n"));
    }
    void teardown() override
    {
        crowd.clear();
        entry.reset();
    }

    void startEntry(std::size_t descriptors = MaxDescriptors)
    {
        entry = launcher.start("entry",
                               "127.0.0.2",
                               "listen-address = " + toString(callers) + "\nreadiness-address = " + toString(readiness)
                                   + "\nmemory-limit-mb = " + std::to_string(MemoryLimitMb)
                                   + "\nmax-descriptors = " + std::to_string(descriptors)
                                   + "\nmax-answer-kb = 1024\nmax-event-kb = 256\nmax-answers-mb = 4\n");
        CHECK(entry != nullptr);
        CHECK(turnUntil(loop, [this] { return statusOf(exchange(readiness, "/api/ready")) == 200; }));
    }
    std::string exchange(const Endpoint &endpoint, const std::string &path)
    {
        RawCaller caller(loop, endpoint);
        caller.send("GET " + path
                    + " HTTP/1.1\r\nHost: api.example\r\nX-Request-Id: o\r\nX-Deadline-Ms: 9000\r\n"
                      "Connection: close\r\n\r\n");
        caller.waitForEnd();
        return caller.received();
    }
    void countDescriptors()
    {
        mostDescriptors = std::max(mostDescriptors, openDescriptors(entry->pid()));
    }
    /// @brief Sends the request of each member side by side and keeps all connections open.
    void sendAll(const std::vector<std::string> &requests)
    {
        constexpr std::size_t Part = 64 * Kib;
        for (std::size_t i = 0; i < Crowd; ++i) {
            crowd.push_back(std::make_unique<RawCaller>(loop, callers));
        }
        for (std::size_t sent = 0; sent < 5 * BodyLimit; sent += Part) {
            for (std::size_t i = 0; i < Crowd; ++i) {
                const std::string &request = requests[i % requests.size()];
                if (sent < request.size() && !crowd[i]->ended()) {
                    crowd[i]->send(request.substr(sent, Part));
                }
            }
            slow.readLittle();
            countDescriptors();
        }
        // Every exchange takes turns of the entry's loop, in which it reads what has arrived.
        constexpr int Exchanges = 30;
        for (int i = 0; i < Exchanges; ++i) {
            exchange(readiness, "/api/ready");
            slow.readLittle();
            countDescriptors();
        }
    }
    void play(const std::vector<std::string> &requests, std::size_t descriptors = MaxDescriptors)
    {
        startEntry(descriptors);
        const std::size_t atRest = peakMemoryKib(entry->pid());
        sendAll(requests);
        const std::string answer = exchange(callers, "/open/a");
        const std::size_t peak = peakMemoryKib(entry->pid());
        std::printf("\n%zu clients: %zu KiB at rest, %zu KiB at most, %zu descriptors, then status %d;",
                    Crowd,
                    atRest,
                    peak,
                    mostDescriptors,
                    statusOf(answer));
        (void)std::fflush(stdout);
        CHECK_TRUE(peak > 0);
        CHECK_TRUE(peak < MemoryLimitMb * Kib);
        CHECK_TRUE(mostDescriptors < descriptors);
        CHECK_EQUAL(200, statusOf(answer));
    }
};

// The entry held every body, and more than 1.5 times of it, for as long as its connection stayed open.
TEST(ProcessUntrustedClients, bodiesThatStopJustShortOfTheLimit_leaveMemoryAndOrdinaryRequestsAlone)
{
    play({stoppingShort("key-a", 64 * Kib)});
}

// The framing of small chunks is six times as long as what it frames.
TEST(ProcessUntrustedClients, bodiesInChunksOfOneByte_leaveMemoryAndOrdinaryRequestsAlone)
{
    play({stoppingShort("key-a", 1)});
}

// A key that doesn't exist was looked up only when the body was complete.
TEST(ProcessUntrustedClients, bodiesWithUnknownKey_leaveMemoryAndOrdinaryRequestsAlone)
{
    play({stoppingShort("key-of-nobody", 64 * Kib)});
}

// The body of a request that was refused for its length was held until its connection was closed.
TEST(ProcessUntrustedClients, bodiesThatGoOnPastTheLimit_leaveMemoryAndOrdinaryRequestsAlone)
{
    play({goingPast()});
}

TEST(ProcessUntrustedClients, bodiesAnnouncedFarBeyondTheLimit_leaveMemoryAndOrdinaryRequestsAlone)
{
    play({announcedFarBeyond()});
}

// Complete requests stay in memory until their targets have read and answered them.
TEST(ProcessUntrustedClients, requestsToTargetsThatReadSlowly_leaveMemoryAndOrdinaryRequestsAlone)
{
    play({whole("/slow")});
}

TEST(ProcessUntrustedClients, everyKindAtOnce_leavesMemoryAndOrdinaryRequestsAlone)
{
    play({stoppingShort("key-a", 64 * Kib),
          stoppingShort("key-a", 1),
          stoppingShort("key-of-nobody", 64 * Kib),
          goingPast(),
          announcedFarBeyond(),
          whole("/slow")});
}

// Callers' connections took the descriptors that targets, peers, store and readiness need.
TEST(ProcessUntrustedClients, moreConnectionsThanDescriptors_leaveSomeForOrdinaryRequests)
{
    play({head("/pay", "key-a", "Transfer-Encoding: chunked")}, FewDescriptors);
}

// A bound on the whole must not refuse a single request within the limits.
TEST(ProcessUntrustedClients, singleBodyExactlyAtTheLimit_isServed)
{
    startEntry();
    RawCaller caller(loop, callers);
    caller.send(whole("/pay"));
    CHECK_TRUE(caller.waitFor("done"));
    CHECK_EQUAL(200, statusOf(caller.received()));
    CHECK_EQUAL(1U, app.requests().size());
    CHECK_EQUAL(BodyLimit, app.requests().front().body.size());
}
