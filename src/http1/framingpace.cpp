#include <celeryroute/detail/http1/framingpace.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr Duration LongestPauseCounted = std::chrono::milliseconds(500);

} // namespace

void FramingPace::noteIncomplete(TimePoint now)
{
    if (m_latest) {
        m_sending += std::clamp(now - *m_latest, Duration::zero(), LongestPauseCounted);
    }
    m_latest = now;
}

void FramingPace::noteComplete()
{
    m_sending = {};
    m_latest.reset();
}

} // namespace celeryroute
