#pragma once

#include <celeryroute/time.h>

#include <map>
#include <string>

namespace celeryroute {

/// @brief Exponentially weighted moving average of the time from dispatch to the complete answer, by model or route.
class ServiceTimes
{
public:
    void record(const std::string &name, Duration elapsed);
    /// @brief Returns the expected time, or zero if none was recorded for @p name.
    Duration expected(const std::string &name) const;

private:
    std::map<std::string, Duration> m_times;
};

} // namespace celeryroute
