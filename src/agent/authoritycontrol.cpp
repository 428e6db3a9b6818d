#include <celeryroute/detail/agent/authoritycontrol.h>
#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/residency/authorityplanner.h>

#include <absl/strings/str_cat.h>
#include <records.pb.h>

namespace celeryroute {

namespace {

constexpr Duration PlanInterval = std::chrono::milliseconds(250);
/// Time allowed for a proposal to be read back from the log before the next plan.
constexpr Duration ProposalTime = std::chrono::milliseconds(500);
/// Maximum jitter, so that the agents of a pool do not plan at the same time.
constexpr std::uint64_t MaxJitterMs = 250;
/// A proposal that has had no visible effect is repeated after this time.
constexpr Duration RepeatInterval = std::chrono::seconds(2);

} // namespace

AuthorityControl::AuthorityControl(const AgentSettings &settings, const AgentHooks &hooks)
    : m_settings(settings)
    , m_hooks(hooks)
    , m_membership(settings.pool)
{}

void AuthorityControl::setHosts(std::vector<HostEntry> hosts)
{
    absl::MutexLock lock(&m_mutex);
    m_newHosts = std::move(hosts);
}

void AuthorityControl::applyNewHosts(TimePoint now)
{
    absl::MutexLock lock(&m_mutex);
    if (m_newHosts) {
        m_membership.update(*m_newHosts, now);
        m_newHosts.reset();
    }
}

void AuthorityControl::step(const std::set<std::string> &heldItems, TimePoint now)
{
    applyNewHosts(now);
    if (now < m_nextPlan || m_membership.liveHosts().empty() || !m_hooks.submitAuthorityChange) {
        return;
    }
    m_nextPlan = now + PlanInterval;
    const std::shared_ptr<const FleetState> state = m_hooks.state();
    if (!state) {
        return;
    }
    if (state->nextOffset() == m_proposedAt && now < m_nextRepeat) {
        return;
    }
    PlannerInput input;
    input.pool = m_settings.pool;
    input.host = m_settings.host;
    input.incarnation = m_settings.incarnation;
    input.hosts = m_membership.liveHosts();
    input.expiredHosts = m_membership.expiredHosts(holderHosts(*state), now);
    input.heldItems = heldItems;
    input.leaving = state->isHostDraining(m_settings.host) || m_membership.isLeaving(m_settings.host);
    const proto::AuthorityChange change = planAuthority(*state, input);
    if (change.items_size() == 0) {
        return;
    }
    m_proposedAt = state->nextOffset();
    m_nextRepeat = now + RepeatInterval;
    m_nextPlan = now + ProposalTime + std::chrono::milliseconds(stableHash(m_settings.host) % MaxJitterMs);
    m_hooks.submitAuthorityChange(change);
    if (m_hooks.event) {
        AgentEvent event;
        event.kind = AgentEventKind::AuthorityProposed;
        event.detail = absl::StrCat(change.items_size(), " items");
        m_hooks.event(event);
    }
}

std::set<std::string> AuthorityControl::holderHosts(const FleetState &state) const
{
    std::set<std::string> hosts;
    state.authorities().forEach([&](const std::string &, const Authority &authority) {
        if (authority.pool == m_settings.pool) {
            for (const AuthorityHolder &holder : authority.holders) {
                hosts.insert(holder.host);
            }
        }
    });
    return hosts;
}

} // namespace celeryroute
