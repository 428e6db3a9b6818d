#pragma once

#include <celeryroute/detail/serving/enginespec.h>
#include <celeryroute/detail/serving/targetrecord.h>

#include <cstdint>
#include <string>
#include <unordered_map>

namespace celeryroute {

/// Sizes of the models of a pool, and how long one target takes to load each.
class EngineCatalog
{
public:
    void useSpec(const EngineSpec &spec);
    void useCopies(const LocalCopies &copies);

    double memoryMb() const
    {
        return m_memoryMb;
    }
    std::uint32_t adapterSlots() const
    {
        return m_adapterSlots;
    }

    /// @brief The model called @p name if it can be loaded, or null.
    const EngineModel *model(const std::string &name) const;

    /// @brief Memory of the model; of one that was never named, the most that any takes.
    double modelMb(const std::string &name) const;
    double adapterMb(const std::string &name) const;
    double largestMb() const
    {
        return m_largestMb;
    }

    /// @brief Whether the model can be loaded without the weight store.
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
    struct Known {
        EngineModel model;
        bool current = true; ///< The spec still names it.
    };

    double m_memoryMb = 0;
    std::uint32_t m_adapterSlots = 0;
    double m_largestMb = 0;
    std::unordered_map<std::string, Known> m_models;
    std::unordered_map<std::string, Copy> m_copies;
};

} // namespace celeryroute
