#pragma once

#include <string>

namespace celeryroute {

/// @brief Whether @p item is the name of an adapter (`model/adapter`).
bool isAdapter(const std::string &item);

/// @brief The base model of an adapter, or @p item itself if it is a model.
std::string baseModel(const std::string &item);

/// @brief The part after the slash of an adapter, or an empty string for a model.
std::string adapterName(const std::string &item);

/// @brief Returns `model/adapter`, or `model` if @p adapter is empty.
std::string itemName(const std::string &model, const std::string &adapter);

} // namespace celeryroute
