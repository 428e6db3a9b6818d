#include <celeryroute/detail/telemetry/namedcounters.h>

#include <algorithm>

namespace celeryroute {

void NamedCounters::add(std::string_view value, std::uint64_t amount)
{
    const auto found = std::ranges::find(m_counters, value, &Counter::value);
    if (found != m_counters.end()) {
        found->count += amount;
    } else if (m_counters.size() < MaxValues) {
        m_counters.push_back({std::string(value), amount});
    } else {
        m_other += amount;
    }
}

void NamedCounters::expose(ExpositionText &text, std::string_view labelName) const
{
    for (const Counter &counter : m_counters) {
        text.appendSample({{labelName, counter.value}}, counter.count);
    }
    if (m_other > 0) {
        text.appendSample({{labelName, "other"}}, m_other);
    }
}

} // namespace celeryroute
