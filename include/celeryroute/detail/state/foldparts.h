#pragma once

#include <celeryroute/detail/state/refusal.h>
#include <celeryroute/detail/state/statetables.h>

#include <records.pb.h>

namespace celeryroute {

// Each function folds the body of one record, whose revision is @p revision, into @p tables and
// returns the items that it refused; those leave @p tables as they were.

/// @brief All changes take effect, or none.
Refusals foldDeclarationChange(StateTables &tables, const proto::DeclarationChange &change, Revision revision);
/// @brief Each item is judged on its own.
Refusals foldAuthorityChange(StateTables &tables, const proto::AuthorityChange &change, Revision revision);
/// @brief A digest is granted once; after a withdrawal it is never granted again.
Refusals foldKeyGrant(StateTables &tables, const proto::KeyGrant &grant, Revision revision);
Refusals foldKeyWithdrawal(StateTables &tables, const proto::KeyWithdrawal &withdrawal, Revision revision);
Refusals foldHostDrain(StateTables &tables, const proto::HostDrain &drain, Revision revision);
Refusals foldQuarantine(StateTables &tables, const proto::Quarantine &quarantine, Revision revision);
/// @brief Takes effect when it was made from the division in force.
Refusals foldShareDivision(StateTables &tables, const proto::ShareDivision &division, Revision revision);

/// @brief Claims are judged by the claim table; none is refused here.
void foldClaims(StateTables &tables, const proto::ClaimBatch &batch, std::uint64_t offset);

} // namespace celeryroute
