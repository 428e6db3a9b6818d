#include <celeryroute/detail/daemon/standalone.h>

#include <celeryroute/detail/daemon/agentprocess.h>
#include <celeryroute/detail/daemon/daemonsettings.h>
#include <celeryroute/detail/daemon/entryprocess.h>
#include <celeryroute/detail/observe/log.h>
#include <celeryroute/detail/settings/settingsparser.h>
#include <celeryroute/detail/settings/startup.h>

#include <csignal>
#include <cstdio>
#include <ctime>
#include <memory>
#include <variant>

namespace celeryroute {

namespace {

constexpr const char *Program = "celeryrouted";
constexpr const char *SettingsFileHint =
    "\nWith CELERYROUTE_CONFIG=FILE the role and its settings are read from FILE;\n"
    "`CELERYROUTE_CONFIG=FILE celeryrouted --help` names them.";
constexpr long StopPollNanoseconds = 50'000'000;

using Role = std::variant<std::unique_ptr<EntryProcess>, std::unique_ptr<AgentProcess>>;

Role makeRole(const DaemonSettings &settings)
{
    if (settings.role == DaemonRole::Agent) {
        return std::make_unique<AgentProcess>(settings);
    }
    return std::make_unique<EntryProcess>(settings);
}

sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    (void)std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

// A second stop signal ends the process at once.
void serveUntilStopped(Role &role, const sigset_t &signals)
{
    int signal = 0;
    sigwait(&signals, &signal);
    writeLog(LogLevel::Info, "planned stop begins");
    std::visit([](auto &process) { process->requestStop(MonotonicClock::now()); }, role);
    const timespec pollInterval{0, StopPollNanoseconds};
    while (!std::visit([](auto &process) { return process->advanceStop(MonotonicClock::now()); }, role)) {
        if (sigtimedwait(&signals, nullptr, &pollInterval) > 0) {
            writeLog(LogLevel::Warning, "second stop signal: ending at once");
            return;
        }
    }
    writeLog(LogLevel::Info, "planned stop is complete");
}

int run(const DaemonSettings &settings)
{
    const sigset_t signals = blockStopSignals();
    const char *roleName = settings.role == DaemonRole::Agent ? "agent" : "entry";
    configureLog(settings.logLevel, {roleName, settings.host, {}});
    Role role = makeRole(settings);
    const ExitCode started = handleErrors(
        [&]() -> Result<ExitCode> {
            BOOST_LEAF_CHECK(std::visit([](auto &process) { return process->start(); }, role));
            return ExitCode::Ok;
        },
        [](const Error &error) {
            std::fprintf(stderr, "%s\n", toString(error).c_str());
            return ExitCode::Refused;
        });
    if (started != ExitCode::Ok) {
        return static_cast<int>(started);
    }
    std::visit([](auto &process) { printReady(process->listenEndpoint(), process->peerEndpoint()); }, role);
    serveUntilStopped(role, signals);
    return static_cast<int>(ExitCode::Ok);
}

} // namespace

int runStandalone(int argc, char **argv)
{
    const SettingsParser parser(Program, "--role=entry|agent [SETTING...]", daemonSettingSpecs());
    const ParsedSettings parsed = parser.parse(commandLineWords(argc, argv), processEnvironment());
    if (const auto exitCode = answerHelp(Program, parsed)) {
        if (parsed.helpWanted) {
            std::puts(SettingsFileHint);
        }
        return static_cast<int>(*exitCode);
    }
    SettingReader reader(parsed);
    const DaemonSettings settings = readDaemonSettings(reader);
    if (const auto exitCode = answerCheck(parsed, reader)) {
        return static_cast<int>(*exitCode);
    }
    return run(settings);
}

} // namespace celeryroute
