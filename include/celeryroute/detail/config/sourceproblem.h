#pragma once

#include <celeryroute/error.h>

#include <string>
#include <vector>

namespace celeryroute {

/// A place in a file; line and column count from 1, and 0 stands for the whole file.
struct SourcePosition {
    std::string file;
    int line = 0;
    int column = 0;
    bool operator==(const SourcePosition &) const = default;
};

/// @brief Orders by file, line and column.
bool operator<(const SourcePosition &left, const SourcePosition &right);

/// One mistake in a declaration file.
struct SourceProblem {
    SourcePosition position;
    Error error;
    bool operator==(const SourceProblem &) const = default;
};

using SourceProblems = std::vector<SourceProblem>;

/// @brief `file:line:column: error NNN Name: text`.
std::string toString(const SourceProblem &problem);

} // namespace celeryroute
