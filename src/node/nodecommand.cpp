#include <celeryroute/detail/node/nodecommand.h>

#include <celeryroute/detail/node/nodemain.h>
#include <celeryroute/detail/node/nodesettings.h>
#include <celeryroute/detail/settings/exitcode.h>

#include <cstdio>

namespace celeryroute {

namespace {

int report(const std::vector<Error> &mistakes)
{
    for (const Error &mistake : mistakes) {
        std::fprintf(stderr, "%s\n", toString(mistake).c_str());
    }
    return static_cast<int>(mistakes.empty() ? ExitCode::Ok : ExitCode::Usage);
}

int printHelp()
{
    std::printf("Usage: %s=FILE celeryrouted [--check | --help | --version]\n\n"
                "Runs the role that FILE names until SIGTERM; FILE is read again when it changes and on SIGHUP.\n"
                "  --check    list every mistake in FILE and exit\n"
                "  --help     print this text and exit\n"
                "  --version  print the version and exit\n\n"
                "FILE has lines `name = value`; unknown names are ignored:\n%s",
                SettingsFileVariable,
                nodeSettingsHelp().c_str());
    return static_cast<int>(ExitCode::Ok);
}

int check(const std::string &settingsFile)
{
    const std::vector<Error> mistakes = handleErrors(
        [&settingsFile]() -> Result<std::vector<Error>> {
            BOOST_LEAF_AUTO(text, readSettingsFile(settingsFile));
            return findMistakes(text);
        },
        [](const Error &error) { return std::vector<Error>{error}; });
    if (mistakes.empty()) {
        std::puts("settings are valid");
    }
    return report(mistakes);
}

} // namespace

int runNodeCommand(const std::vector<std::string> &words,
                   const std::string &settingsFile,
                   const PlatformTranslation &translation)
{
    bool checkWanted = false;
    std::vector<Error> mistakes;
    for (const std::string &word : words) {
        if (word == "--help" || word == "-h") {
            return printHelp();
        }
        if (word == "--version") {
            std::puts("celeryrouted " CELERYROUTE_VERSION);
            return static_cast<int>(ExitCode::Ok);
        }
        if (word == "--check") {
            checkWanted = true;
        } else {
            mistakes.push_back({ResultCode::SettingUnknown, word + ": not known beside a settings file"});
        }
    }
    if (settingsFile.empty()) {
        mistakes.push_back({ResultCode::SettingMissing, std::string(SettingsFileVariable) + " names no settings file"});
    }
    if (!mistakes.empty()) {
        return report(mistakes);
    }
    return checkWanted ? check(settingsFile) : runNode(settingsFile, translation);
}

} // namespace celeryroute
