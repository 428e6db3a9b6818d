#pragma once

#include <celeryroute/detail/serving/enginespec.h>
#include <celeryroute/detail/serving/targetrecord.h>

#include <cstdint>
#include <string>
#include <unordered_map>

namespace celeryroute {

/// @brief Memory sizes of the models of a pool, and the time that one target takes to load each of them.
class EngineCatalog
{
public:
    void setSpec(const EngineSpec &spec);
    void setCopies(const LocalCopies &copies);

    double memoryMb() const
    {
        return m_memoryMb;
    }
    std::uint32_t adapterSlots() const
    {
        return m_adapterSlots;
    }

    /// @brief The model called @p name, or null if the engine specification does not list it.
    const EngineModel *model(const std::string &name) const;

    /// @brief Memory of the model in MB. For a model that was never listed, the largest size of any listed model.
    double modelMb(const std::string &name) const;
    double adapterMb(const std::string &name) const;
    double largestMb() const
    {
        return m_largestMb;
    }

    /// @brief Whether the target has a local copy, so that a load does not need the weight store.
    bool hasCopy(const std::string &name) const
    {
        return m_copies.contains(name);
    }
    Duration loadTime(const std::string &name) const;

private:
    enum class Copy {
        OnDisk,
        InMemory,
    };
    struct CatalogModel {
        EngineModel model;
        bool current = true; ///< Listed in the current specification.
    };

    double m_memoryMb = 0;
    std::uint32_t m_adapterSlots = 0;
    double m_largestMb = 0;
    std::unordered_map<std::string, CatalogModel> m_models;
    std::unordered_map<std::string, Copy> m_copies;
};

} // namespace celeryroute
