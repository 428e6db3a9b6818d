#pragma once

#include <celeryroute/detail/keeper/itemname.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief An adapter in a MemoryPlan.
struct PlannedAdapter {
    std::string name;
    double memoryMb = 0;
    bool evictable = false;
    double retentionValue = 0; ///< The evictable adapter with the lowest value is evicted first.
};

/// @brief A model in a MemoryPlan, with its adapters.
struct PlannedModel {
    std::string name;
    double memoryMb = 0; ///< Memory of the weights.
    bool evictable = false;
    double retentionValue = 0; ///< The evictable model with the lowest value is evicted first.
    std::vector<PlannedAdapter> adapters;
};

/// @brief The items that a target would hold after a series of orders, and which of them to evict for the next load.
class MemoryPlan
{
public:
    MemoryPlan(double memoryMb, std::uint32_t adapterSlots);

    void addModel(PlannedModel model);
    void addAdapter(const std::string &model, PlannedAdapter adapter);

    /// @brief Evicts the items of least value until @p memoryMb and @p slots are free.
    /// @return the evicted items, or nothing if there cannot be enough room; the plan is then unchanged.
    std::optional<std::vector<ItemName>> evictFor(double memoryMb, std::uint32_t slots);

    double freeMb() const;
    std::int64_t freeSlots() const;

private:
    void evictAdapters(double memoryMb, std::uint32_t slots, std::vector<ItemName> &removed);
    void evictModels(double memoryMb, std::vector<ItemName> &removed);
    double evictableAdapterMb() const;
    bool evictLeastAdapter(std::vector<ItemName> &removed);
    bool canKeep(const PlannedModel &model, double memoryMb) const;

    double m_memoryMb;
    std::uint32_t m_adapterSlots;
    std::vector<PlannedModel> m_models;
};

} // namespace celeryroute
