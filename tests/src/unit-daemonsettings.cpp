#include <celeryroute/detail/daemon/daemonsettings.h>
#include <celeryroute/detail/settings/settingsparser.h>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;

TEST_GROUP(DaemonSettings)
{
    std::vector<std::string> entryWords = {"--role=entry",
                                           "--host=h",
                                           "--domain=d",
                                           "--log-url=http://127.0.0.1:1",
                                           "--hosts-url=http://127.0.0.1:2"};

    static std::vector<Error> errorsOf(const std::vector<std::string> &words)
    {
        const ParsedSettings parsed = SettingsParser("celeryrouted", "", daemonSettingSpecs()).parse(words, {});
        SettingReader reader(parsed);
        readDaemonSettings(reader);
        return reader.errors();
    }
};

TEST(DaemonSettings, completeEntry_hasNoErrors)
{
    CHECK(errorsOf(entryWords).empty());
}

TEST(DaemonSettings, agentWithoutTarget_namesWhatIsMissing)
{
    entryWords[0] = "--role=agent";
    const auto errors = errorsOf(entryWords);
    CHECK_EQUAL(2, errors.size());
    CHECK(errors[0] == (Error{ResultCode::SettingMissing, "--pool is required"}));
    CHECK(errors[1] == (Error{ResultCode::SettingMissing, "--target-url is required"}));
}

TEST(DaemonSettings, entryWithTargetAndHalfAKey_conflictsAreNamed)
{
    entryWords.insert(entryWords.end(), {"--target-url=http://127.0.0.1:3", "--curve-public-key=short"});
    const auto errors = errorsOf(entryWords);
    CHECK_EQUAL(3, errors.size());
    CHECK(errors[0].code == ResultCode::SettingConflict);
    CHECK(errors[1].code == ResultCode::SettingConflict);
    CHECK(errors[2].code == ResultCode::SettingInvalid);
}

TEST(DaemonSettings, nothingGiven_everyRequiredSettingIsNamedAtOnce)
{
    CHECK_EQUAL(5, errorsOf({}).size());
}
