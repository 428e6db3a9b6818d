#pragma once

#include <cstdint>
#include <optional>

namespace celeryroute {

/// Identifies a datagram received from another process, for the log.
struct HeardMessage {
    std::uint64_t incarnation = 0; ///< Incarnation of the sender.
    std::uint64_t message = 0; ///< Number of the message within the incarnation.
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
