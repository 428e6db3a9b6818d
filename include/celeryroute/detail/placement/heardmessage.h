#pragma once

#include <cstdint>
#include <optional>

namespace celeryroute {

/// A datagram of another process; for the log.
struct HeardMessage {
    std::uint64_t incarnation = 0; ///< Of the sender.
    std::uint64_t message = 0; ///< Its number within the incarnation.
    bool operator==(const HeardMessage &) const = default;
};

inline std::optional<std::uint64_t> incarnationOf(const std::optional<HeardMessage> &heard)
{
    return heard ? std::optional(heard->incarnation) : std::nullopt;
}

inline std::optional<std::uint64_t> messageOf(const std::optional<HeardMessage> &heard)
{
    return heard ? std::optional(heard->message) : std::nullopt;
}

} // namespace celeryroute
