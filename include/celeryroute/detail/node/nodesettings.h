#pragma once

#include <celeryroute/detail/serving/servingbounds.h>
#include <celeryroute/result.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace celeryroute {

/// What a process does for callers.
enum class NodeRole {
    Entry, ///< Takes callers' requests.
    Agent, ///< Keeps the target on its host.
};

/// Settings of one process. Addresses are an IPv4 number and a port; those that a host lacks are empty.
struct NodeSettings {
    std::string name;
    NodeRole role = NodeRole::Entry;
    std::string ip; ///< IPv4 number of the host.
    std::string domain;
    std::uint16_t firstPeerPort = 0; ///< Ports for messages between processes.
    std::uint16_t lastPeerPort = 0;
    std::string listenAddress; ///< For callers; entries have one.
    std::string readinessAddress;
    std::string storeAddress;
    std::string targetAddress; ///< Agents have one.
    std::string pool; ///< Of an agent's target, where it is said.
    std::uint64_t memoryLimitMb = 0; ///< 0 for no known limit.
    std::uint32_t maxDescriptors = 0; ///< 0 for no known limit.
    double cpuShare = 1;
    Duration heartbeat = std::chrono::seconds(1); ///< Targets renew their records about so often.
    bool firstStart = false; ///< The whole system starts for the first time.
    ServingBounds bounds;
    bool operator==(const NodeSettings &) const = default;
};

/// @brief Reads `name = value` lines.
///
/// Lines that begin with `#`, empty ones and unknown names are passed over; an empty value leaves the
/// default. The error of a failure names every mistake with its number and bears the first one's code.
Result<NodeSettings> readNodeSettings(const std::string &text);

/// @brief Every mistake in such lines; empty when readNodeSettings() takes them.
std::vector<Error> findMistakes(const std::string &text);

/// @brief What each name means, one a line.
std::string nodeSettingsHelp();

} // namespace celeryroute
