#pragma once

#include <celeryroute/detail/serving/servingstate.h>

#include <string>
#include <unordered_map>

namespace celeryroute {

/// Finds the route of a request and the customer of a key in one version of the desired state.
class RouteTable
{
public:
    explicit RouteTable(ServingStatePtr state);

    const ServingState &state() const
    {
        return *m_state;
    }

    /// @brief The route of @p host with the longest prefix of @p target, or null. A port in @p host
    /// and a query in @p target do not count.
    const ServingRoute *route(const std::string &host, const std::string &target) const;

    /// @brief The customer who holds @p key, or null.
    const ServingCustomer *customer(const std::string &key) const;

    /// @brief Whether calls need a key, but for open routes.
    bool needsKeys() const
    {
        return !m_state->customers.empty();
    }

private:
    ServingStatePtr m_state;
    std::unordered_map<std::string, const ServingRoute *> m_routes; ///< By host and prefix.
    std::unordered_map<std::string, const ServingCustomer *> m_customers; ///< By key.
};

} // namespace celeryroute
