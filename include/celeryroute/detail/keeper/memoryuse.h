#pragma once

#include <celeryroute/detail/keeper/enginecatalog.h>
#include <celeryroute/detail/keeper/orderledger.h>

#include <cstdint>
#include <string>

namespace celeryroute {

/// Memory and adapter slots of a target.
struct MemoryUse {
    double memoryMb = 0;
    std::uint32_t slots = 0;
    bool operator==(const MemoryUse &) const = default;
};

/// @brief Both together.
MemoryUse operator+(const MemoryUse &left, const MemoryUse &right);

/// @brief What the target holds, and will hold by orders that it is carrying out.
MemoryUse heldBy(const OrderLedger &ledger, const EngineCatalog &catalog);

/// @brief What orders without an answer may load after the next order.
MemoryUse reservedFor(const OrderLedger &ledger, const EngineCatalog &catalog, const std::string &instance);

} // namespace celeryroute
