#pragma once

#include <celeryroute/detail/claims/claimtable.h>

namespace celeryroute {

/// @brief Returns the table after folding @p batch, the record at @p offset of the log.
///
/// The first claim of a key wins. A tombstone frees the key for a later claim; OUTCOME and IN_DOUBT
/// settle it. Claims of keys that are older than the horizon have no effect.
ClaimTable foldClaimBatch(ClaimTable table, const proto::ClaimBatch &batch, std::uint64_t offset);

} // namespace celeryroute
