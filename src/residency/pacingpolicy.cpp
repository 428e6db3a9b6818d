#include <celeryroute/detail/residency/pacingpolicy.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr int SlotExpiryFactor = 4;
constexpr Duration MinSlotExpiry = std::chrono::seconds(5);

} // namespace

PacingPolicy::PacingPolicy(StoreLimits limits)
    : m_limits(limits)
{}

void PacingPolicy::setLimits(StoreLimits limits)
{
    m_limits = limits;
}

void PacingPolicy::request(const SlotRequest &request)
{
    const bool waits = std::any_of(m_waiting.begin(), m_waiting.end(), [&request](const SlotRequest &entry) {
        return entry.id == request.id;
    });
    if (waits || m_slots.contains(request.id)) {
        return;
    }
    // Requests with equal demand keep their order of arrival.
    const auto position = std::upper_bound(
        m_waiting.begin(),
        m_waiting.end(),
        request,
        [](const SlotRequest &left, const SlotRequest &right) { return isMoreUrgent(left.demand, right.demand); });
    m_waiting.insert(position, request);
}

void PacingPolicy::finish(const std::string &id)
{
    m_slots.erase(id);
    std::erase_if(m_waiting, [&id](const SlotRequest &entry) { return entry.id == id; });
}

std::vector<std::string> PacingPolicy::grant(TimePoint now)
{
    dropExpired(now);
    std::vector<std::string> granted;
    for (auto entry = m_waiting.begin(); entry != m_waiting.end();) {
        if (!hasRoom(entry->adapter, now)) {
            ++entry;
            continue;
        }
        if (!entry->adapter && m_limits.loadsPerSecond > 0) {
            m_nextModel = now + fromSeconds(1 / m_limits.loadsPerSecond);
        }
        const Duration lapse = std::max<Duration>(entry->expectedLoad * SlotExpiryFactor, MinSlotExpiry);
        m_slots[entry->id] = Slot{entry->adapter, now + lapse};
        granted.push_back(entry->id);
        entry = m_waiting.erase(entry);
    }
    return granted;
}

TimePoint PacingPolicy::nextGrant(TimePoint now) const
{
    if (m_waiting.empty()) {
        return TimePoint::max();
    }
    TimePoint next = TimePoint::max();
    for (const auto &[id, slot] : m_slots) {
        next = std::min(next, slot.expires);
    }
    return m_nextModel > now ? std::min(next, m_nextModel) : next;
}

std::size_t PacingPolicy::inFlight(bool adapter) const
{
    return static_cast<std::size_t>(std::count_if(m_slots.begin(), m_slots.end(), [adapter](const auto &entry) {
        return entry.second.adapter == adapter;
    }));
}

std::size_t PacingPolicy::waiting() const
{
    return m_waiting.size();
}

bool PacingPolicy::hasRoom(bool adapter, TimePoint now) const
{
    if (adapter) {
        return m_limits.adaptersInFlight == 0 || inFlight(true) < m_limits.adaptersInFlight;
    }
    const bool parallel = m_limits.parallelLoads == 0 || inFlight(false) < m_limits.parallelLoads;
    return parallel && now >= m_nextModel;
}

void PacingPolicy::dropExpired(TimePoint now)
{
    std::erase_if(m_slots, [now](const auto &entry) { return entry.second.expires <= now; });
    std::erase_if(m_waiting, [now](const SlotRequest &entry) { return entry.demand.deadline <= now; });
}

StoreLimits staticShare(const StoreLimits &limits, std::size_t agents)
{
    const auto divisor = static_cast<std::uint32_t>(std::max<std::size_t>(1, agents));
    StoreLimits share = limits;
    share.loadsPerSecond = limits.loadsPerSecond / divisor;
    // Each agent may load at least one item at a time, because an overloaded store is better than an agent
    // that cannot load at all.
    share.parallelLoads = limits.parallelLoads == 0 ? 0 : std::max<std::uint32_t>(1, limits.parallelLoads / divisor);
    share.adaptersInFlight = limits.adaptersInFlight == 0
        ? 0
        : std::max<std::uint32_t>(1, limits.adaptersInFlight / divisor);
    return share;
}

} // namespace celeryroute
