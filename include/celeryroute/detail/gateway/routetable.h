#pragma once

#include <celeryroute/detail/serving/servingstate.h>

#include <cstdint>
#include <string>
#include <unordered_map>

namespace celeryroute {

/// Looks up routes by host and path, and customers by key, in one version of the desired state.
class RouteTable
{
public:
    /// @param rankedGap longest pause between events, allowed by a route, with which priority() ranks by routes too; 0
    /// if it never does
    explicit RouteTable(ServingStatePtr state, Duration rankedGap = {});

    const ServingState &state() const
    {
        return *m_state;
    }

    /// @brief The route of @p host with the longest prefix of the request target @p target, or null.
    /// A port in @p host and a query in @p target are ignored.
    const ServingRoute *route(const std::string &host, const std::string &target) const;

    /// @brief The customer that @p key belongs to, or null.
    const ServingCustomer *customer(const std::string &key) const;

    /// @brief Priority of a call of @p customer, which may be null, over @p route; 0 is the most urgent, 9 the least.
    ///
    /// A customer's priority goes before that of the route. Where a route allows short pauses only, the routes decide
    /// between calls of equally urgent customers.
    std::uint32_t priority(const ServingRoute &route, const ServingCustomer *customer) const;

    /// @brief Whether calls to routes that aren't open need a key.
    bool needsKeys() const
    {
        return !m_state->customers.empty();
    }

private:
    ServingStatePtr m_state;
    bool m_ranksCustomers = false; ///< Whether any customer has a priority.
    bool m_ranksRoutes = false; ///< Whether the calls of one customer are ranked by their routes.
    std::unordered_map<std::string, const ServingRoute *> m_routes; ///< By lower-case host name and path prefix.
    std::unordered_map<std::string, const ServingCustomer *> m_customers; ///< By key.
};

} // namespace celeryroute
