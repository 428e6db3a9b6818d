#pragma once

#include <celeryroute/detail/claims/claimtable.h>

#include <vector>

namespace celeryroute {

/// @brief Serializes @p table into snapshot items; the first item contains the time of the table.
std::vector<proto::ClaimState> toClaimStates(const ClaimTable &table);

/// @brief Returns @p table with one snapshot item added.
ClaimTable restoreClaim(ClaimTable table, const proto::ClaimState &item);

} // namespace celeryroute
