#pragma once

#include <celeryroute/detail/keeper/orderplan.h>

#include <cstdint>

namespace celeryroute {

/// @brief An item that is declined for a reason that was not reported yet.
struct DeclineNotice {
    DeclinedItem declined;
    std::uint64_t count = 0; ///< Times that the item was declined since the notice before, this one included.
    bool operator==(const DeclineNotice &) const = default;
};

} // namespace celeryroute
