#include <celeryroute/detail/claims/claimbatcher.h>

#include <algorithm>

namespace celeryroute {

void ClaimBatcher::add(proto::ClaimItem item, TimePoint now)
{
    if (m_items.empty()) {
        m_firstAdded = now;
    }
    m_items.push_back(std::move(item));
}

std::optional<TimePoint> ClaimBatcher::due() const
{
    if (m_items.empty()) {
        return std::nullopt;
    }
    const TimePoint gathered = m_firstAdded + GatherTime;
    return m_lastTaken ? std::max(gathered, *m_lastTaken + Spacing) : gathered;
}

// Items keep their order: a CLAIM item must precede the item that settles the claim.
std::optional<proto::ClaimBatch> ClaimBatcher::take(TimePoint now)
{
    const std::optional<TimePoint> dueAt = due();
    if (!dueAt || now < *dueAt) {
        return std::nullopt;
    }
    proto::ClaimBatch batch;
    std::size_t bytes = 0;
    auto next = m_items.begin();
    while (next != m_items.end() && batch.items_size() < MaxItems && bytes < MaxBytes) {
        bytes += next->ByteSizeLong();
        *batch.add_items() = std::move(*next);
        ++next;
    }
    m_items.erase(m_items.begin(), next);
    m_lastTaken = now;
    return batch;
}

} // namespace celeryroute
