#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace celeryroute {

/// @brief Identifies a request of an agent for a permit.
struct StorePermitId {
    std::string agent;
    std::uint64_t incarnation = 0; ///< Start of the agent; higher is later.
    std::uint64_t number = 0; ///< Within the incarnation.
    bool operator==(const StorePermitId &) const = default;
    bool operator<(const StorePermitId &other) const
    {
        return std::tie(agent, incarnation, number) < std::tie(other.agent, other.incarnation, other.number);
    }
};

} // namespace celeryroute
