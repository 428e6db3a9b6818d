#include <celeryroute/detail/claims/claimbatcher.h>

#include <algorithm>

namespace celeryroute {

void ClaimBatcher::add(proto::ClaimItem item, TimePoint now)
{
    if (m_items.empty()) {
        m_firstAddedAt = now;
    }
    m_items.push_back(std::move(item));
}

std::optional<TimePoint> ClaimBatcher::nextDue() const
{
    if (m_items.empty()) {
        return std::nullopt;
    }
    const TimePoint gathered = m_firstAddedAt + MaxBatchDelay;
    return m_lastTakenAt ? std::max(gathered, *m_lastTakenAt + MinBatchInterval) : gathered;
}

// Items keep their order: a CLAIM item must precede the item that settles the claim.
std::optional<proto::ClaimBatch> ClaimBatcher::take(TimePoint now)
{
    const std::optional<TimePoint> dueAt = nextDue();
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
    m_lastTakenAt = now;
    return batch;
}

} // namespace celeryroute
