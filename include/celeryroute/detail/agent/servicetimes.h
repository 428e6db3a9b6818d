#pragma once

#include <celeryroute/time.h>

#include <map>
#include <string>

namespace celeryroute {

/// @brief Smoothed time from dispatch to the whole answer, by model or route.
class ServiceTimes
{
public:
    void record(const std::string &name, Duration elapsed);
    /// @brief Zero when nothing is known.
    Duration expected(const std::string &name) const;

private:
    std::map<std::string, Duration> m_times;
};

} // namespace celeryroute
