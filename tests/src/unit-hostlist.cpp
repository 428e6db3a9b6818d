#include <celeryroute/detail/http/httpserver.h>
#include <celeryroute/detail/platform/hostlistclient.h>
#include <celeryroute/detail/platform/hostlistformat.h>

#include <absl/strings/str_cat.h>

#include <mutex>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;

namespace {

const HostEntry Agent{"worker-1", "127.0.0.1:7070", "dar-a", HostRole::Agent, "stain-advisor", HostState::Live};
const HostEntry Entry{"entry-1", "127.0.0.1:7071", "dar-b", HostRole::Entry, "", HostState::Leaving};

/// A server that answers with a given status and body, and a client of it.
class HostListFixture : public Utest
{
public:
    void setup() override
    {
        server = std::make_unique<HttpServer>(
            HttpServerSettings{},
            [this](const HttpRequest &, const std::shared_ptr<HttpResponder> &responder) {
                const std::lock_guard lock(answerMutex);
                responder->respond(answer);
            });
        handleErrors([this] { return server->start(); }, [](const Error &) { FAIL("no free port"); });
    }

    void setAnswer(int status, const std::string &body)
    {
        const std::lock_guard lock(answerMutex);
        answer = HttpResponse{status, {}, body};
    }

    HostListClient httpClient() const
    {
        return HostListClient(
            HttpHostList(absl::StrCat("http://127.0.0.1:", server->port()), std::chrono::seconds(60)));
    }

    static ResultCode read(HostListClient &client, std::vector<HostEntry> &entries)
    {
        return handleErrors(
            [&]() -> Result<ResultCode> {
                BOOST_LEAF_ASSIGN(entries, client.read());
                return ResultCode::Ok;
            },
            [](const Error &error) { return error.code; });
    }

    std::unique_ptr<HttpServer> server;
    std::mutex answerMutex;
    HttpResponse answer;
};

} // namespace

TEST_GROUP_BASE(HostList, HostListFixture){};

TEST(HostList, listEncoded_decodesToTheSame)
{
    setAnswer(200, encodeHostList({Agent, Entry}));
    HostListClient client = httpClient();
    std::vector<HostEntry> entries;
    CHECK(read(client, entries) == ResultCode::Ok);
    CHECK((entries == std::vector<HostEntry>{Agent, Entry}));
}

TEST(HostList, malformedAnswers_failAndLaterReadsWork)
{
    HostListClient client = httpClient();
    std::vector<HostEntry> entries;
    for (const char *body : {"",
                             "{",
                             "[]",
                             R"({"hosts": {}})",
                             R"({"hosts": [7]})",
                             R"({"hosts": [{"host": "a"}]})",
                             R"({"hosts": [{"host": "a", "address": "b", "domain": "c", "role": "king"}]})"}) {
        setAnswer(200, body);
        CHECK(read(client, entries) == ResultCode::MessageMalformed);
    }
    setAnswer(200, encodeHostList({Agent}));
    CHECK(read(client, entries) == ResultCode::Ok);
}

TEST(HostList, errorStatus_failsWithPlatformUnavailable)
{
    setAnswer(503, encodeHostList({Agent}));
    HostListClient client = httpClient();
    std::vector<HostEntry> entries;
    CHECK(read(client, entries) == ResultCode::PlatformUnavailable);
}

TEST(HostList, serverGone_failsWithPlatformUnavailable)
{
    HostListClient client = httpClient();
    server->stop();
    std::vector<HostEntry> entries;
    CHECK(read(client, entries) == ResultCode::PlatformUnavailable);
}

TEST(HostList, memoryList_followsItsControls)
{
    MemoryHostList list;
    HostListClient client(list);
    list.setEntries({Entry});
    std::vector<HostEntry> entries;
    CHECK(read(client, entries) == ResultCode::Ok);
    CHECK((entries == std::vector<HostEntry>{Entry}));
    list.setAvailable(false);
    CHECK(read(client, entries) == ResultCode::PlatformUnavailable);
}
