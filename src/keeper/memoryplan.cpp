#include <celeryroute/detail/keeper/memoryplan.h>

#include <algorithm>

namespace celeryroute {

MemoryPlan::MemoryPlan(double memoryMb, std::uint32_t adapterSlots)
    : m_memoryMb(memoryMb)
    , m_adapterSlots(adapterSlots)
{}

void MemoryPlan::addModel(PlannedModel model)
{
    m_models.push_back(std::move(model));
}

void MemoryPlan::addAdapter(const std::string &model, PlannedAdapter adapter)
{
    const auto found = std::find_if(m_models.begin(), m_models.end(), [&](const PlannedModel &held) {
        return held.name == model;
    });
    if (found != m_models.end()) {
        found->adapters.push_back(std::move(adapter));
    }
}

double MemoryPlan::freeMb() const
{
    double free = m_memoryMb;
    for (const PlannedModel &model : m_models) {
        free -= model.memoryMb;
        for (const PlannedAdapter &adapter : model.adapters) {
            free -= adapter.memoryMb;
        }
    }
    return free;
}

std::int64_t MemoryPlan::freeSlots() const
{
    std::int64_t free = m_adapterSlots;
    for (const PlannedModel &model : m_models) {
        free -= static_cast<std::int64_t>(model.adapters.size());
    }
    return free;
}

std::optional<std::vector<ItemName>> MemoryPlan::evictFor(double memoryMb, std::uint32_t slots)
{
    const std::vector<PlannedModel> before = m_models;
    std::vector<ItemName> removed;
    evictAdapters(memoryMb, slots, removed);
    evictModels(memoryMb, removed);
    if (freeMb() < memoryMb || freeSlots() < static_cast<std::int64_t>(slots)) {
        m_models = before;
        return std::nullopt;
    }
    return removed;
}

// Adapters are evicted to free memory only if that frees enough. Otherwise a model must be evicted, which frees its
// adapters as well.
void MemoryPlan::evictAdapters(double memoryMb, std::uint32_t slots, std::vector<ItemName> &removed)
{
    const bool enough = freeMb() + evictableAdapterMb() >= memoryMb;
    while (freeSlots() < static_cast<std::int64_t>(slots) || (enough && freeMb() < memoryMb)) {
        if (!evictLeastAdapter(removed)) {
            return;
        }
    }
}

double MemoryPlan::evictableAdapterMb() const
{
    double sum = 0;
    for (const PlannedModel &model : m_models) {
        for (const PlannedAdapter &adapter : model.adapters) {
            sum += adapter.evictable ? adapter.memoryMb : 0;
        }
    }
    return sum;
}

bool MemoryPlan::evictLeastAdapter(std::vector<ItemName> &removed)
{
    PlannedModel *holder = nullptr;
    std::size_t least = 0;
    for (PlannedModel &model : m_models) {
        for (std::size_t i = 0; i < model.adapters.size(); ++i) {
            const PlannedAdapter &adapter = model.adapters[i];
            if (adapter.evictable
                && (holder == nullptr || adapter.retentionValue < holder->adapters[least].retentionValue)) {
                holder = &model;
                least = i;
            }
        }
    }
    if (holder == nullptr) {
        return false;
    }
    removed.push_back({holder->name, holder->adapters[least].name});
    holder->adapters.erase(holder->adapters.begin() + static_cast<std::ptrdiff_t>(least));
    return true;
}

// Evicts the models of least value until there is enough memory. Then keeps those that need not be evicted after all,
// starting with the one of highest value.
void MemoryPlan::evictModels(double memoryMb, std::vector<ItemName> &removed)
{
    std::vector<PlannedModel> taken;
    while (freeMb() < memoryMb) {
        auto least = m_models.end();
        for (auto model = m_models.begin(); model != m_models.end(); ++model) {
            if (model->evictable && (least == m_models.end() || model->retentionValue < least->retentionValue)) {
                least = model;
            }
        }
        if (least == m_models.end()) {
            break;
        }
        taken.push_back(std::move(*least));
        m_models.erase(least);
    }
    for (auto model = taken.rbegin(); model != taken.rend(); ++model) {
        if (canKeep(*model, memoryMb)) {
            m_models.push_back(std::move(*model));
        } else {
            removed.push_back({model->name, {}});
        }
    }
}

bool MemoryPlan::canKeep(const PlannedModel &model, double memoryMb) const
{
    double needed = model.memoryMb;
    for (const PlannedAdapter &adapter : model.adapters) {
        needed += adapter.memoryMb;
    }
    const auto slots = static_cast<std::int64_t>(model.adapters.size());
    return freeMb() - needed >= memoryMb && freeSlots() >= slots;
}

} // namespace celeryroute
