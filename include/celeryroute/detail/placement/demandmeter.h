#pragma once

#include <celeryroute/time.h>

#include <string>
#include <unordered_map>

namespace celeryroute {

/// Recent rate of calls for each model.
class DemandMeter
{
public:
    void note(const std::string &model, TimePoint now);
    /// @brief Calls per second, over about half a minute.
    double rate(const std::string &model, TimePoint now) const;

private:
    struct Count {
        double value = 0;
        TimePoint at;
    };

    std::unordered_map<std::string, Count> m_counts;
};

} // namespace celeryroute
