#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace celeryroute {

/// Which registered target is the latest at each address.
///
/// A target that dies without notice keeps its record for some heartbeats. Its host may run another one under a new id
/// and at the same address before that, as after a loss of power.
class AddressHolders
{
public:
    /// @brief Records that target @p id, started at @p bornMs, is registered at @p address. 0 for an unknown start.
    void add(const std::string &id, const std::string &address, std::int64_t bornMs);
    void remove(const std::string &id);
    /// @brief The latest target at the address of @p id, if it started later than @p id.
    std::optional<std::string> successorOf(const std::string &id) const;
    /// @brief The targets at the address of @p id that started earlier.
    std::vector<std::string> supersededBy(const std::string &id) const;

private:
    /// Start times and ids of the targets at one address, oldest first.
    using Lifetimes = std::set<std::pair<std::int64_t, std::string>>;

    std::unordered_map<std::string, Lifetimes> m_lifetimes; ///< By address.
    std::unordered_map<std::string, std::pair<std::string, std::int64_t>> m_targets; ///< Address and start, by id.
};

} // namespace celeryroute
