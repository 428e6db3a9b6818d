#include <celeryroute/detail/gateway/routetable.h>

#include <algorithm>
#include <cctype>

namespace celeryroute {

namespace {

std::string hostName(const std::string &host)
{
    std::string name = host.substr(0, host.find(':'));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    return name;
}

} // namespace

RouteTable::RouteTable(ServingStatePtr state, Duration rankedGap)
    : m_state(std::move(state))
{
    for (const ServingRoute &route : m_state->routes) {
        m_routes.emplace(hostName(route.host) + route.pathPrefix, &route);
        m_ranksRoutes = m_ranksRoutes || (route.targetGap > Duration::zero() && route.targetGap <= rankedGap);
    }
    for (const ServingCustomer &customer : m_state->customers) {
        for (const std::string &key : customer.keys) {
            m_customers.emplace(key, &customer);
        }
        m_ranksCustomers = m_ranksCustomers || customer.priority;
    }
}

// Targets admit by this number alone. With the customer's priority only, a customer's short urgent calls wait behind
// its long prompts.
std::uint32_t RouteTable::priority(const ServingRoute &route, const ServingCustomer *customer) const
{
    constexpr std::uint32_t RouteLevels = 3; // Priorities of routes that are told apart for one customer.
    constexpr std::uint32_t LowestPriority = 9;
    const std::uint32_t first = customer == nullptr ? route.priority : customer->priority.value_or(route.priority);
    if (!m_ranksCustomers || !m_ranksRoutes) {
        return first;
    }
    const std::uint64_t level = std::uint64_t{first} * RouteLevels + std::min(route.priority, RouteLevels - 1);
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(level, LowestPriority));
}

// Every prefix begins and ends with a slash, so only the slashes of the path have to be tried.
const ServingRoute *RouteTable::route(const std::string &host, const std::string &target) const
{
    const std::string name = hostName(host);
    std::string path = target.substr(0, target.find('?'));
    std::size_t slash = path.rfind('/');
    while (slash != std::string::npos) {
        const auto found = m_routes.find(name + path.substr(0, slash + 1));
        if (found != m_routes.end()) {
            return found->second;
        }
        slash = slash == 0 ? std::string::npos : path.rfind('/', slash - 1);
    }
    return nullptr;
}

const ServingCustomer *RouteTable::customer(const std::string &key) const
{
    const auto found = m_customers.find(key);
    return found == m_customers.end() ? nullptr : found->second;
}

} // namespace celeryroute
