#pragma once

#include <celeryroute/detail/residency/modelorder.h>
#include <celeryroute/error.h>

#include <string>
#include <variant>
#include <vector>

namespace celeryroute {

/// Send an order if LoadController::confirmSend() returns true.
struct SendOrder {
    ModelOrder order;
    bool operator==(const SendOrder &) const = default;
};

/// Read the target's inventory.
struct ReadInventory {
    bool operator==(const ReadInventory &) const = default;
};

/// Request a load slot of the weight store.
struct RequestLoadSlot {
    std::string item;
    int priority = 0;
    TimePoint deadline;
    bool operator==(const RequestLoadSlot &) const = default;
};

/// Run the requests that wait for the item.
struct ItemReady {
    std::string item;
    bool operator==(const ItemReady &) const = default;
};

/// Refuse the requests that wait for the item.
struct ItemFailed {
    std::string item;
    Error error;
    bool operator==(const ItemFailed &) const = default;
};

/// Release a grant that is no longer needed.
struct ReleaseGrant {
    std::string item;
    std::uint64_t fencing = 0;
    bool takeOver = false; ///< Also grant the item to this incarnation in the same log record.
    bool operator==(const ReleaseGrant &) const = default;
};

using ResidencyAction = std::variant<SendOrder, ReadInventory, RequestLoadSlot, ItemReady, ItemFailed, ReleaseGrant>;
using ResidencyActions = std::vector<ResidencyAction>;

} // namespace celeryroute
