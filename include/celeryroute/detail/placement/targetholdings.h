#pragma once

#include <celeryroute/detail/placement/knowntarget.h>

#include <string>
#include <vector>

namespace celeryroute {

void sortUnique(std::vector<std::string> &list);
void append(std::vector<std::string> &list, const std::vector<std::string> &more);

/// @brief Sorted names of the models that @p target holds by its record or report.
std::vector<std::string> modelNames(const KnownTarget &target);
/// @brief Sorted items that @p target is loading.
std::vector<std::string> loadingItems(const KnownTarget &target);
/// @brief Sorted names of the models of which @p target has a copy on its disk or in its host memory.
std::vector<std::string> copyNames(const KnownTarget &target);
/// @brief Models whose waiting calls a change of @p target may concern.
std::vector<std::string> affectedModels(const KnownTarget &target);
bool sameHoldings(const TargetView &left, const TargetView &right);
/// @return whether @p models held @p item
bool eraseItem(std::vector<ResidentModel> &models, const std::string &item);

} // namespace celeryroute
