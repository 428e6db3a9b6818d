#pragma once

#include <celeryroute/detail/serving/servingbounds.h>
#include <celeryroute/result.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief Role of a process.
enum class NodeRole {
    Entry, ///< Accepts callers' requests.
    Agent, ///< Manages the target on its host.
};

/// @brief Settings of one process. An address is an IPv4 address with a port, or empty if the process has none.
struct NodeSettings {
    std::string name;
    NodeRole role = NodeRole::Entry;
    std::string ip; ///< IPv4 address of the host.
    std::string domain;
    std::uint16_t firstPeerPort = 0; ///< First port of the range for messages between processes.
    std::uint16_t lastPeerPort = 0;
    std::string listenAddress; ///< Address for callers; only for entries.
    std::string readinessAddress;
    std::string storeAddress;
    std::string targetAddress; ///< Only for agents.
    std::string pool; ///< Pool of an agent's target; may be empty.
    std::uint64_t memoryLimitMb = 0; ///< 0 for no known limit.
    std::uint32_t maxDescriptors = 0; ///< 0 for no known limit.
    /// Most bytes of callers' requests and of answers to them in MiB; a quarter of memoryLimitMb if not set, and no
    /// limit if both are 0.
    std::uint64_t maxHeldMb = 0;
    double cpuShare = 1;
    Duration heartbeat = std::chrono::seconds(1); ///< Approximate interval at which targets renew their records.
    bool firstStart = false; ///< Whether the whole system starts for the first time.
    ServingBounds bounds;
    bool operator==(const NodeSettings &) const = default;
};

/// @brief Reads `name = value` lines.
///
/// Empty lines, lines that begin with `#` and unknown names are ignored; an empty value keeps the default. On
/// failure, the error message lists every mistake with its number, and the error code is that of the first one.
Result<NodeSettings> readNodeSettings(const std::string &text);

/// @brief Returns every mistake in such lines; empty if readNodeSettings() accepts them.
std::vector<Error> findMistakes(const std::string &text);

/// @brief Returns a help text with one setting per line.
std::string nodeSettingsHelp();

} // namespace celeryroute
