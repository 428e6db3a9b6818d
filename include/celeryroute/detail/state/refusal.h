#pragma once

#include <celeryroute/detail/state/revision.h>
#include <celeryroute/error.h>

#include <string>
#include <vector>

namespace celeryroute {

/// Why the fold refused one item of a record.
struct Refusal {
    std::size_t item = 0; ///< Index in the record.
    std::string subject; ///< As in `route counter` or `authority pool/model`.
    Error error;
    Revision current = 0; ///< Revision in force of the subject; 0 when it does not exist.
    bool operator==(const Refusal &) const = default;
};

using Refusals = std::vector<Refusal>;

} // namespace celeryroute
