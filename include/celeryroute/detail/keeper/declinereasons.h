#pragma once

#include <string_view>

/// Reasons for which an agent declines an item.
namespace celeryroute::declinereasons {

inline constexpr std::string_view Unknown = "unknown"; ///< The model is not declared, or takes no adapters.
inline constexpr std::string_view StoreRate = "store_rate"; ///< The rate of loads from the weight store is used up.
inline constexpr std::string_view Refused = "refused"; ///< The target rejected an order for it recently.
inline constexpr std::string_view NoRoom = "no_room"; ///< Evictions cannot free enough memory or adapter slots.

} // namespace celeryroute::declinereasons
