#include <celeryroute/detail/placement/targetholdings.h>

#include <celeryroute/detail/placement/itemkey.h>

#include <algorithm>

namespace celeryroute {

void sortUnique(std::vector<std::string> &list)
{
    std::sort(list.begin(), list.end());
    list.erase(std::unique(list.begin(), list.end()), list.end());
}

void append(std::vector<std::string> &list, const std::vector<std::string> &more)
{
    list.insert(list.end(), more.begin(), more.end());
}

std::vector<std::string> modelNames(const KnownTarget &target)
{
    std::vector<std::string> names;
    for (const ResidentModel &model : target.record.models) {
        names.push_back(model.name);
    }
    if (target.view) {
        for (const ResidentModel &model : target.view->models) {
            names.push_back(model.name);
        }
    }
    sortUnique(names);
    return names;
}

std::vector<std::string> loadingItems(const KnownTarget &target)
{
    std::vector<std::string> items;
    if (target.view) {
        for (const LoadingItem &loading : target.view->loading) {
            items.push_back(loading.item);
        }
    }
    sortUnique(items);
    return items;
}

std::vector<std::string> copyNames(const KnownTarget &target)
{
    std::vector<std::string> names = target.record.copies.inMemory;
    append(names, target.record.copies.onDisk);
    if (target.view) {
        append(names, target.view->copies.inMemory);
        append(names, target.view->copies.onDisk);
    }
    sortUnique(names);
    return names;
}

std::vector<std::string> affectedModels(const KnownTarget &target)
{
    std::vector<std::string> models = target.indexedModels;
    for (const std::string &item : target.indexedLoading) {
        models.push_back(modelOfItem(item));
    }
    if (target.view) {
        for (const std::string &item : target.view->declined) {
            models.push_back(modelOfItem(item));
        }
    }
    return models;
}

bool sameHoldings(const TargetView &left, const TargetView &right)
{
    return left.models == right.models && left.loading == right.loading && left.copies == right.copies;
}

bool eraseItem(std::vector<ResidentModel> &models, const std::string &item)
{
    const std::string model = modelOfItem(item);
    const auto held = std::find_if(models.begin(), models.end(), [&model](const ResidentModel &resident) {
        return resident.name == model;
    });
    if (held == models.end()) {
        return false;
    }
    if (model == item) {
        models.erase(held);
        return true;
    }
    return std::erase(held->adapters, item.substr(model.size() + 1)) > 0;
}

} // namespace celeryroute
