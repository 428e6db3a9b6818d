#include <celeryroute/detail/node/entrynode.h>

#include <celeryroute/detail/base/digest.h>

#include <algorithm>

namespace celeryroute {

// What entries record in the store for processes that start later: settled eras and the versions that serve.

void EntryNode::beginEra()
{
    m_eraRecord.begin(m_era.era());
    m_core.loop.defer([this] { m_eraDriver.advance(); });
}

void EntryNode::noteSettledEra(TimePoint now)
{
    if (m_eraRecord.isSettled()) {
        m_desired.eraSettled();
        m_keys.areKeysFresh(now);
    }
}

void EntryNode::noteRegistryRead()
{
    const TopicFollower &registry = m_targets.follower();
    if (registry.isListing()) {
        m_versionRecord.registryUnknown();
    } else if (registry.confirmedAt()) {
        m_versionRecord.registryKnown(*registry.confirmedAt());
    }
    m_versionDriver.advance();
}

void EntryNode::useStreamPools(const ServingState &state)
{
    std::set<std::string> pools;
    for (const ServingRoute &route : state.routes) {
        if (route.kind == CallKind::Stream && route.resumable) {
            for (const PoolWeight &pool : route.pools) {
                pools.insert(pool.pool);
            }
        }
    }
    m_versionRecord.usePools(std::move(pools));
    m_versionDriver.advance();
}

// A few entries write each record, so that the loss of one doesn't leave it unwritten.
bool EntryNode::isWriter(const std::string &key) const
{
    constexpr std::ptrdiff_t Writers = 3;
    const std::vector<std::string> peers = m_allowances.members().connectedPeers();
    const std::uint64_t own = rendezvousScore(key, m_core.settings.ip);
    return std::count_if(peers.begin(),
                         peers.end(),
                         [&key, own](const std::string &peer) { return rendezvousScore(key, peer) > own; })
        < Writers;
}

void EntryNode::log(const VersionsRead &event)
{
    m_core.log.write(DecisionEvent::VersionsRead,
                     m_core.loop.now(),
                     {{"pools", event.pools}, {"versions", event.versions}, {"offset", event.end}});
}

void EntryNode::log(const VersionRecorded &event)
{
    m_core.log.write(DecisionEvent::VersionRecorded,
                     m_core.loop.now(),
                     {{"pool", event.pool},
                      {"software", event.version},
                      {"change", event.removed ? "removed" : "added"},
                      {"offset", event.offset}});
}

} // namespace celeryroute
