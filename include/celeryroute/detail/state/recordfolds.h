#pragma once

#include <celeryroute/detail/state/refusal.h>
#include <celeryroute/detail/state/statetables.h>

#include <records.pb.h>

namespace celeryroute {

// Each function folds the body of one record, whose revision is @p revision, into @p tables and returns
// the refused items. Refused items do not change @p tables.

/// @brief Applies either all changes or none.
Refusals foldDeclarationChange(StateTables &tables, const proto::DeclarationChange &change, Revision revision);
/// @brief Checks and applies each item independently.
Refusals foldAuthorityChange(StateTables &tables, const proto::AuthorityChange &change, Revision revision);
/// @brief Grants a key digest at most once; a withdrawn digest is never granted again.
Refusals foldKeyGrant(StateTables &tables, const proto::KeyGrant &grant, Revision revision);
Refusals foldKeyWithdrawal(StateTables &tables, const proto::KeyWithdrawal &withdrawal, Revision revision);
Refusals foldHostDrain(StateTables &tables, const proto::HostDrain &drain, Revision revision);
Refusals foldQuarantine(StateTables &tables, const proto::Quarantine &quarantine, Revision revision);
/// @brief Takes effect only if it is based on the division in force.
Refusals foldShareDivision(StateTables &tables, const proto::ShareDivision &division, Revision revision);

/// @brief Folds claims into the claim table, which ignores those without effect; returns no refusals.
void foldClaims(StateTables &tables, const proto::ClaimBatch &batch, std::uint64_t offset);

} // namespace celeryroute
