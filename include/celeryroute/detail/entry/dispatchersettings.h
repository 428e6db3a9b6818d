#pragma once

#include <celeryroute/detail/entry/hostlink.h>

#include <cstddef>

namespace celeryroute {

/// Limits of an entry's traffic thread.
struct DispatcherSettings {
    std::string host; ///< Name of this host in the host list.
    std::string instance; ///< Incarnation of the entry.
    std::string peerEndpoint = "127.0.0.1:0"; ///< `ip:port` where other processes connect.
    std::size_t maxFlights = 20'000;
    std::uint32_t maxAttempts = 3;
    std::size_t maxWholeAnswerBytes = 16U << 20U;
    std::size_t maxUnreadBytes = 4U << 20U; ///< Limit of data buffered for a caller that does not read its stream.
    Duration progressTimeout = std::chrono::seconds(
        20); ///< Time without a chunk after which an agent is asked again for the rest of a stream.
    LinkTimeouts link;
    bool operator==(const DispatcherSettings &) const = default;
};

} // namespace celeryroute
