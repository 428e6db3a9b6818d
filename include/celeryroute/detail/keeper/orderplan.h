#pragma once

#include <celeryroute/detail/keeper/itemname.h>
#include <celeryroute/time.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace celeryroute {

/// @brief An order without its sequence and fencing token.
struct PlannedOrder {
    OrderKind kind = OrderKind::Load;
    ItemName item;
    bool fromStore = false; ///< The order loads a model from the weight store.
    bool operator==(const PlannedOrder &) const = default;
};

/// @brief An item that is expected to be resident at a certain time.
struct ExpectedItem {
    std::string item; ///< `MODEL` or `MODEL/ADAPTER`
    TimePoint due;
    bool operator==(const ExpectedItem &) const = default;
};

/// @brief An item for which calls wait and that cannot be loaded now.
struct DeclinedItem {
    std::string item; ///< `MODEL` or `MODEL/ADAPTER`
    std::string_view reason;
    bool operator==(const DeclinedItem &) const = default;
};

/// @brief The next order, and the expected result for each item for which calls wait.
struct OrderPlan {
    std::optional<PlannedOrder> order; ///< Order to send now.
    std::vector<ExpectedItem> expected;
    std::vector<DeclinedItem> declined;
    bool operator==(const OrderPlan &) const = default;
};

} // namespace celeryroute
