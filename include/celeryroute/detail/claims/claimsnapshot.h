#pragma once

#include <celeryroute/detail/claims/claimtable.h>

#include <vector>

namespace celeryroute {

/// @brief The items that restore @p table; the first carries its time.
std::vector<proto::ClaimState> claimSnapshot(const ClaimTable &table);

/// @brief @p table with one item of a snapshot added.
ClaimTable restoreClaim(ClaimTable table, const proto::ClaimState &item);

} // namespace celeryroute
