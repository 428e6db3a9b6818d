#pragma once

#include <celeryroute/error.h>

#include <string>
#include <vector>

namespace celeryroute {

/// One mistake in a declared item.
struct DeclarationProblem {
    std::string path; ///< Where in the item, as in `models/2/adapters/0/memory_mb`; empty for the whole.
    Error error;
    bool operator==(const DeclarationProblem &) const = default;
};

using DeclarationProblems = std::vector<DeclarationProblem>;

} // namespace celeryroute
