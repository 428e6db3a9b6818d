#include <celeryroute/detail/routing/targetchooser.h>

#include <celeryroute/detail/base/digest.h>

#include <algorithm>
#include <map>

namespace celeryroute {

namespace {

/// Maximum number of cached subsets. It is far above the number of models and adapters of one pool that
/// are requested at a time.
constexpr std::size_t MaxSubsets = 16384;
/// Ratio of prefill throughput to decode throughput of a target.
constexpr double PrefillSpeedup = 20.0;
/// Number of subsets over which the requests with the same spread key are distributed. With a single subset and
/// few entries, most targets of a large pool would stay idle.
constexpr std::uint64_t SpreadSubsets = 16;

std::string subsetKey(const TargetQuery &query)
{
    if (!query.model.empty()) {
        return query.model;
    }
    return query.spreadKey + '/' + std::to_string((query.random >> 48U) % SpreadSubsets);
}

} // namespace

TargetChooser::TargetChooser(std::size_t subsetSize)
    : m_subsetSize(subsetSize)
{}

void TargetChooser::setTarget(const TargetInfo &info)
{
    const auto found = m_targets.find(info.host);
    if (found == m_targets.end()) {
        m_targets.emplace(info.host, TargetState(info));
        invalidateSubsets(info, info.available());
        return;
    }
    const bool wasAvailable = found->second.info().available();
    const bool moved = found->second.info().domain != info.domain;
    found->second.setInfo(info);
    if (moved || wasAvailable != info.available()) {
        invalidateSubsets(info, info.available());
    }
}

void TargetChooser::removeTarget(const std::string &host)
{
    const auto found = m_targets.find(host);
    if (found != m_targets.end()) {
        invalidateSubsets(found->second.info(), false);
        m_targets.erase(found);
    }
}

void TargetChooser::setHolders(const std::string &model, const std::vector<std::string> &hosts)
{
    if (hosts.empty()) {
        m_holders.erase(model);
        return;
    }
    m_holders[model] = rank(model, hosts);
}

TargetState *TargetChooser::find(const std::string &host)
{
    const auto found = m_targets.find(host);
    return found == m_targets.end() ? nullptr : &found->second;
}

std::optional<TargetChoice> TargetChooser::choose(const TargetQuery &query)
{
    const std::vector<Candidate> ranked = candidates(query);
    if (ranked.empty()) {
        return std::nullopt;
    }
    std::vector<const Candidate *> warm;
    const Candidate *firstCold = nullptr;
    for (const Candidate &candidate : ranked) {
        if (candidate.warm) {
            warm.push_back(&candidate);
        } else if (firstCold == nullptr) {
            firstCold = &candidate;
        }
    }
    const Candidate *best = firstCold;
    const auto consider = [&best](const Candidate *other) {
        if (best == nullptr || other->cost < best->cost) {
            best = other;
        }
    };
    if (!warm.empty()) {
        const std::size_t first = query.random % warm.size();
        const std::size_t step = 1 + (query.random >> 32U) % std::max<std::size_t>(1, warm.size() - 1);
        consider(warm[first]);
        consider(warm[(first + step) % warm.size()]);
        consider(*std::max_element(warm.begin(), warm.end(), [](const Candidate *left, const Candidate *right) {
            return left->hitSeconds < right->hitSeconds;
        }));
    }
    return TargetChoice{best->state->info().host, best->state->expectedStart(query.model), best->warm};
}

const std::vector<RankedTarget> &TargetChooser::subsetFor(const std::string &key)
{
    const auto found = m_subsets.find(key);
    if (found != m_subsets.end()) {
        return found->second;
    }
    if (m_subsets.size() >= MaxSubsets) {
        m_subsets.clear();
    }
    std::vector<RankedTarget> targets;
    targets.reserve(m_targets.size());
    for (const auto &[host, state] : m_targets) {
        if (state.info().available()) {
            targets.push_back({rendezvousScore(key, host), host, state.info().domain});
        }
    }
    m_rankedTargets += targets.size();
    return m_subsets[key] = rendezvousSubset(std::move(targets), m_subsetSize);
}

std::vector<RankedTarget> TargetChooser::rank(const std::string &key, const std::vector<std::string> &hosts)
{
    std::vector<RankedTarget> targets;
    targets.reserve(hosts.size());
    for (const std::string &host : hosts) {
        targets.push_back({rendezvousScore(key, host), host, {}});
    }
    m_rankedTargets += targets.size();
    return rendezvousSubset(std::move(targets), hosts.size());
}

// Returns at most m_subsetSize candidates. Unavailable holders of authority are skipped. If no holder is
// available, the rendezvous subset of the pool is used, since authority will be granted there next.
std::vector<TargetChooser::Candidate> TargetChooser::candidates(const TargetQuery &query)
{
    std::vector<Candidate> result;
    const auto add = [&](const std::vector<RankedTarget> &ranked) {
        for (std::size_t i = 0; i < ranked.size() && result.size() < m_subsetSize; ++i) {
            ++m_inspectedTargets;
            const TargetState *state = find(ranked[i].host);
            if (state == nullptr || !state->info().available() || query.excludedHosts.contains(ranked[i].host)) {
                continue;
            }
            const double hitTokens = state->prefixes().expectedHits(query.promptBlocks)
                * static_cast<double>(query.tokensPerBlock);
            const double hitSeconds = hitTokens / (state->tokensPerSecond() * PrefillSpeedup);
            const double cost = toSeconds(state->expectedStart(query.model)) - hitSeconds;
            result.push_back({state, cost, hitSeconds, state->isWarm(query.model)});
        }
    };
    const auto holders = m_holders.find(query.model);
    if (holders != m_holders.end()) {
        add(holders->second);
    }
    if (result.empty()) {
        add(subsetFor(subsetKey(query)));
    }
    return result;
}

// Removes only the cached subsets that contain the target or that it would enter.
void TargetChooser::invalidateSubsets(const TargetInfo &info, bool added)
{
    absl::erase_if(m_subsets, [&](const auto &entry) {
        const auto &[key, subset] = entry;
        if (added && wouldEnter(subset, key, info)) {
            return true;
        }
        return std::any_of(subset.begin(), subset.end(), [&info](const RankedTarget &target) {
            return target.host == info.host;
        });
    });
}

// A new target enters a subset if its score is high enough, or if another failure domain holds more and its own
// domain fewer places than an even share.
bool TargetChooser::wouldEnter(const std::vector<RankedTarget> &subset,
                               const std::string &key,
                               const TargetInfo &info) const
{
    if (subset.size() < m_subsetSize || rendezvousScore(key, info.host) > subset.back().score) {
        return true;
    }
    std::map<std::string, std::size_t> byDomain;
    for (const RankedTarget &target : subset) {
        ++byDomain[target.domain];
    }
    const std::size_t evenShare = (m_subsetSize + byDomain.size() - 1) / byDomain.size();
    const bool uneven = std::any_of(byDomain.begin(), byDomain.end(), [evenShare](const auto &domain) {
        return domain.second > evenShare;
    });
    return uneven && byDomain[info.domain] < evenShare;
}

} // namespace celeryroute
