#pragma once

#include <celeryroute/detail/telemetry/expositiontext.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace celeryroute {

/// @brief Counters of one metric family by a label whose values are not known at compile time.
///
/// Only the first MaxValues values get a counter; all further values are counted as `other`.
class NamedCounters
{
public:
    static constexpr std::size_t MaxValues = 32;

    void add(std::string_view value, std::uint64_t amount = 1);
    void expose(ExpositionText &text, std::string_view labelName) const;

private:
    struct Counter {
        std::string value;
        std::uint64_t count = 0;
    };

    std::vector<Counter> m_counters;
    std::uint64_t m_other = 0;
};

} // namespace celeryroute
