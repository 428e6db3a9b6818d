#include <celeryroute/detail/state/recordfolds.h>
#include <celeryroute/detail/state/routelookup.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace celeryroute {

namespace {
using Holders = std::vector<AuthorityHolder>;

Holders::iterator findHolder(Authority &authority, const proto::AuthorityItem &item)
{
    return std::find_if(authority.holders.begin(), authority.holders.end(), [&item](const AuthorityHolder &holder) {
        return holder.host == item.host() && holder.incarnation == item.incarnation();
    });
}

std::uint32_t declaredReplicasFor(const StateTables &tables, const proto::AuthorityItem &item)
{
    const auto pool = tables.pools->find(item.pool());
    if (pool == tables.pools->end()) {
        return 0;
    }
    const std::optional<ServedModel> served = servedModel(pool->second.value, item.model());
    return served ? served->replicas() : 0;
}

Error conflict(const std::string &text)
{
    return {ResultCode::RevisionConflict, text};
}

// Applies one item to the holders of its model. An error leaves the authority unchanged.
class AuthorityUpdater
{
public:
    AuthorityUpdater(Authority &authority, const proto::AuthorityItem &item, Revision before, Revision revision)
        : m_authority(authority)
        , m_item(item)
        , m_before(before)
        , m_revision(revision)
    {}

    std::optional<Error> apply(std::uint32_t replicas)
    {
        switch (m_item.action()) {
        case proto::GRANT:
            return grant(replicas);
        case proto::REVOKE:
            return revoke();
        case proto::RELEASE:
            return release();
        case proto::EXPIRE:
            return expire();
        default:
            return Error{ResultCode::RecordMalformed, "the action is not known"};
        }
    }

private:
    std::optional<Error> checkBase() const
    {
        if (m_item.base_revision() == m_before) {
            return std::nullopt;
        }
        return conflict(absl::StrCat("the holders are at revision ", m_before, ", not ", m_item.base_revision()));
    }

    std::optional<Error> grant(std::uint32_t replicas)
    {
        if (std::optional<Error> error = checkBase()) {
            return error;
        }
        if (holderOn(m_authority, m_item.host()) != nullptr) {
            return conflict("the host is a holder already");
        }
        // A revoked holder counts until it has released because the model may still be loaded.
        if (m_authority.holders.size() >= replicas) {
            return Error{ResultCode::NotAuthorized, absl::StrCat("all ", replicas, " replicas decided are granted")};
        }
        m_authority.holders.push_back({m_item.host(), m_item.incarnation(), m_revision, false});
        m_authority.revision = m_revision;
        return std::nullopt;
    }

    std::optional<Error> revoke()
    {
        if (std::optional<Error> error = checkBase()) {
            return error;
        }
        const auto holder = findHolder(m_authority, m_item);
        if (holder == m_authority.holders.end() || holder->revoked) {
            return conflict("there is no such holder to revoke");
        }
        holder->revoked = true;
        m_authority.revision = m_revision;
        return std::nullopt;
    }

    // A release refers to the grant that its author saw. Other holders may have changed meanwhile, but a
    // release that is older than the current grant must not end it: the model may be loaded again.
    std::optional<Error> release()
    {
        const auto holder = findHolder(m_authority, m_item);
        if (holder == m_authority.holders.end()) {
            return conflict("there is no such holder to release");
        }
        if (m_item.base_revision() < holder->fencing) {
            return conflict(absl::StrCat("the release is older than the grant ", holder->fencing));
        }
        m_authority.holders.erase(holder);
        m_authority.revision = m_revision;
        return std::nullopt;
    }

    std::optional<Error> expire()
    {
        if (std::optional<Error> error = checkBase()) {
            return error;
        }
        const auto holder = findHolder(m_authority, m_item);
        if (holder == m_authority.holders.end()) {
            return conflict("there is no such holder to expire");
        }
        m_authority.holders.erase(holder);
        m_authority.revision = m_revision;
        return std::nullopt;
    }

    Authority &m_authority;
    const proto::AuthorityItem &m_item;
    Revision m_before;
    Revision m_revision;
};

bool isComplete(const proto::AuthorityItem &item)
{
    return !item.pool().empty() && !item.model().empty() && !item.host().empty() && !item.incarnation().empty();
}

Authority currentAuthority(const StateTables &tables, const proto::AuthorityItem &item)
{
    const Authority *found = tables.authorities.find(authorityKey(item.pool(), item.model()));
    return found != nullptr ? *found : Authority{item.pool(), item.model(), 0, {}};
}
} // namespace

Refusals foldAuthorityChange(StateTables &tables, const proto::AuthorityChange &change, Revision revision)
{
    Refusals refusals;
    // All items of a record are based on the same state, so a change by an earlier item is not a conflict
    // for a later one.
    std::map<std::string, Revision> revisionsBefore;
    for (int i = 0; i < change.items_size(); ++i) {
        const proto::AuthorityItem &item = change.items(i);
        const std::string key = authorityKey(item.pool(), item.model());
        Authority authority = currentAuthority(tables, item);
        const Revision before = revisionsBefore.emplace(key, authority.revision).first->second;
        std::optional<Error> error = Error{ResultCode::RecordMalformed, "an item lacks a name"};
        if (isComplete(item)) {
            error = AuthorityUpdater(authority, item, before, revision).apply(declaredReplicasFor(tables, item));
        }
        if (error) {
            refusals.push_back({static_cast<std::size_t>(i), absl::StrCat("authority ", key), *error, before});
        } else {
            tables.authorities.insertOrAssign(key, std::move(authority));
        }
    }
    return refusals;
}

} // namespace celeryroute
