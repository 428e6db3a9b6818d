#include <celeryroute/detail/keeper/enginecatalog.h>

#include <algorithm>

namespace celeryroute {

void EngineCatalog::setSpec(const EngineSpec &spec)
{
    m_memoryMb = spec.memoryMb;
    m_adapterSlots = spec.adapterSlots;
    m_largestMb = 0;
    for (auto &[name, known] : m_models) {
        known.current = false;
    }
    for (const EngineModel &model : spec.models) {
        m_models[model.name] = {model, true};
        // A model larger than the memory is never loaded, so no memory needs to be reserved for it.
        m_largestMb = model.memoryMb <= m_memoryMb ? std::max(m_largestMb, model.memoryMb) : m_largestMb;
    }
}

void EngineCatalog::setCopies(const LocalCopies &copies)
{
    m_copies.clear();
    for (const std::string &name : copies.onDisk) {
        m_copies[name] = Copy::OnDisk;
    }
    for (const std::string &name : copies.inMemory) {
        m_copies[name] = Copy::InMemory;
    }
}

const EngineModel *EngineCatalog::model(const std::string &name) const
{
    const auto found = m_models.find(name);
    return found == m_models.end() || !found->second.current ? nullptr : &found->second.model;
}

double EngineCatalog::modelMb(const std::string &name) const
{
    const auto found = m_models.find(name);
    return found == m_models.end() ? m_largestMb : found->second.model.memoryMb;
}

double EngineCatalog::adapterMb(const std::string &name) const
{
    const auto found = m_models.find(name);
    return found == m_models.end() ? 0 : found->second.model.adapterMb;
}

Duration EngineCatalog::loadTime(const std::string &name) const
{
    const auto found = m_models.find(name);
    if (found == m_models.end()) {
        return {};
    }
    const EngineModel &model = found->second.model;
    const auto copy = m_copies.find(name);
    if (copy == m_copies.end()) {
        return model.storeLoad;
    }
    return copy->second == Copy::InMemory ? model.memoryLoad : model.diskLoad;
}

} // namespace celeryroute
