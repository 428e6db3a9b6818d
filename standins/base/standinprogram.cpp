#include <standins/standinprogram.h>

#include <celeryroute/detail/settings/settingsparser.h>
#include <celeryroute/detail/settings/startup.h>
#include <standins/standinserver.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <csignal>
#include <cstdio>

namespace celeryroute {

namespace {

constexpr std::size_t MaxConnections = 8192;

// Blocked in the first thread, so that every later thread inherits it and sigwait() gets them.
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

HttpServerSettings serverSettings(const std::string &endpoint)
{
    HttpServerSettings settings;
    const std::size_t colon = endpoint.rfind(':');
    int port = 0;
    if (colon != std::string::npos && absl::SimpleAtoi(endpoint.substr(colon + 1), &port)) {
        settings.address = endpoint.substr(0, colon);
        settings.port = static_cast<std::uint16_t>(port);
    }
    settings.maxConnections = MaxConnections;
    return settings;
}

int serve(const StandinProgram &program, const HttpServerSettings &settings, const sigset_t &signals)
{
    Timer timer;
    StandinServer server(settings, timer, program.makeHandler(timer));
    const bool started = handleErrors(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(server.start());
            return true;
        },
        [](const Error &error) {
            std::fprintf(stderr, "%s\n", toString(error).c_str());
            return false;
        });
    if (!started) {
        return static_cast<int>(ExitCode::Usage);
    }
    printReady(absl::StrCat(settings.address, ":", server.port()), "");
    int signal = 0;
    sigwait(&signals, &signal);
    server.stop();
    return static_cast<int>(ExitCode::Ok);
}

} // namespace

int runStandin(const StandinProgram &program, int argc, char **argv)
{
    const sigset_t signals = blockStopSignals();
    std::vector<SettingSpec> specs = {{"listen", "IP:PORT", "127.0.0.1:0", "where to listen; port 0 is chosen freely"}};
    specs.insert(specs.end(), program.settings.begin(), program.settings.end());
    const SettingsParser parser(program.name, "", std::move(specs));
    const ParsedSettings parsed = parser.parse(commandLineWords(argc, argv), processEnvironment());
    if (const std::optional<ExitCode> code = answerHelp(program.name, parsed)) {
        return static_cast<int>(*code);
    }
    SettingReader reader(parsed);
    const HttpServerSettings settings = serverSettings(reader.endpoint("listen"));
    program.read(reader);
    if (const std::optional<ExitCode> code = answerCheck(parsed, reader)) {
        return static_cast<int>(*code);
    }
    return serve(program, settings, signals);
}

} // namespace celeryroute
