#pragma once

namespace celeryroute {

/// Exit codes of all programs.
enum class ExitCode : int {
    Ok = 0,
    Refused = 1, ///< The operation was refused or failed.
    Usage = 2, ///< Bad settings or arguments.
    Unreachable = 3, ///< The platform or a peer cannot be reached.
    InDoubt = 4, ///< Whether a change took effect is not known yet.
};

} // namespace celeryroute
