#pragma once

namespace celeryroute {

/// @brief Runs one role over the project's own log and host list; returns the exit status.
int runStandalone(int argc, char **argv);

} // namespace celeryroute
