#include <celeryroute/detail/cli/command.h>
#include <celeryroute/detail/settings/settingsparser.h>
#include <celeryroute/detail/settings/startup.h>

#include <cstdlib>
#include <iostream>

using namespace celeryroute;

namespace {
constexpr Duration LogTimeout = std::chrono::seconds(3);
constexpr std::int64_t MaxTimeoutMs = 600'000;

std::vector<SettingSpec> settingSpecs()
{
    return {{"log-url", "URL", "", "address of the platform's log, as in http://10.0.0.5:7000"},
            {"json", "", "", "print one JSON object for scripts"},
            {"prune", "", "", "diff, apply: remove items that are not declared"},
            {"customer", "NAME", "", "key grant: whose key it is"},
            {"label", "TEXT", "", "key grant: a note kept with the key"},
            {"author", "NAME", "", "recorded with each change; the user's name by default"},
            {"timeout-ms", "N", "10000", "how long to wait for the log"}};
}

std::string defaultAuthor()
{
    const char *user = std::getenv("USER");
    return user == nullptr ? "operator" : user;
}

int run(int argc, char **argv)
{
    const SettingsParser parser("celeryctl", "COMMAND [ARGUMENT...]", settingSpecs());
    ParsedSettings parsed = parser.parse(commandLineWords(argc, argv), processEnvironment());
    parsed.helpText += "\n" + commandHelp()
        + "\nExit codes: 0 done, 1 refused, 2 wrong use, 3 log unreachable, 4 not known yet.\n";
    if (const std::optional<ExitCode> code = answerHelp("celeryctl", parsed)) {
        return static_cast<int>(*code);
    }
    SettingReader reader(parsed);
    CommandOptions options;
    options.words = parsed.arguments;
    options.json = reader.flag("json");
    options.prune = reader.flag("prune");
    options.customer = reader.text("customer");
    options.label = reader.text("label");
    options.author = reader.text("author");
    options.timeout = reader.milliseconds("timeout-ms", 1, MaxTimeoutMs);
    const bool needsLog = !options.words.empty() && options.words.front() != "validate" && !parsed.checkWanted;
    const std::string logUrl = reader.url("log-url", needsLog);
    if (const std::optional<ExitCode> code = answerCheck(parsed, reader)) {
        return static_cast<int>(*code);
    }
    if (options.author.empty()) {
        options.author = defaultAuthor();
    }
    CommandContext context{std::cout,
                           std::cerr,
                           [&logUrl] { return LogClient(HttpLog(logUrl, LogTimeout)); },
                           systemSessionClock(),
                           [] { return std::chrono::system_clock::now(); }};
    return static_cast<int>(runCommand(options, context));
}
} // namespace

int main(int argc, char **argv)
{
    return run(argc, argv);
}
