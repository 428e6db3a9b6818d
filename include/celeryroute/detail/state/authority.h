#pragma once

#include <celeryroute/detail/state/revision.h>

#include <string>
#include <vector>

namespace celeryroute {

/// A host that may hold a model or adapter.
struct AuthorityHolder {
    std::string host;
    std::string incarnation; ///< Of the host's agent.
    std::uint64_t fencing = 0; ///< Revision of the grant; a later grant has a higher number.
    bool revoked = false; ///< Must unload and then release; counts as a holder until it has.
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

/// @brief The holder on @p host, or nullptr.
const AuthorityHolder *holderOn(const Authority &authority, const std::string &host);

} // namespace celeryroute
