#pragma once

#include <string>

namespace celeryroute {

/// @brief Whether @p item names an adapter (`model/adapter`) and not a model.
bool isAdapter(const std::string &item);

/// @brief The model of @p item: itself, or the part before the slash of an adapter.
std::string baseModel(const std::string &item);

/// @brief The adapter's own name; empty for a model.
std::string adapterName(const std::string &item);

/// @brief `model` or `model/adapter`.
std::string itemName(const std::string &model, const std::string &adapter);

} // namespace celeryroute
