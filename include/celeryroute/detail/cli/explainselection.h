#pragma once

#include <celeryroute/detail/cli/explainlog.h>

#include <cstddef>
#include <string>
#include <vector>

namespace celeryroute {

/// A line that belongs to the story of a request.
struct SelectedLine {
    std::size_t process = 0; ///< Index among the processes.
    std::size_t line = 0; ///< Index among the process's lines.
    bool aboutRequest = false; ///< Otherwise it tells what the request met.
    auto operator<=>(const SelectedLine &) const = default;
};

/// @brief The lines about @p request and those that say what its decisions rested on, by process and line.
///
/// Empty when no line is about it.
std::vector<SelectedLine> selectLines(const std::vector<ExplainProcess> &processes, const std::string &request);

} // namespace celeryroute
