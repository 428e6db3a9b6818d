#pragma once

#include <string>

namespace celeryroute {

/// @brief `MODEL`, or `MODEL/ADAPTER`.
inline std::string itemKey(const std::string &model, const std::string &adapter)
{
    return adapter.empty() ? model : model + '/' + adapter;
}

/// @brief The model of @p item: itself, or the part before the slash of an adapter.
inline std::string modelOfItem(const std::string &item)
{
    return item.substr(0, item.find('/'));
}

} // namespace celeryroute
