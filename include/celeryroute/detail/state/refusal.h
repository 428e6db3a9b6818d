#pragma once

#include <celeryroute/detail/state/revision.h>
#include <celeryroute/error.h>

#include <string>
#include <vector>

namespace celeryroute {

/// Why the fold refused one item of a record.
struct Refusal {
    std::size_t item = 0; ///< Index in the record.
    std::string subject; ///< Kind and name of the item, such as `route counter` or `authority pool/model`.
    Error error;
    Revision current = 0; ///< Current revision of the subject; 0 if it does not exist.
    bool operator==(const Refusal &) const = default;
};

using Refusals = std::vector<Refusal>;

} // namespace celeryroute
