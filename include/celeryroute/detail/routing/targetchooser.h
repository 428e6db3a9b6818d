#pragma once

#include <celeryroute/detail/routing/rendezvous.h>
#include <celeryroute/detail/routing/targetstate.h>

#include <absl/container/node_hash_map.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace celeryroute {

/// Properties of a request that the choice of a target depends on.
struct TargetQuery {
    std::string model; ///< Empty for plain services.
    /// Key of the rendezvous subsets for requests without a model, e.g. the entry's incarnation.
    std::string spreadKey;
    std::vector<std::uint64_t> promptBlocks; ///< See PrefixEvent::block.
    std::uint64_t tokensPerBlock = 16;
    std::set<std::string> excludedHosts; ///< Hosts that were already tried.
    std::uint64_t random = 0; ///< Random bits for sampling candidates and subsets.
};

/// The chosen target and its expected delay.
struct TargetChoice {
    std::string host;
    Duration expectedStart{};
    bool warm = false; ///< Whether the model is resident or being loaded there.
    bool operator==(const TargetChoice &) const = default;
};

/// Chooses a target of one pool for each request.
///
/// Candidates are the holders of authority for the model or, if there are none, a fixed rendezvous
/// subset of the pool that is spread over failure domains. While no candidate is warm, all processes
/// choose the same first one, so that a burst of first requests causes only one load. Otherwise the
/// cheapest of up to four candidates is chosen: two random warm ones, the warm one with the most
/// prefix-cache hits, and the first cold one. A candidate is warm if the model is resident or being loaded.
class TargetChooser
{
public:
    explicit TargetChooser(std::size_t subsetSize = 8);

    void setTarget(const TargetInfo &info);
    void removeTarget(const std::string &host);
    void setHolders(const std::string &model, const std::vector<std::string> &hosts);

    /// @brief State of the target at @p host, or null if it is not in the pool.
    TargetState *find(const std::string &host);

    /// @brief Chooses a target for @p query. Returns nothing if no candidate is available.
    std::optional<TargetChoice> choose(const TargetQuery &query);

    /// @brief Number of targets inspected by all choices so far.
    std::uint64_t inspectedTargets() const
    {
        return m_inspectedTargets;
    }
    /// @brief Number of targets ranked to build subsets so far.
    std::uint64_t rankedTargets() const
    {
        return m_rankedTargets;
    }

private:
    struct Candidate {
        const TargetState *state;
        double cost; ///< Expected time until the start in seconds, minus hitSeconds.
        double hitSeconds; ///< Prefill time saved by prefix-cache hits.
        bool warm;
    };

    const std::vector<RankedTarget> &subsetFor(const std::string &key);
    std::vector<RankedTarget> rank(const std::string &key, const std::vector<std::string> &hosts);
    std::vector<Candidate> candidates(const TargetQuery &query);
    bool wouldEnter(const std::vector<RankedTarget> &subset, const std::string &key, const TargetInfo &info) const;
    void invalidateSubsets(const TargetInfo &info, bool added);

    std::size_t m_subsetSize;
    absl::node_hash_map<std::string, TargetState> m_targets;
    absl::node_hash_map<std::string, std::vector<RankedTarget>> m_holders; ///< By model.
    absl::node_hash_map<std::string, std::vector<RankedTarget>> m_subsets; ///< By key.
    std::uint64_t m_inspectedTargets = 0;
    std::uint64_t m_rankedTargets = 0;
};

} // namespace celeryroute
