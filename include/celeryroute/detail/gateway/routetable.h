#pragma once

#include <celeryroute/detail/serving/servingstate.h>

#include <string>
#include <unordered_map>

namespace celeryroute {

/// Looks up routes by host and path, and customers by key, in one version of the desired state.
class RouteTable
{
public:
    explicit RouteTable(ServingStatePtr state);

    const ServingState &state() const
    {
        return *m_state;
    }

    /// @brief The route of @p host with the longest prefix of the request target @p target, or null.
    /// A port in @p host and a query in @p target are ignored.
    const ServingRoute *route(const std::string &host, const std::string &target) const;

    /// @brief The customer that @p key belongs to, or null.
    const ServingCustomer *customer(const std::string &key) const;

    /// @brief Whether calls to routes that aren't open need a key.
    bool needsKeys() const
    {
        return !m_state->customers.empty();
    }

private:
    ServingStatePtr m_state;
    std::unordered_map<std::string, const ServingRoute *> m_routes; ///< By lower-case host name and path prefix.
    std::unordered_map<std::string, const ServingCustomer *> m_customers; ///< By key.
};

} // namespace celeryroute
