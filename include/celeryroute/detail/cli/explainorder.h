#pragma once

#include <celeryroute/detail/cli/explainselection.h>

#include <cstdint>
#include <string>
#include <vector>

namespace celeryroute {

/// A line in its place in the story.
struct StoryLine {
    SelectedLine selected;
    std::vector<std::size_t> causes; ///< Places of the lines of other processes that it followed from.
    bool operator==(const StoryLine &) const = default;
};

/// How far a host's calendar clock is behind at least, by lines that were caused elsewhere.
struct ClockLag {
    std::string host;
    std::int64_t ms = 0;
    bool operator==(const ClockLag &) const = default;
};

/// The lines of a request in order.
struct Story {
    std::vector<StoryLine> lines;
    std::vector<ClockLag> lags;
    bool contradictory = false; ///< The lines name causes in a circle.
    bool operator==(const Story &) const = default;
};

/// @brief Puts @p selected in order: each process's lines by its own monotonic clock, causes before
/// their effects, and by the hosts' calendar clocks where neither decides.
Story orderLines(const std::vector<ExplainProcess> &processes, const std::vector<SelectedLine> &selected);

} // namespace celeryroute
