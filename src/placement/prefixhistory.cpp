#include <celeryroute/detail/placement/prefixhistory.h>

#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/placement/itemkey.h>
#include <celeryroute/detail/placement/targetring.h>

#include <algorithm>

namespace celeryroute {

// Calls with the same shared parts differ only in their last part, so the digest without it leads them to the same
// targets.
PrefixChain prefixChain(const EngineCall &call)
{
    PrefixChain chain;
    chain.links.reserve(call.parts.size());
    std::uint64_t digest = stableHash(call.pool + '\n' + itemKey(call.model, call.adapter));
    chain.rendezvousKey = digest;
    std::uint64_t tokens = 0;
    for (const PromptPart &part : call.parts) {
        digest = mixBits(digest ^ stableHash(part.id));
        tokens += part.tokens;
        chain.links.push_back({digest, tokens});
    }
    if (chain.links.size() == 1) {
        chain.rendezvousKey = chain.links.front().digest;
    } else if (chain.links.size() > 1) {
        const PrefixChain::Link &shared = chain.links[chain.links.size() - 2];
        chain.rendezvousKey = shared.digest;
        chain.sharedTokens = shared.tokens;
    }
    return chain;
}

PrefixHistory::PrefixHistory(std::size_t capacity)
    : m_capacity(capacity)
{}

void PrefixHistory::note(const PrefixChain &chain, std::uint32_t lifetime, std::uint64_t sentTokens)
{
    for (const PrefixChain::Link &link : chain.links) {
        const auto [entry, added] = m_entries.try_emplace(link.digest);
        if (added) {
            m_uses.push_front(link.digest);
            entry->second.use = m_uses.begin();
        } else {
            m_uses.splice(m_uses.begin(), m_uses, entry->second.use);
        }
        put(entry->second.placements, {lifetime, sentTokens});
        if (m_entries.size() > m_capacity) {
            m_entries.erase(m_uses.back());
            m_uses.pop_back();
        }
    }
}

// The latest placement comes first. If the target is new and the list is full, the oldest placement is dropped.
void PrefixHistory::put(Placements &placements, Placement placement)
{
    auto at = std::find_if(placements.begin(), placements.end(), [&placement](const Placement &other) {
        return other.lifetime == placement.lifetime;
    });
    if (at == placements.end()) {
        at = placements.end() - 1;
    }
    std::move_backward(placements.begin(), at, at + 1);
    placements.front() = placement;
}

const PrefixHistory::Placements *PrefixHistory::placements(std::uint64_t digest) const
{
    const auto entry = m_entries.find(digest);
    return entry == m_entries.end() ? nullptr : &entry->second.placements;
}

std::size_t PrefixHistory::size() const
{
    return m_entries.size();
}

} // namespace celeryroute
