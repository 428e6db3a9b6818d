#include <standins/storepace.h>

#include <algorithm>

namespace celeryroute {

namespace {

// Loads beyond the knee share what the store gives at the knee.
double slowdown(unsigned inFlight, unsigned knee)
{
    return std::max(1.0, static_cast<double>(inFlight) / static_cast<double>(knee));
}

Duration scaled(Duration duration, double factor)
{
    return fromSeconds(toSeconds(duration) * factor);
}

} // namespace

StorePace::StorePace(const StoreSettings &settings)
    : m_settings(settings)
{}

TimePoint StorePace::startModel(std::uint64_t megabytes, TimePoint now)
{
    ++m_models;
    const TimePoint start = std::max(now, m_nextModelStart);
    m_nextModelStart = start + fromSeconds(1.0 / m_settings.loadsPerSecond);
    const Duration fullSpeed = fromSeconds(static_cast<double>(megabytes) / m_settings.megabytesPerSecond);
    return start + scaled(fullSpeed, slowdown(m_models, m_settings.parallelLoads));
}

void StorePace::modelLoaded()
{
    --m_models;
}

TimePoint StorePace::startAdapter(TimePoint now)
{
    ++m_adapters;
    return now + scaled(m_settings.adapterTime, slowdown(m_adapters, m_settings.adaptersInFlight));
}

void StorePace::adapterLoaded()
{
    --m_adapters;
}

unsigned StorePace::modelsInFlight() const
{
    return m_models;
}

unsigned StorePace::adaptersInFlight() const
{
    return m_adapters;
}

} // namespace celeryroute
