#include "childprocess.h"
#include "httpcalls.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <netinet/in.h>
#include <regex>
#include <sys/socket.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;

namespace {

constexpr const char *Variable = "CELERYROUTE_CONFIG";
constexpr int PeerPorts = 16;

/// Returns a port that no process listens on.
int freePort()
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    const int file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    (void)bind(file, reinterpret_cast<const sockaddr *>(&address), size);
    (void)getsockname(file, reinterpret_cast<sockaddr *>(&address), &size);
    close(file);
    return ntohs(address.sin_port);
}

/// Returns settings of a process whose store and target do not answer.
std::string settingsFor(const std::string &role, int peerPort, const std::string &more)
{
    return absl::StrCat("name = a\nip = 127.0.0.1\nstore-address = 127.0.0.1:1\nrole = ",
                        role,
                        "\npeer-port-first = ",
                        peerPort,
                        "\npeer-port-last = ",
                        peerPort + PeerPorts,
                        "\n",
                        more,
                        "\n");
}

std::string validAgent()
{
    return settingsFor("agent", std::min(freePort(), 65'000), "target-address = 127.0.0.1:2");
}

} // namespace

TEST_GROUP(NodeCommand)
{
    std::string file = absl::StrCat("node-command-", getpid(), ".settings");
    std::string output;
    std::string errors;

    void teardown() override
    {
        unsetenv(Variable);
        (void)std::remove(file.c_str());
    }

    void prepare(const std::string &settings) const
    {
        std::ofstream(file) << settings;
        setenv(Variable, file.c_str(), 1);
    }

    int run(const std::vector<std::string> &words, const std::string &settings)
    {
        prepare(settings);
        return runUnprepared(words);
    }

    int runUnprepared(const std::vector<std::string> &words)
    {
        ChildProcess process("celeryrouted", words);
        const int code = process.wait();
        process.waitForEnd();
        output = process.output();
        errors = process.errorOutput();
        return code;
    }
};

TEST(NodeCommand, checkOfValidSettings_exitsWithZero)
{
    LONGS_EQUAL(0, run({"--check"}, validAgent()));
    STRCMP_EQUAL("settings are valid\n", output.c_str());
}

TEST(NodeCommand, checkOfInvalidSettings_printsOneMistakePerLineAndExitsAsForFlags)
{
    LONGS_EQUAL(2, run({"--check"}, "role = entry\nname = a\nname = b\nip = here\n"));
    const int mistakes = static_cast<int>(std::count(errors.begin(), errors.end(), '\n'));
    for (const char *line : {"error 104 SettingConflict: name is given twice",
                             "error 103 SettingInvalid: ip: expected",
                             "error 102 SettingMissing: store-address is required",
                             "error 102 SettingMissing: listen-address is required"}) {
        CHECK_TEXT(absl::StrContains(errors, line), errors.c_str());
    }
    LONGS_EQUAL(7, mistakes);
    unsetenv(Variable);
    LONGS_EQUAL(2, runUnprepared({"--check", "--role=entry"}));
}

TEST(NodeCommand, otherArguments_areAnsweredOrRefused)
{
    LONGS_EQUAL(0, run({"--help"}, ""));
    CHECK(absl::StrContains(output, "--check") && absl::StrContains(output, "peer-port-first"));
    LONGS_EQUAL(0, run({"--version"}, ""));
    LONGS_EQUAL(2, run({"--role=entry"}, validAgent()));
    CHECK(absl::StrContains(errors, "error 101 SettingUnknown: --role=entry"));
    setenv(Variable, "no-such-folder/settings", 1);
    LONGS_EQUAL(2, runUnprepared({"--check"}));
    CHECK(absl::StrContains(errors, "no-such-folder/settings"));
    unsetenv(Variable);
    LONGS_EQUAL(0, runUnprepared({"--help"}));
    CHECK(absl::StrContains(output, Variable));
}

TEST(NodeCommand, metricsOfAnAgent_areAtTheFirstFreePortAboveItsPeerPort)
{
    prepare(validAgent());
    ChildProcess process("celeryrouted", {});
    CHECK(process.waitForOutput("metrics.served"));
    const std::string lines = process.output();
    std::smatch found;
    CHECK_TEXT(std::regex_search(lines, found, std::regex("metrics.served.*\"port\":(\\d+)")), lines.c_str());
    const std::string base = absl::StrCat("http://127.0.0.1:", found[1].str());
    const HttpResponse metrics = callHttp("GET", base + "/metrics");
    LONGS_EQUAL(200, metrics.status);
    for (const char *line :
         {"celeryroute_orders_total{", "celeryroute_log_lines_total{", "process_cpu_seconds_total "}) {
        CHECK_TEXT(absl::StrContains(metrics.body, line), line);
    }
    CHECK(!absl::StrContains(metrics.body, "celeryroute_ready"));
    LONGS_EQUAL(404, callHttp("GET", base + "/other").status);
    process.signal(SIGTERM);
    LONGS_EQUAL(0, process.wait());
}

TEST(NodeCommand, metricsOfAnEntry_areAtItsReadinessAddress)
{
    const std::string readiness = absl::StrCat("127.0.0.1:", freePort());
    prepare(settingsFor("entry",
                        std::min(freePort(), 65'000),
                        absl::StrCat("listen-address = 127.0.0.1:", freePort(), "\nreadiness-address = ", readiness)));
    ChildProcess process("celeryrouted", {});
    CHECK(process.waitForOutput("metrics.served"));
    const HttpResponse metrics = callHttp("GET", absl::StrCat("http://", readiness, "/metrics"));
    LONGS_EQUAL(200, metrics.status);
    for (const char *line : {"\nceleryroute_ready 0\n", "\nceleryroute_connections{peer=\"caller\"} 0\n"}) {
        CHECK_TEXT(absl::StrContains(metrics.body, line), line);
    }
    CHECK(!absl::StrContains(metrics.body, "celeryroute_state_version"));
}
