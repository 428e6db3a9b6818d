#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/claims/claimfold.h>
#include <celeryroute/detail/state/recordfolds.h>

#include <absl/strings/str_cat.h>

#include <cmath>

namespace celeryroute {

namespace {
constexpr std::size_t KeyDigestSize = 32;
constexpr std::size_t MaxRequestDigestSize = 64;
constexpr std::size_t MaxHostLength = 256;
constexpr std::size_t MaxQuarantines = 65'536;
// Amount by which the sum of all fractions may exceed 1 because of rounding.
constexpr double FractionTolerance = 1e-9;

Refusals refused(std::string subject, ResultCode code, std::string text, Revision current = 0)
{
    return {{0, std::move(subject), {code, std::move(text)}, current}};
}

bool isKeyDigest(const std::string &digest)
{
    return digest.size() == KeyDigestSize;
}

bool isRequestDigest(const std::string &digest)
{
    return !digest.empty() && digest.size() <= MaxRequestDigestSize;
}

std::string keySubject(const std::string &digest)
{
    return absl::StrCat("key ", toHex(digest).substr(0, 12));
}
} // namespace

Refusals foldKeyGrant(StateTables &tables, const proto::KeyGrant &grant, Revision revision)
{
    if (!isKeyDigest(grant.key_digest())) {
        return refused("key", ResultCode::RecordMalformed, "a key digest has 32 bytes");
    }
    const std::string subject = keySubject(grant.key_digest());
    if (const Versioned<KeyEntry> *known = tables.keys.find(grant.key_digest())) {
        const std::string text = known->value.withdrawn ? "the key was withdrawn and cannot be granted again"
                                                        : "the key is granted already";
        return refused(subject, ResultCode::RevisionConflict, text, known->revision);
    }
    if (tables.customers->count(grant.customer()) == 0) {
        return refused(subject,
                       ResultCode::DeclarationUnknownName,
                       absl::StrCat("there is no customer '", grant.customer(), "'"));
    }
    tables.keys.insertOrAssign(grant.key_digest(), {{grant.customer(), grant.label(), false}, revision});
    return {};
}

// An unknown digest is marked as withdrawn too, so that a grant that arrives later has no effect.
Refusals foldKeyWithdrawal(StateTables &tables, const proto::KeyWithdrawal &withdrawal, Revision revision)
{
    if (!isKeyDigest(withdrawal.key_digest())) {
        return refused("key", ResultCode::RecordMalformed, "a key digest has 32 bytes");
    }
    const Versioned<KeyEntry> *known = tables.keys.find(withdrawal.key_digest());
    KeyEntry entry = known != nullptr ? known->value : KeyEntry{};
    if (!entry.withdrawn) {
        entry.withdrawn = true;
        tables.keys.insertOrAssign(withdrawal.key_digest(), {std::move(entry), revision});
    }
    return {};
}

Refusals foldHostDrain(StateTables &tables, const proto::HostDrain &drain, Revision revision)
{
    if (drain.host().empty() || drain.host().size() > MaxHostLength) {
        return refused("host", ResultCode::RecordMalformed, "the record names no host");
    }
    if (drain.draining()) {
        tables.drains.insertOrAssign(drain.host(), {true, revision});
    } else {
        tables.drains.erase(drain.host());
    }
    return {};
}

Refusals foldQuarantine(StateTables &tables, const proto::Quarantine &quarantine, Revision revision)
{
    if (!isRequestDigest(quarantine.request_digest())) {
        return refused("quarantine", ResultCode::RecordMalformed, "the record names no request");
    }
    if (quarantine.lifted()) {
        tables.quarantines.erase(quarantine.request_digest());
        return {};
    }
    if (tables.quarantines.size() >= MaxQuarantines) {
        return refused("quarantine", ResultCode::RecordMalformed, "too many requests are in quarantine");
    }
    tables.quarantines.insertOrAssign(quarantine.request_digest(), {true, revision});
    return {};
}

Refusals foldShareDivision(StateTables &tables, const proto::ShareDivision &division, Revision revision)
{
    const Revision epoch = tables.shares->epoch;
    if (division.base_epoch() != epoch) {
        const std::string text = absl::StrCat("shares are at epoch ", epoch, ", not ", division.base_epoch());
        return refused("shares", ResultCode::RevisionConflict, text, epoch);
    }
    Shares shares;
    shares.epoch = revision;
    shares.baseEpoch = epoch;
    double sum = 0;
    for (const proto::EntryShare &share : division.shares()) {
        const bool valid = std::isfinite(share.fraction()) && share.fraction() >= 0 && !share.incarnation().empty();
        if (!valid || !shares.fractions.emplace(share.incarnation(), share.fraction()).second) {
            return refused("shares", ResultCode::RecordMalformed, "a share is not valid or named twice", epoch);
        }
        sum += share.fraction();
    }
    if (sum > 1 + FractionTolerance) {
        return refused("shares", ResultCode::RecordMalformed, absl::StrCat("shares sum to ", sum, ", above 1"), epoch);
    }
    tables.shares.edit() = std::move(shares);
    return {};
}

void foldClaims(StateTables &tables, const proto::ClaimBatch &batch, std::uint64_t offset)
{
    ClaimTable &table = tables.claims.edit();
    table = foldClaimBatch(std::move(table), batch, offset);
}

} // namespace celeryroute
