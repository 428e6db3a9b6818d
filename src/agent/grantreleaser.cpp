#include <celeryroute/detail/agent/grantreleaser.h>

#include <records.pb.h>

namespace celeryroute {

namespace {

constexpr Duration RepeatInterval = std::chrono::seconds(2);

} // namespace

GrantReleaser::GrantReleaser(std::string host, std::string incarnation, std::string pool)
    : m_host(std::move(host))
    , m_incarnation(std::move(incarnation))
    , m_pool(std::move(pool))
{}

void GrantReleaser::add(const ReleaseGrant &release)
{
    m_pending[release.item] = release;
    m_nextProposal = TimePoint();
}

proto::AuthorityChange GrantReleaser::due(const AgentView &view, TimePoint now)
{
    proto::AuthorityChange change;
    if (m_pending.empty() || !view.state || now < m_nextProposal) {
        return change;
    }
    m_nextProposal = now + RepeatInterval;
    for (auto entry = m_pending.begin(); entry != m_pending.end();) {
        const Authority *authority = view.state->authority(m_pool, entry->first);
        const AuthorityHolder *holder = authority == nullptr ? nullptr : holderOn(*authority, m_host);
        if (holder == nullptr || holder->fencing != entry->second.fencing) {
            entry = m_pending.erase(entry);
            continue;
        }
        proto::AuthorityItem item;
        item.set_pool(m_pool);
        item.set_model(entry->first);
        item.set_host(m_host);
        item.set_incarnation(holder->incarnation);
        item.set_action(proto::RELEASE);
        item.set_base_revision(authority->revision);
        *change.add_items() = item;
        if (entry->second.takeOver) {
            item.set_incarnation(m_incarnation);
            item.set_action(proto::GRANT);
            *change.add_items() = item;
        }
        ++entry;
    }
    return change;
}

bool GrantReleaser::empty() const
{
    return m_pending.empty();
}

} // namespace celeryroute
