#pragma once

#include <string>

namespace celeryroute {

enum class HostRole { Entry, Agent };
enum class HostState { Live, Leaving };

/// One row of the platform's lagging list of hosts.
struct HostEntry {
    std::string host;
    std::string address; ///< Peer endpoint `ip:port`.
    std::string domain; ///< Failure domain.
    HostRole role = HostRole::Agent;
    std::string pool; ///< Empty for entries.
    HostState state = HostState::Live;
    bool operator==(const HostEntry &) const = default;
};

} // namespace celeryroute
