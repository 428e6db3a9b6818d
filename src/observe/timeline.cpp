#include <celeryroute/detail/observe/timeline.h>

#include <algorithm>

namespace celeryroute {

namespace {

bool matchesField(const std::string &wanted, const std::string &value)
{
    return wanted.empty() || wanted == value;
}

} // namespace

bool matches(const TimelineFilter &filter, const TimelineEvent &event)
{
    return matchesField(filter.requestId, event.requestId) && matchesField(filter.customer, event.customer)
        && matchesField(filter.model, event.model) && matchesField(filter.host, event.host);
}

Timeline::Timeline(std::string instance, std::string host, std::size_t capacity)
    : m_instance(std::move(instance))
    , m_host(std::move(host))
    , m_capacity(std::max<std::size_t>(capacity, 1))
{}

void Timeline::record(TimelineEvent event, WallTime now)
{
    event.instance = m_instance;
    if (event.host.empty()) {
        event.host = m_host;
    }
    event.wallTimeMs = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    absl::MutexLock lock(&m_mutex);
    event.logicalTime = ++m_clock;
    event.sequence = m_recorded;
    if (m_ring.size() < m_capacity) {
        m_ring.push_back(std::move(event));
    } else {
        m_ring[m_recorded % m_capacity] = std::move(event);
    }
    ++m_recorded;
}

std::uint64_t Timeline::stamp()
{
    absl::MutexLock lock(&m_mutex);
    return ++m_clock;
}

void Timeline::observe(std::uint64_t logicalTime)
{
    absl::MutexLock lock(&m_mutex);
    m_clock = std::max(m_clock, logicalTime) + 1;
}

std::vector<TimelineEvent> Timeline::select(const TimelineFilter &filter) const
{
    std::vector<TimelineEvent> newestFirst;
    absl::MutexLock lock(&m_mutex);
    for (std::size_t i = 0; i < m_ring.size() && newestFirst.size() < filter.limit; ++i) {
        const TimelineEvent &event = m_ring[(m_recorded - 1 - i) % m_capacity];
        if (matches(filter, event)) {
            newestFirst.push_back(event);
        }
    }
    std::reverse(newestFirst.begin(), newestFirst.end());
    return newestFirst;
}

} // namespace celeryroute
