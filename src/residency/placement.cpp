#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/residency/placement.h>

#include <algorithm>
#include <set>

namespace celeryroute {

std::uint64_t rendezvousWeight(const std::string &item, const std::string &host)
{
    return stableHash(item + '\n' + host);
}

std::vector<std::string>
preferredHosts(const std::string &item, std::uint32_t replicas, const std::vector<PlacementHost> &hosts)
{
    struct Ranked {
        std::uint64_t weight;
        const PlacementHost *host;
    };
    std::vector<Ranked> ranked;
    ranked.reserve(hosts.size());
    for (const PlacementHost &host : hosts) {
        ranked.push_back({rendezvousWeight(item, host.host), &host});
    }
    std::sort(ranked.begin(), ranked.end(), [](const Ranked &left, const Ranked &right) {
        return left.weight != right.weight ? left.weight > right.weight : left.host->host < right.host->host;
    });
    std::vector<std::string> chosen;
    while (!ranked.empty() && chosen.size() < replicas) {
        // Each round takes at most one host of each failure domain.
        std::set<std::string> domains;
        std::vector<Ranked> rest;
        for (const Ranked &candidate : ranked) {
            if (chosen.size() < replicas && domains.insert(candidate.host->domain).second) {
                chosen.push_back(candidate.host->host);
            } else {
                rest.push_back(candidate);
            }
        }
        ranked = std::move(rest);
    }
    return chosen;
}

} // namespace celeryroute
