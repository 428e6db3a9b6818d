#pragma once

#include <celeryroute/time.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief Reads the events of one streamed answer and the times at which they came.
class StreamProbe
{
public:
    explicit StreamProbe(TimePoint start);

    void add(const std::string &data, TimePoint now);
    /// @brief Whether the closing event came.
    bool complete() const;
    const std::string &text() const;
    std::optional<Duration> firstTokenTime() const;
    const std::vector<Duration> &tokenGaps() const;

private:
    void addEvent(const std::string &event, TimePoint now);

    const TimePoint m_start;
    std::string m_partial;
    std::string m_text;
    bool m_complete = false;
    std::optional<TimePoint> m_lastToken;
    std::optional<Duration> m_firstTokenTime;
    std::vector<Duration> m_gaps;
};

} // namespace celeryroute
