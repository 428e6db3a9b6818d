#include <celeryroute/detail/placement/targettable.h>

#include <celeryroute/detail/placement/targetholdings.h>

#include <algorithm>

namespace celeryroute {

namespace {

/// Removes @p target from the rings that are only in @p before and adds it to those only in @p after.
void updateRings(std::unordered_map<std::string, TargetRing> &rings,
                 KnownTarget &target,
                 std::vector<std::string> &before,
                 std::vector<std::string> after)
{
    for (const std::string &name : before) {
        if (!std::binary_search(after.begin(), after.end(), name)) {
            const auto ring = rings.find(name);
            ring->second.erase(&target);
            if (ring->second.empty()) {
                rings.erase(ring);
            }
        }
    }
    for (const std::string &name : after) {
        if (!std::binary_search(before.begin(), before.end(), name)) {
            rings[name].insert(&target);
        }
    }
    before = std::move(after);
}

} // namespace

void TargetTable::unindex(KnownTarget &target)
{
    TargetPool &pool = findOrCreatePool(target.record.pool);
    pool.accepting.erase(&target);
    updateRings(pool.holders, target, target.indexedModels, {});
    updateRings(pool.loading, target, target.indexedLoading, {});
    updateRings(pool.copies, target, target.indexedCopies, {});
}

ChangedModels TargetTable::reindex(KnownTarget &target, TimePoint /*now*/)
{
    if (!target.acceptsCalls()) {
        unindex(target);
        return {};
    }
    TargetPool &pool = findOrCreatePool(target.record.pool);
    pool.accepting.insert(&target);
    updateRings(pool.holders, target, target.indexedModels, modelNames(target));
    updateRings(pool.loading, target, target.indexedLoading, loadingItems(target));
    updateRings(pool.copies, target, target.indexedCopies, copyNames(target));
    return affectedModels(target);
}

} // namespace celeryroute
