#pragma once

#include <celeryroute/detail/cli/explainorder.h>

#include <string>
#include <vector>

namespace celeryroute {

/// @brief The story of @p request as a table for people, with what its end means.
std::string storyText(const std::vector<ExplainProcess> &processes, const Story &story, const std::string &request);

/// @brief The story as one JSON object per line, in order.
std::string storyJsonLines(const std::vector<ExplainProcess> &processes, const Story &story);

} // namespace celeryroute
