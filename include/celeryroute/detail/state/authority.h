#pragma once

#include <celeryroute/detail/state/revision.h>

#include <string>
#include <vector>

namespace celeryroute {

/// A host that may hold a model or adapter.
struct AuthorityHolder {
    std::string host;
    std::string incarnation; ///< Incarnation of the host's agent.
    std::uint64_t fencing = 0; ///< Fencing token: the revision of the grant, which increases with every grant.
    bool revoked = false; ///< The host must unload the model and then release; it counts as a holder until then.
    bool operator==(const AuthorityHolder &) const = default;
};

/// All holders of one model or adapter of one pool.
struct Authority {
    std::string pool;
    std::string model; ///< `model` or `model/adapter`.
    Revision revision = 0;
    std::vector<AuthorityHolder> holders;
    bool operator==(const Authority &) const = default;
};

/// @brief Returns the holder on @p host, or nullptr.
const AuthorityHolder *holderOn(const Authority &authority, const std::string &host);

} // namespace celeryroute
