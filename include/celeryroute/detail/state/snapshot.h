#pragma once

#include <celeryroute/detail/state/fleetstate.h>
#include <celeryroute/result.h>

#include <records.pb.h>

#include <vector>

namespace celeryroute {

/// Size in bytes above which a snapshot continues in another part.
constexpr std::size_t SnapshotPartBytes = std::size_t{192} * 1024;

/// @brief Serializes @p state into parts that each fit into one log record.
std::vector<proto::StateSnapshot> toSnapshot(const FleetState &state, const std::string &snapshotId);

/// @brief Serializes @p state into a single message for a peer.
proto::StateSnapshot toWholeSnapshot(const FleetState &state);

/// @brief Restores the state from @p parts. Errors: RecordMalformed if a part is missing, belongs to another
/// snapshot or contains an unknown item; RecordNewerFormat.
Result<FleetState> fromSnapshot(const std::vector<proto::StateSnapshot> &parts);

} // namespace celeryroute
