#include <celeryroute/detail/settings/settingsparser.h>
#include <celeryroute/detail/settings/startup.h>
#include <standins/loadrunner.h>

#include <cstdio>

using namespace celeryroute;

namespace {

std::vector<SettingSpec> loadSettingSpecs()
{
    return {{"entry-urls", "URL,URL", "", "entries that are called"},
            {"direct-url", "URL", "", "an engine that is called directly too, for comparison"},
            {"keys", "KEY,KEY", "", "callers' keys, one per customer"},
            {"models", "NAME,NAME", "", "models that are asked for"},
            {"service-path", "PATH", "", "path of bookings"},
            {"calls-per-second", "N", "10", "calls started in a second"},
            {"stream-fraction", "N", "0.7", "part of the chat calls that are streamed"},
            {"booking-fraction", "N", "0", "part of all calls that are bookings"},
            {"max-tokens", "N", "16", "tokens of each answer"},
            {"seconds", "N", "10", "length of the run"},
            {"warm-up-seconds", "N", "0", "time at the start that is not measured"},
            {"call-timeout-ms", "MS", "60000", "time after which a call counts as unanswered"},
            {"seed", "N", "1", "seed of the plan"}};
}

LoadSettings readSettings(SettingReader &reader)
{
    LoadSettings settings;
    settings.entryUrls = reader.list("entry-urls");
    settings.directUrl = reader.url("direct-url", false);
    settings.keys = reader.list("keys");
    settings.models = reader.list("models");
    settings.servicePath = reader.text("service-path");
    settings.callsPerSecond = reader.number("calls-per-second", 0.001, 1e6);
    settings.streamFraction = reader.number("stream-fraction", 0, 1);
    settings.bookingFraction = reader.number("booking-fraction", 0, 1);
    settings.maxTokens = static_cast<unsigned>(reader.integer("max-tokens", 1, 8192));
    settings.length = fromSeconds(reader.number("seconds", 0.1, 86'400));
    settings.warmUp = fromSeconds(reader.number("warm-up-seconds", 0, 86'400));
    settings.callTimeout = reader.milliseconds("call-timeout-ms", 1, 3'600'000);
    settings.seed = static_cast<std::uint64_t>(reader.integer("seed", 0, 1'000'000'000));
    for (const auto &[name, values] :
         {std::pair("entry-urls", &settings.entryUrls), {"keys", &settings.keys}, {"models", &settings.models}}) {
        if (values->empty()) {
            reader.addError(ResultCode::SettingMissing, std::string("--") + name + " needs at least one value");
        }
    }
    return settings;
}

} // namespace

int main(int argc, char **argv)
{
    const std::string name = "standin-load";
    const SettingsParser parser(name, "", loadSettingSpecs());
    const ParsedSettings parsed = parser.parse(commandLineWords(argc, argv), processEnvironment());
    if (const std::optional<ExitCode> code = answerHelp(name, parsed)) {
        return static_cast<int>(*code);
    }
    SettingReader reader(parsed);
    const LoadSettings settings = readSettings(reader);
    if (const std::optional<ExitCode> code = answerCheck(parsed, reader)) {
        return static_cast<int>(*code);
    }
    const LoadRunReport report = LoadRunner(settings).run();
    std::printf("%s\n", toJson(report).c_str());
    const std::uint64_t bad = report.chats.unanswered + report.chats.wrong + report.bookings.unanswered
        + report.bookings.wrong;
    return static_cast<int>(bad == 0 ? ExitCode::Ok : ExitCode::Refused);
}
