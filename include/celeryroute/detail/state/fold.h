#pragma once

#include <celeryroute/detail/state/fleetstate.h>
#include <celeryroute/detail/state/refusal.h>

#include <records.pb.h>

namespace celeryroute {

/// Offsets for which the id of a record is remembered, so that a repeat has no effect.
constexpr std::uint64_t RecentIdWindow = 16'384;
/// Longest id of a record, in bytes.
constexpr std::size_t MaxRecordIdLength = 128;

/// What a record did.
enum class FoldVerdict {
    Accepted, ///< Every item took effect.
    PartlyAccepted, ///< Some items of an AuthorityChange were refused.
    Refused, ///< No item took effect.
    Repeated, ///< A record of the same id was folded before.
    Malformed, ///< Not a record of a known format; has no effect.
    Ignored, ///< A snapshot, which only a process without state uses.
    OutOfOrder, ///< Not the record at nextOffset(); nothing was folded.
    Incompatible, ///< Needs a newer program; nothing was folded, and nothing after it can be.
};

/// @brief Lower-case name of @p verdict.
std::string toString(FoldVerdict verdict);

/// The state after a record and what became of its items.
struct FoldOutcome {
    FleetState state;
    FoldVerdict verdict = FoldVerdict::Malformed;
    Refusals refusals;
};

/// @brief The state after @p record, which stands at @p offset of the log.
///
/// Pure and total: equal arguments give equal outcomes in every process. nextOffset() grows by one
/// unless the verdict is OutOfOrder or Incompatible.
FoldOutcome fold(FleetState state, const proto::LogRecord &record, std::uint64_t offset);

/// @brief fold() of the serialized record @p bytes; Malformed when it cannot be read.
FoldOutcome foldBytes(FleetState state, const std::string &bytes, std::uint64_t offset);

/// @brief Whether the record @p id is remembered at the position of @p state.
bool hasRecentRecord(const FleetState &state, const std::string &id);

} // namespace celeryroute
