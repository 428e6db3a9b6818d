#include <celeryroute/detail/queue/backlogindex.h>

namespace celeryroute {

void BacklogIndex::insert(const QueueEntry &entry, std::uint64_t sequence)
{
    Backlog &backlog = m_customers[entry.customer];
    m_byTokens.erase({backlog.perWeight(), entry.customer});
    backlog.weight = entry.weight;
    backlog.tokens += entry.tokens;
    backlog.entries.emplace(urgencyIndex(entry.urgency), sequence);
    m_byTokens.emplace(backlog.perWeight(), entry.customer);
}

void BacklogIndex::erase(const QueueEntry &entry, std::uint64_t sequence)
{
    const auto found = m_customers.find(entry.customer);
    if (found == m_customers.end()) {
        return;
    }
    Backlog &backlog = found->second;
    if (backlog.entries.erase({urgencyIndex(entry.urgency), sequence}) == 0) {
        return;
    }
    m_byTokens.erase({backlog.perWeight(), entry.customer});
    backlog.tokens -= entry.tokens;
    if (backlog.entries.empty()) {
        m_customers.erase(found);
        return;
    }
    m_byTokens.emplace(backlog.perWeight(), entry.customer);
}

std::optional<std::uint64_t> BacklogIndex::evictionCandidate() const
{
    if (m_byTokens.empty()) {
        return std::nullopt;
    }
    const auto found = m_customers.find(m_byTokens.rbegin()->second);
    return found->second.entries.rbegin()->second;
}

} // namespace celeryroute
