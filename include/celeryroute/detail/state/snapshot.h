#pragma once

#include <celeryroute/detail/state/fleetstate.h>
#include <celeryroute/result.h>

#include <records.pb.h>

#include <vector>

namespace celeryroute {

/// Size in bytes from which a snapshot is continued in a further part.
constexpr std::size_t SnapshotPartBytes = std::size_t{192} * 1024;

/// @brief The parts of a snapshot of @p state, each small enough for one log record.
std::vector<proto::StateSnapshot> toSnapshot(const FleetState &state, const std::string &snapshotId);

/// @brief The same as a single message, for a peer.
proto::StateSnapshot toWholeSnapshot(const FleetState &state);

/// @brief The state that @p parts describe. Fails with RecordMalformed when a part is missing,
/// belongs to another snapshot or cannot be read, and with RecordNewerFormat.
Result<FleetState> fromSnapshot(const std::vector<proto::StateSnapshot> &parts);

} // namespace celeryroute
