#pragma once

#include <celeryroute/result.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <string>

namespace celeryroute {

/// Faults that a stand-in shows on demand.
struct Faults {
    bool down = false; ///< Cuts every connection before any effect.
    Duration delay = Duration::zero(); ///< Before each request is looked at.
    std::uint64_t dropAnswers = 0; ///< Answers still to be lost after the effect.
    bool silent = false; ///< Connections that are open now never carry an answer again.
    bool crashAfterEffect = false; ///< The process exits instead of its next answer.
    bool operator==(const Faults &) const = default;
};

/// @brief Reads the body of `POST /control/faults`; absent fields keep their value in @p present.
Result<Faults> parseFaults(const std::string &body, const Faults &present);

} // namespace celeryroute
