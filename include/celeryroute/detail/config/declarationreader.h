#pragma once

#include <celeryroute/detail/config/declarations.h>
#include <celeryroute/detail/config/sourceproblem.h>

#include <string>
#include <vector>

namespace celeryroute {

/// The text of one declaration file.
struct SourceText {
    std::string file;
    std::string text;
};

/// What was read; the declarations are to be used only when there is no problem.
struct ParsedDeclarations {
    Declarations declarations;
    SourceProblems problems; ///< All mistakes, ordered by position.
};

/// @brief Reads YAML files with the top-level lists `routes`, `pools` and `customers`.
ParsedDeclarations parseDeclarations(const std::vector<SourceText> &sources);

/// @brief The same for files; of a folder, all `*.yaml` files in it.
ParsedDeclarations readDeclarations(const std::vector<std::string> &paths);

} // namespace celeryroute
