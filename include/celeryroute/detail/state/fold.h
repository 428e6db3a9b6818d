#pragma once

#include <celeryroute/detail/state/fleetstate.h>
#include <celeryroute/detail/state/refusal.h>

#include <records.pb.h>

namespace celeryroute {

/// Number of offsets for which the id of a record is remembered, so that a second append has no effect.
constexpr std::uint64_t RecentIdWindow = 16'384;
/// Maximum length of a record id in bytes.
constexpr std::size_t MaxRecordIdLength = 128;

/// Effect of a record on the state.
enum class FoldStatus {
    Accepted, ///< Every item took effect.
    PartlyAccepted, ///< Some items of an AuthorityChange were refused.
    Refused, ///< No item took effect.
    Repeated, ///< A record with the same id was folded before.
    Malformed, ///< The record is not valid and has no effect.
    Ignored, ///< The record is part of a snapshot, which only a process without state uses.
    OutOfOrder, ///< The record is not the one at nextOffset(); nothing was folded.
    Incompatible, ///< The record needs a newer program version; neither it nor any later record can be folded.
};

/// @brief Returns the lower-case name of @p status.
std::string toString(FoldStatus status);

/// The state after a record, and the items of the record that were refused.
struct FoldResult {
    FleetState state;
    FoldStatus status = FoldStatus::Malformed;
    Refusals refusals;
};

/// @brief Returns the state after @p record, which is at @p offset of the log.
///
/// A pure function: equal arguments give equal results in every process. nextOffset() increases by one
/// unless the result is OutOfOrder or Incompatible.
FoldResult fold(FleetState state, const proto::LogRecord &record, std::uint64_t offset);

/// @brief Folds the serialized record @p bytes; the result is Malformed if they cannot be parsed.
FoldResult foldBytes(FleetState state, const std::string &bytes, std::uint64_t offset);

/// @brief Whether the id @p id belongs to one of the last RecentIdWindow records folded into @p state.
bool hasRecentRecord(const FleetState &state, const std::string &id);

} // namespace celeryroute
