#include <celeryroute/detail/entry/targetselection.h>

#include <celeryroute/detail/base/digest.h>

#include <peer.pb.h>

#include <limits>
#include <tuple>

namespace celeryroute {

namespace {

constexpr int ResidentRank = 0;
constexpr int LoadingRank = 1;
constexpr int AbsentRank = 2;

int residencyRank(const AgentLink &link, const std::string &model)
{
    const proto::TargetLoad *load = link.load();
    if (load == nullptr || model.empty()) {
        return model.empty() ? ResidentRank : AbsentRank;
    }
    for (const proto::ModelResidency &item : load->models()) {
        if (item.model() != model) {
            continue;
        }
        if (item.phase() == proto::ModelResidency::RESIDENT) {
            return ResidentRank;
        }
        return item.phase() == proto::ModelResidency::LOADING ? LoadingRank : AbsentRank;
    }
    return AbsentRank;
}

std::uint32_t busyPlaces(const AgentLink &link)
{
    const proto::TargetLoad *load = link.load();
    return load == nullptr ? 0 : load->running() + load->queued();
}

} // namespace

// All entries rank absent models by the same hash, so that a burst of first requests meets at one agent.
AgentLink *selectTarget(const std::vector<AgentLink *> &candidates,
                        const std::string &model,
                        const std::set<std::string> &triedHosts)
{
    using Rank = std::tuple<int, std::uint32_t, std::uint64_t>;
    AgentLink *best = nullptr;
    Rank bestRank{std::numeric_limits<int>::max(), 0, 0};
    for (AgentLink *link : candidates) {
        if (triedHosts.count(link->host().host) != 0) {
            continue;
        }
        const int residency = residencyRank(*link, model);
        const std::uint32_t busy = residency == ResidentRank ? busyPlaces(*link) : 0;
        const Rank rank{residency, busy, stableHash(model + '\n' + link->host().host)};
        if (best == nullptr || rank < bestRank) {
            best = link;
            bestRank = rank;
        }
    }
    return best;
}

} // namespace celeryroute
