#pragma once

#include <string>

namespace celeryroute {

/// @brief The item name: `MODEL`, or `MODEL/ADAPTER` if @p adapter is not empty.
inline std::string itemKey(const std::string &model, const std::string &adapter)
{
    return adapter.empty() ? model : model + '/' + adapter;
}

/// @brief The model of @p item: the part before the slash, or all of it.
inline std::string modelOfItem(const std::string &item)
{
    return item.substr(0, item.find('/'));
}

} // namespace celeryroute
