#include <celeryroute/detail/settings/startup.h>

#include <cstdio>
#include <nlohmann/json.hpp>

namespace celeryroute {

std::optional<ExitCode> answerHelp(const std::string &program, const ParsedSettings &parsed)
{
    if (parsed.helpWanted) {
        std::fputs(parsed.helpText.c_str(), stdout);
        return ExitCode::Ok;
    }
    if (parsed.versionWanted) {
        std::printf("%s %s\n", program.c_str(), CELERYROUTE_VERSION);
        return ExitCode::Ok;
    }
    return std::nullopt;
}

std::optional<ExitCode> answerCheck(const ParsedSettings &parsed, const SettingReader &reader)
{
    for (const Error &error : reader.errors()) {
        std::fprintf(stderr, "%s\n", toString(error).c_str());
    }
    if (!reader.errors().empty()) {
        return ExitCode::Usage;
    }
    if (parsed.checkWanted) {
        std::puts("settings are valid");
        return ExitCode::Ok;
    }
    return std::nullopt;
}

void printReady(const std::string &listen, const std::string &peer)
{
    nlohmann::json line = {{"ready", true}, {"listen", listen}};
    if (!peer.empty()) {
        line["peer"] = peer;
    }
    std::printf("%s\n", line.dump().c_str());
    (void)std::fflush(stdout);
}

} // namespace celeryroute
