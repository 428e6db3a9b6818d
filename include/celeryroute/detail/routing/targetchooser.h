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

/// One request that needs a target.
struct TargetQuery {
    std::string model; ///< Empty for plain services.
    std::string spreadKey; ///< Chooses the subsets when no model does, e.g. the entry's incarnation.
    std::vector<std::uint64_t> promptBlocks; ///< See PrefixEvent::block.
    std::uint64_t tokensPerBlock = 16;
    std::set<std::string> excludedHosts; ///< Tried before.
    std::uint64_t random = 0; ///< Decides between equals.
};

/// The chosen target.
struct TargetChoice {
    std::string host;
    Duration expectedStart{};
    bool warm = false; ///< The model is resident or being loaded there.
    bool operator==(const TargetChoice &) const = default;
};

/// Chooses a target of one pool for each request.
///
/// Candidates are the holders of authority for the model, else a fixed rendezvous subset of the
/// pool spread over failure domains. While none of them is warm, all processes choose the same
/// first one, so that a burst of first requests makes one load. Otherwise the cheapest of two
/// random warm candidates, the one with the best prefix-cache hit and the first cold one.
class TargetChooser
{
public:
    explicit TargetChooser(std::size_t subsetSize = 8);

    void setTarget(const TargetInfo &info);
    void removeTarget(const std::string &host);
    void setHolders(const std::string &model, const std::vector<std::string> &hosts);

    /// @brief What is known of @p host; null when it is no target of the pool.
    TargetState *find(const std::string &host);

    /// @brief The target for @p query; empty when no candidate is available.
    std::optional<TargetChoice> choose(const TargetQuery &query);

    /// @brief Targets looked at by all choices so far.
    std::uint64_t operations() const
    {
        return m_operations;
    }
    /// @brief Targets ranked to build subsets so far.
    std::uint64_t rankings() const
    {
        return m_rankings;
    }

private:
    struct Candidate {
        const TargetState *state;
        double cost; ///< Seconds, prefix-cache hits deducted.
        double hitSeconds;
        bool warm;
    };

    const std::vector<RankedTarget> &subsetFor(const std::string &key);
    std::vector<RankedTarget> rank(const std::string &key, const std::vector<std::string> &hosts);
    std::vector<Candidate> candidates(const TargetQuery &query);
    bool wouldEnter(const std::vector<RankedTarget> &subset, const std::string &key, const TargetInfo &info) const;
    void forgetSubsets(const TargetInfo &info, bool added);

    std::size_t m_subsetSize;
    absl::node_hash_map<std::string, TargetState> m_targets;
    absl::node_hash_map<std::string, std::vector<RankedTarget>> m_holders; ///< By model.
    absl::node_hash_map<std::string, std::vector<RankedTarget>> m_subsets; ///< By key.
    std::uint64_t m_operations = 0;
    std::uint64_t m_rankings = 0;
};

} // namespace celeryroute
