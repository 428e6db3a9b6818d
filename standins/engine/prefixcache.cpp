#include <standins/prefixcache.h>

#include <celeryroute/detail/base/digest.h>

namespace celeryroute {

namespace {

constexpr std::size_t PrefixBytes = 256;
constexpr std::size_t KeptEvents = 1000;
/// Every such event is lost, as real engines publish with gaps.
constexpr std::uint64_t LostEventStep = 17;

} // namespace

PrefixCache::PrefixCache(std::size_t capacity)
    : m_capacity(capacity)
{}

bool PrefixCache::use(const std::string &model, const std::string &prompt)
{
    const std::string prefix = toHex(sha256({model, prompt.substr(0, PrefixBytes)})).substr(0, 16);
    const auto found = m_positions.find(prefix);
    if (found != m_positions.end()) {
        m_order.splice(m_order.begin(), m_order, found->second);
        return true;
    }
    if (m_order.size() >= m_capacity) {
        publish(m_order.back(), false);
        m_positions.erase(m_order.back());
        m_order.pop_back();
    }
    m_order.push_front(prefix);
    m_positions[prefix] = m_order.begin();
    publish(prefix, true);
    return false;
}

std::vector<CacheEvent> PrefixCache::events(std::uint64_t from) const
{
    std::vector<CacheEvent> events;
    for (const CacheEvent &event : m_events) {
        if (event.sequence >= from) {
            events.push_back(event);
        }
    }
    return events;
}

void PrefixCache::publish(const std::string &prefix, bool stored)
{
    const std::uint64_t sequence = m_nextSequence++;
    if (sequence % LostEventStep == LostEventStep - 1) {
        return;
    }
    m_events.push_back(CacheEvent{sequence, prefix, stored});
    if (m_events.size() > KeptEvents) {
        m_events.pop_front();
    }
}

} // namespace celeryroute
