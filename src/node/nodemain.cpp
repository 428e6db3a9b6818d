#include <celeryroute/detail/node/nodemain.h>

#include <celeryroute/detail/node/agentnode.h>
#include <celeryroute/detail/node/entrynode.h>
#include <celeryroute/detail/node/nodecore.h>
#include <celeryroute/detail/node/settingschange.h>
#include <celeryroute/detail/node/settingsfilewatcher.h>
#include <celeryroute/detail/node/signalpipe.h>
#include <celeryroute/detail/settings/exitcode.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <unistd.h>
#include <variant>
#include <vector>

namespace celeryroute {

namespace {

using Role = std::variant<std::unique_ptr<EntryNode>, std::unique_ptr<AgentNode>>;

Role makeRole(NodeCore &core)
{
    if (core.settings.role == NodeRole::Agent) {
        return std::make_unique<AgentNode>(core);
    }
    return std::make_unique<EntryNode>(core);
}

Result<NodeSettings> loadSettings(const std::string &path)
{
    BOOST_LEAF_AUTO(text, readSettingsFile(path));
    return readNodeSettings(text);
}

bool isSettingError(ResultCode code)
{
    return code == ResultCode::SettingUnknown || code == ResultCode::SettingMissing
        || code == ResultCode::SettingInvalid || code == ResultCode::SettingConflict;
}

std::string joined(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &name : names) {
        text += (text.empty() ? "" : ",") + name;
    }
    return text;
}

/// Reason for a reload of the settings.
enum class ReloadCause {
    Signal, ///< Always logged, even if nothing has changed.
    File,
};

void takeOver(NodeCore &core, Role &role, const NodeSettings &read, ReloadCause cause)
{
    const SettingsChange change = compareSettings(core.settings, read);
    if (!change.changed.empty()) {
        std::visit([&change](auto &node) { node->reload(change.settings); }, role);
    }
    const std::string changed = joined(change.changed);
    const std::string nextStart = joined(change.nextStart);
    if (cause == ReloadCause::Signal || !changed.empty() || !nextStart.empty()) {
        core.log.write(DecisionEvent::SettingsReloaded,
                       core.loop.now(),
                       {{"changed", std::string_view(changed)}, {"next_start", std::string_view(nextStart)}});
    }
}

void reload(NodeCore &core, Role &role, const std::string &path, ReloadCause cause)
{
    handleErrors(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(settings, loadSettings(path));
            takeOver(core, role, settings, cause);
            return true;
        },
        [&core](const Error &error) {
            core.log.write(DecisionEvent::SettingsRejected,
                           core.loop.now(),
                           {{fieldnames::Reason, std::string_view(error.message)}});
            return false;
        });
}

Result<bool> serve(const std::string &path, const PlatformTranslation &translation)
{
    EventLoop loop;
    SettingsFileWatcher watcher(path, loop.now());
    BOOST_LEAF_AUTO(settings, loadSettings(path));
    NodeCore core(loop, settings, translation);
    core.log.write(DecisionEvent::ProcessStart,
                   loop.now(),
                   {{"version", CELERYROUTE_VERSION}, {"pid", static_cast<int>(getpid())}});
    Role role = makeRole(core);
    const SignalPipe signals(loop, [&](int signal) {
        if (signal == SIGHUP) {
            watcher.markRead();
            reload(core, role, path, ReloadCause::Signal);
        } else {
            std::visit([](auto &node) { node->beginStop(); }, role);
        }
    });
    loop.atTurnEnd([&] {
        if (watcher.hasChanged(loop.now())) {
            watcher.markRead();
            reload(core, role, path, ReloadCause::File);
        }
    });
    BOOST_LEAF_CHECK(std::visit([](auto &node) { return node->start(); }, role));
    loop.run();
    core.log.flush();
    return true;
}

} // namespace

Result<std::string> readSettingsFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return fail(ResultCode::SettingMissing, "cannot read the settings file " + path);
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

int runNode(const std::string &settingsFile, const PlatformTranslation &translation)
{
    return handleErrors(
        [&]() -> Result<int> {
            try {
                BOOST_LEAF_CHECK(serve(settingsFile, translation));
            } catch (const std::exception &exception) {
                return fail(ResultCode::Internal, exception.what());
            }
            return 0;
        },
        [](const Error &error) {
            std::fprintf(stderr, "%s\n", toString(error).c_str());
            return static_cast<int>(isSettingError(error.code) ? ExitCode::Usage : ExitCode::Refused);
        });
}

} // namespace celeryroute
