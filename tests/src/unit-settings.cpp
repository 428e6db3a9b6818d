#include <celeryroute/detail/settings/settingreader.h>
#include <celeryroute/detail/settings/settingsparser.h>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;

TEST_GROUP(Settings)
{
    SettingsParser parser{"program",
                          "[FILE...]",
                          {
                              {"listen", "IP:PORT", "127.0.0.1:0", "where to listen"},
                              {"log-url", "URL", "", "the platform's log"},
                              {"limit", "N", "10", "a limit"},
                              {"quiet", "", "", "say less"},
                          }};
};

TEST(Settings, flagAndEnvironmentGiven_flagWins)
{
    const ParsedSettings parsed = parser.parse({"--limit=3"}, {{"CELERYROUTE_LIMIT", "7"}});
    SettingReader reader(parsed);
    CHECK_EQUAL(3, reader.integer("limit", 1, 100));
    CHECK(reader.errors().empty());
}

TEST(Settings, onlyEnvironmentGiven_itIsUsed)
{
    const ParsedSettings parsed = parser.parse({}, {{"CELERYROUTE_LOG_URL", "http://127.0.0.1:9"}});
    SettingReader reader(parsed);
    STRCMP_EQUAL("http://127.0.0.1:9", reader.url("log-url", true).c_str());
}

TEST(Settings, unknownFlag_isNamedAndOthersAreStillRead)
{
    const ParsedSettings parsed = parser.parse({"--lissten=1", "--quiet", "word"}, {});
    CHECK_EQUAL(1, parsed.errors.size());
    CHECK(parsed.errors[0].code == ResultCode::SettingUnknown);
    CHECK(parsed.errors[0].message.find("--lissten") != std::string::npos);
    CHECK_EQUAL(1, parsed.values.count("quiet"));
    CHECK_EQUAL(1, parsed.arguments.size());
}

TEST(Settings, severalBadValues_eachHasItsOwnError)
{
    const ParsedSettings parsed = parser.parse({"--listen=localhost:1", "--limit=many"}, {});
    SettingReader reader(parsed);
    reader.endpoint("listen");
    reader.integer("limit", 1, 100);
    reader.url("log-url", true);
    CHECK_EQUAL(3, reader.errors().size());
    CHECK(reader.errors()[0].code == ResultCode::SettingInvalid);
    CHECK(reader.errors()[2].code == ResultCode::SettingMissing);
}

TEST(Settings, helpText_listsEveryFlag)
{
    const ParsedSettings parsed = parser.parse({"--help"}, {});
    CHECK(parsed.helpWanted);
    CHECK(parsed.helpText.find("--log-url=URL") != std::string::npos);
    CHECK(parsed.helpText.find("CELERYROUTE_LOG_URL") != std::string::npos);
}
