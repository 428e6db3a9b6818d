#pragma once

#include <standins/storesettings.h>

#include <cstdint>

namespace celeryroute {

/// @brief Decides how long each load from the weight store takes.
class StorePace
{
public:
    explicit StorePace(const StoreSettings &settings);

    /// @brief When a model load that is asked for at @p now arrives; call modelLoaded() then.
    TimePoint startModel(std::uint64_t megabytes, TimePoint now);
    void modelLoaded();
    /// @brief When an adapter load that is asked for at @p now arrives; call adapterLoaded() then.
    TimePoint startAdapter(TimePoint now);
    void adapterLoaded();

    unsigned modelsInFlight() const;
    unsigned adaptersInFlight() const;

private:
    StoreSettings m_settings;
    TimePoint m_nextModelStart;
    unsigned m_models = 0;
    unsigned m_adapters = 0;
};

} // namespace celeryroute
