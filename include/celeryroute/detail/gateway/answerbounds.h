#pragma once

#include <cstddef>

namespace celeryroute {

/// Bounds on what an entry buffers of targets' answers.
struct AnswerBounds {
    std::size_t answerBytes = std::size_t{16} * 1024 * 1024; ///< Body of an answer that is no stream of events.
    std::size_t eventBytes = std::size_t{1024} * 1024; ///< One event of a stream.
    std::size_t totalBytes = std::size_t{32} * 1024 * 1024; ///< All answers at the same time.
    bool operator==(const AnswerBounds &) const = default;
};

} // namespace celeryroute
