#pragma once

#include <celeryroute/detail/http/httpserver.h>
#include <celeryroute/detail/settings/settingreader.h>
#include <celeryroute/detail/settings/settingspec.h>
#include <standins/timer.h>

#include <functional>
#include <string>
#include <vector>

namespace celeryroute {

/// What distinguishes one stand-in program from the others.
struct StandinProgram {
    std::string name;
    std::vector<SettingSpec> settings; ///< Besides `--listen`.
    /// Reads the settings; called before any port is opened.
    std::function<void(SettingReader &)> read;
    /// Makes the handler of requests after the settings were found valid.
    std::function<HttpHandler(Timer &)> makeHandler;
};

/// @brief The main function: checks settings, serves until SIGTERM or SIGINT, returns the exit code.
int runStandin(const StandinProgram &program, int argc, char **argv);

} // namespace celeryroute
