#pragma once

#include <celeryroute/detail/keeper/itemname.h>
#include <celeryroute/time.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace celeryroute {

/// An order before it has a sequence and a fence.
struct PlannedOrder {
    OrderKind kind = OrderKind::Load;
    ItemName item;
    bool fromStore = false; ///< A load from the weight store.
    bool operator==(const PlannedOrder &) const = default;
};

/// An item that will be resident.
struct ExpectedItem {
    std::string item; ///< `MODEL` or `MODEL/ADAPTER`
    TimePoint due;
    bool operator==(const ExpectedItem &) const = default;
};

/// A wanted item for which there can be no room, or no load.
struct DeclinedItem {
    std::string item; ///< `MODEL` or `MODEL/ADAPTER`
    std::string_view reason;
    bool operator==(const DeclinedItem &) const = default;
};

/// How the wants of one moment are met.
struct OrderPlan {
    std::optional<PlannedOrder> order; ///< To give now.
    std::vector<ExpectedItem> expected;
    std::vector<DeclinedItem> declined;
    bool operator==(const OrderPlan &) const = default;
};

} // namespace celeryroute
