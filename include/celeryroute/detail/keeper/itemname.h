#pragma once

#include <celeryroute/detail/serving/targetorder.h>

#include <string>

namespace celeryroute {

/// A model, or an adapter of a model.
struct ItemName {
    std::string model;
    std::string adapter; ///< Empty for the model itself.
    bool operator==(const ItemName &) const = default;
};

/// @brief The item that `MODEL` or `MODEL/ADAPTER` names.
ItemName parseItem(const std::string &text);

/// @brief `MODEL` or `MODEL/ADAPTER`.
std::string toString(const ItemName &item);

/// @brief The item that @p order loads or unloads.
ItemName itemOf(const TargetOrder &order);

} // namespace celeryroute
