#pragma once

#include <celeryroute/detail/serving/targetorder.h>

#include <string>

namespace celeryroute {

/// @brief Names a model or an adapter of a model.
struct ItemName {
    std::string model;
    std::string adapter; ///< Empty for the model itself.
    bool operator==(const ItemName &) const = default;
};

/// @brief Parses `MODEL` or `MODEL/ADAPTER`.
ItemName parseItem(const std::string &text);

/// @brief Formats the name as `MODEL` or `MODEL/ADAPTER`.
std::string toString(const ItemName &item);

/// @brief The item that @p order loads or unloads.
ItemName itemOf(const TargetOrder &order);

} // namespace celeryroute
