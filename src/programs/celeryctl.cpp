#include <celeryroute/detail/cli/command.h>
#include <celeryroute/detail/cli/explaincommand.h>
#include <celeryroute/detail/cli/observecommands.h>
#include <celeryroute/detail/settings/settingsparser.h>
#include <celeryroute/detail/settings/startup.h>

#include <cstdlib>
#include <iostream>

using namespace celeryroute;

namespace {
constexpr Duration LogTimeout = std::chrono::seconds(3);
constexpr std::int64_t MaxTimeoutMs = 600'000;
constexpr std::int64_t MaxTimelineEvents = 20'000;

std::vector<SettingSpec> settingSpecs()
{
    return {{"log-url", "URL", "", "address of the platform's log, as in http://10.0.0.5:7000"},
            {"json", "", "", "print one JSON object for scripts"},
            {"prune", "", "", "diff, apply: remove items that are not declared"},
            {"customer", "NAME", "", "key grant: whose key it is"},
            {"label", "TEXT", "", "key grant: a note kept with the key"},
            {"author", "NAME", "", "recorded with each change; the user's name by default"},
            {"timeout-ms", "N", "10000", "how long to wait for the log or for the processes"},
            {"hosts-url", "URL", "", "status, timeline: the platform's list of hosts"},
            {"curve-public-key", "Z85", "", "status, timeline: public key of the deployment"},
            {"curve-secret-key", "Z85", "", "status, timeline: secret key; better given in the environment"},
            {"request", "ID", "", "timeline: events of this request only"},
            {"model", "NAME", "", "timeline: events of this model only"},
            {"host", "NAME", "", "timeline: events of this host only"},
            {"limit", "N", "1000", "timeline: newest events of each process"},
            {"format", "table|json|trace", "table", "status, timeline: how to print"}};
}

std::string defaultAuthor()
{
    const char *user = std::getenv("USER");
    return user == nullptr ? "operator" : user;
}

bool isObserveCommand(const std::vector<std::string> &words)
{
    return words.size() == 1 && (words.front() == "status" || words.front() == "timeline");
}

ObserveOptions readObserveOptions(SettingReader &reader)
{
    ObserveOptions options;
    options.hostsUrl = reader.url("hosts-url", true);
    options.keys = {reader.text("curve-public-key"), reader.text("curve-secret-key")};
    options.timeout = reader.milliseconds("timeout-ms", 1, MaxTimeoutMs);
    options.filter.requestId = reader.text("request");
    options.filter.customer = reader.text("customer");
    options.filter.model = reader.text("model");
    options.filter.host = reader.text("host");
    options.filter.limit = static_cast<std::size_t>(reader.integer("limit", 1, MaxTimelineEvents));
    options.format = reader.flag("json") ? "json" : reader.choice("format", {"table", "json", "trace"});
    return options;
}

int runObserveCommand(const ParsedSettings &parsed)
{
    SettingReader reader(parsed);
    const ObserveOptions options = readObserveOptions(reader);
    if (const std::optional<ExitCode> code = answerCheck(parsed, reader)) {
        return static_cast<int>(*code);
    }
    const auto command = parsed.arguments.front() == "status" ? runStatus : runTimeline;
    return static_cast<int>(command(options, std::cout, std::cerr));
}

bool isExplainCommand(const std::vector<std::string> &words)
{
    return !words.empty() && words.front() == "explain";
}

int runExplainCommand(const ParsedSettings &parsed)
{
    SettingReader reader(parsed);
    ExplainOptions options;
    options.json = reader.flag("json");
    if (const std::optional<ExitCode> code = answerCheck(parsed, reader)) {
        return static_cast<int>(*code);
    }
    if (parsed.arguments.size() < 3) {
        std::cerr << "usage: celeryctl explain ID FILE...\n";
        return static_cast<int>(ExitCode::Usage);
    }
    options.request = parsed.arguments[1];
    options.files.assign(parsed.arguments.begin() + 2, parsed.arguments.end());
    return static_cast<int>(runExplain(options, std::cout, std::cerr));
}

int run(int argc, char **argv)
{
    const SettingsParser parser("celeryctl", "COMMAND [ARGUMENT...]", settingSpecs());
    ParsedSettings parsed = parser.parse(commandLineWords(argc, argv), processEnvironment());
    parsed.helpText += "\n" + commandHelp()
        + "  status                    show every process of the fleet\n"
          "  timeline                  show the events of all processes, ordered by cause\n"
          "  explain ID FILE...        tell the story of a request from the logs of processes; - is standard input\n"
        + "\nExit codes: 0 done, 1 refused, 2 wrong use, 3 log unreachable, 4 not known yet.\n";
    if (const std::optional<ExitCode> code = answerHelp("celeryctl", parsed)) {
        return static_cast<int>(*code);
    }
    if (isObserveCommand(parsed.arguments)) {
        return runObserveCommand(parsed);
    }
    if (isExplainCommand(parsed.arguments)) {
        return runExplainCommand(parsed);
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
