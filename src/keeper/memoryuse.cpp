#include <celeryroute/detail/keeper/memoryuse.h>

#include <algorithm>
#include <map>

namespace celeryroute {

MemoryUse operator+(const MemoryUse &left, const MemoryUse &right)
{
    return {left.memoryMb + right.memoryMb, left.slots + right.slots};
}

MemoryUse occupiedMemory(const OrderTracker &tracker, const EngineCatalog &catalog)
{
    MemoryUse sum;
    for (const ResidentModel &model : tracker.resident()) {
        const auto adapters = static_cast<std::uint32_t>(model.adapters.size());
        sum = sum + MemoryUse{catalog.modelMb(model.name) + adapters * catalog.adapterMb(model.name), adapters};
    }
    for (const TargetOrder &order : tracker.running()) {
        if (order.kind == OrderKind::Load && !tracker.holds({order.model, {}})) {
            sum = sum + MemoryUse{catalog.modelMb(order.model), 0};
        }
    }
    for (const ItemName &item : tracker.loadingAdapters()) {
        if (!tracker.holds(item)) {
            sum = sum + MemoryUse{catalog.adapterMb(item.model), 1};
        }
    }
    return sum;
}

// At most one of the orders with the same sequence takes effect, so only the largest of them is counted.
MemoryUse laterLoadMemory(const OrderTracker &tracker, const EngineCatalog &catalog, const std::string &instance)
{
    std::map<std::uint64_t, MemoryUse> bySequence;
    for (const TargetOrder &order : tracker.possibleLaterLoads(instance)) {
        MemoryUse &most = bySequence[order.expectedSequence];
        const bool adapter = !order.adapter.empty();
        const double memoryMb = adapter ? catalog.adapterMb(order.model) : catalog.modelMb(order.model);
        most.memoryMb = std::max(most.memoryMb, memoryMb);
        most.slots = std::max(most.slots, adapter ? 1U : 0U);
    }
    MemoryUse sum;
    for (const auto &[sequence, most] : bySequence) {
        sum = sum + most;
    }
    return sum;
}

} // namespace celeryroute
