#pragma once

#include <celeryroute/detail/residency/modelorder.h>
#include <celeryroute/error.h>

#include <string>
#include <variant>
#include <vector>

namespace celeryroute {

/// Send this order, after LoadController::confirmSend().
struct SendOrder {
    ModelOrder order;
    bool operator==(const SendOrder &) const = default;
};

/// Read the target's inventory.
struct ReadInventory {
    bool operator==(const ReadInventory &) const = default;
};

/// Ask for a load slot of the weight store.
struct RequestLoadSlot {
    std::string item;
    int priority = 0;
    TimePoint deadline;
    bool operator==(const RequestLoadSlot &) const = default;
};

/// Requests that wait for the item can run.
struct ItemReady {
    std::string item;
    bool operator==(const ItemReady &) const = default;
};

/// Requests that wait for the item are to be refused.
struct ItemFailed {
    std::string item;
    Error error;
    bool operator==(const ItemFailed &) const = default;
};

/// A grant that is not needed any more is to be released.
struct ReleaseGrant {
    std::string item;
    std::uint64_t fencing = 0;
    bool takeOver = false; ///< Grant it to this incarnation in the same record.
    bool operator==(const ReleaseGrant &) const = default;
};

using ResidencyAction = std::variant<SendOrder, ReadInventory, RequestLoadSlot, ItemReady, ItemFailed, ReleaseGrant>;
using ResidencyActions = std::vector<ResidencyAction>;

} // namespace celeryroute
