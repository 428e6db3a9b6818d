#include <celeryroute/detail/node/nodesettings.h>

#include <fstream>
#include <regex>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

namespace {

const std::string EntryText = R"(
# An entry.
name = front-a-1
role = entry
ip = 10.1.0.25
domain =
peer-port-first = 7600
peer-port-last=7615
  listen-address = 10.1.0.25:8221
readiness-address = 10.1.0.25:8224
store-address = 10.200.1.7:8225
memory-limit-mb = 260.0
cpu-share = 0.19
heartbeat-ms = 1200
some-later-name = 7
key-revocation-ms = 4000
retry-ratio = 0.3
quota-slack = 110000
targets-check-fences = true
)";

} // namespace

TEST_GROUP(NodeSettings){static Error errorOf(const std::string &text){return handleErrors(
    [&text]() -> Result<Error> {
        BOOST_LEAF_CHECK(readNodeSettings(text));
        return Error{ResultCode::Ok, {}};
    },
    [](const Error &error) { return error; });
}
static NodeSettings settingsOf(const std::string &text)
{
    return handleErrors([&text] { return readNodeSettings(text); },
                        [](const Error &error) {
                            FAIL(toString(error).c_str());
                            return NodeSettings();
                        });
}
static std::string templateText()
{
    std::ifstream file(CELERYROUTE_SOURCE_DIR "/deploy/node.settings.template");
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}
}
;

TEST(NodeSettings, valuesOfAnEntry_areReadAndTheRestKeepsDefaults)
{
    const NodeSettings settings = settingsOf(EntryText);
    NodeSettings expected;
    expected.name = "front-a-1";
    expected.ip = "10.1.0.25";
    expected.firstPeerPort = 7600;
    expected.lastPeerPort = 7615;
    expected.listenAddress = "10.1.0.25:8221";
    expected.readinessAddress = "10.1.0.25:8224";
    expected.storeAddress = "10.200.1.7:8225";
    expected.memoryLimitMb = 260;
    expected.cpuShare = 0.19;
    expected.heartbeat = 1200ms;
    expected.bounds.keyRevocation = 4s;
    expected.bounds.retryRatio = 0.3;
    expected.bounds.quotaSlack = 110'000;
    expected.bounds.targetsCheckFences = true;
    CHECK(settings == expected);
}

TEST(NodeSettings, singleMistakes_haveTheirNumbers)
{
    struct Row {
        std::string line; ///< Replaces the line of the same name.
        ResultCode code;
    };
    const Row rows[] = {
        {"name =", ResultCode::SettingMissing},
        {"listen-address =", ResultCode::SettingMissing},
        {"role = agent", ResultCode::SettingMissing}, // An agent needs a target.
        {"role = other", ResultCode::SettingInvalid},
        {"ip = host", ResultCode::SettingInvalid},
        {"store-address = 10.200.1.7:70000", ResultCode::SettingInvalid},
        {"store-address = 10.200.1.7:", ResultCode::SettingInvalid},
        {"peer-port-first = 7616", ResultCode::SettingConflict},
        {"peer-port-last = 7615.5", ResultCode::SettingInvalid},
        {"key-revocation-ms = -1", ResultCode::SettingInvalid},
        {"key-revocation-ms = 1e300", ResultCode::SettingInvalid},
        {"cpu-share = nan", ResultCode::SettingInvalid},
        {"targets-check-fences = yes", ResultCode::SettingInvalid},
        {"retry-ratio = 0.2\nretry-ratio = 0.2", ResultCode::SettingConflict},
        {"domain = a\nno equals sign", ResultCode::SettingInvalid},
    };
    for (const Row &row : rows) {
        const std::string name = row.line.substr(0, row.line.find(' '));
        const std::string text = std::regex_replace(EntryText, std::regex(name + " ?=[^\n]*"), row.line);
        CHECK_EQUAL_TEXT(static_cast<int>(row.code), static_cast<int>(errorOf(text).code), row.line.c_str());
    }
}

TEST(NodeSettings, manyMistakes_areNamedAtOnceWithTheirNumbers)
{
    const Error error = errorOf("name = a\nname = b\nrole = entry\nip = x\ngarbage\npeer-port-first = 1\n");
    for (const char *part : {"104", "name is given twice", "103", "ip: expected", "garbage", "102", "store-address"}) {
        CHECK_TEXT(error.message.find(part) != std::string::npos, part);
    }
}

TEST(NodeSettings, mistakes_areListedInTheOrderOfTheFirstErrorAndNoneForValidText)
{
    const std::vector<Error> mistakes = findMistakes("name = a\nrole = entry\nip = x\n");
    CHECK(errorOf("name = a\nrole = entry\nip = x\n").code == mistakes.front().code);
    CHECK(mistakes.size() > 2);
    CHECK(findMistakes(EntryText).empty());
}

TEST(NodeSettings, help_namesEverySettingOfTheTemplate)
{
    const std::regex name("(?:^|\n)([a-z-]+) =");
    const std::string text = templateText();
    for (std::sregex_iterator found(text.begin(), text.end(), name), end; found != end; ++found) {
        CHECK_TEXT(nodeSettingsHelp().find("  " + (*found)[1].str() + ' ') != std::string::npos,
                   (*found)[1].str().c_str());
    }
}

TEST(NodeSettings, templateOfTheDeployFolder_fillsEverySettingOfTheReader)
{
    const std::string text = templateText();
    CHECK(!text.empty());
    const std::pair<const char *, const char *> values[] = {
        {"bounds.revoke_ms", "400"},
        {"role", "agent"},
        {"ip", "10.1.0.9"},
        {"app", "10.1.0.9:8300"},
        {"listen.ready", "10.1.0.9:8224"},
        {"platform.address", "10.200.1.7:8225"},
        {"listen.front", ""},
        {"bounds.fencing_enabled", "true"},
        {"node_name", "side-1"},
        {"zone", "a"},
        {"service", "llm"},
        {"bootstrap", "true"},
    };
    std::string filled = text;
    for (const auto &[name, value] : values) {
        filled = std::regex_replace(filled, std::regex("\\{\\{" + std::string(name) + "\\}\\}"), value);
    }
    const NodeSettings settings = settingsOf(std::regex_replace(filled, std::regex("\\{\\{[^}]*\\}\\}"), "77"));
    NodeSettings expected;
    expected.name = "side-1";
    expected.role = NodeRole::Agent;
    expected.ip = "10.1.0.9";
    expected.domain = "a";
    expected.firstPeerPort = expected.lastPeerPort = 77;
    expected.readinessAddress = "10.1.0.9:8224";
    expected.storeAddress = "10.200.1.7:8225";
    expected.targetAddress = "10.1.0.9:8300";
    expected.pool = "llm";
    expected.memoryLimitMb = expected.maxDescriptors = 77;
    expected.cpuShare = 77;
    expected.firstStart = true;
    expected.heartbeat = 77ms;
    expected.bounds = ServingBounds{400ms, 77ms, 77ms, 77s, 77s, 77, 77s, 77, 77s, 77, 77, 77s, 77, 77ms, true};
    CHECK(settings == expected);
}
