#include <celeryroute/detail/routing/rendezvous.h>

#include <algorithm>
#include <map>
#include <set>

namespace celeryroute {

namespace {

bool ranksBefore(const RankedTarget &left, const RankedTarget &right)
{
    return left.score != right.score ? left.score > right.score : left.host < right.host;
}

} // namespace

// The first pass takes at most an even share from each failure domain. The second pass fills the
// remaining places by score alone.
std::vector<RankedTarget> rendezvousSubset(std::vector<RankedTarget> targets, std::size_t size)
{
    std::sort(targets.begin(), targets.end(), ranksBefore);
    std::set<std::string> domains;
    for (const RankedTarget &target : targets) {
        domains.insert(target.domain);
    }
    const std::size_t perDomain = domains.empty() ? size : (size + domains.size() - 1) / domains.size();
    std::map<std::string, std::size_t> taken;
    std::vector<RankedTarget> subset;
    std::vector<RankedTarget> rest;
    for (RankedTarget &target : targets) {
        if (subset.size() < size && taken[target.domain] < perDomain) {
            ++taken[target.domain];
            subset.push_back(std::move(target));
        } else if (rest.size() < size) {
            rest.push_back(std::move(target));
        }
    }
    for (std::size_t i = 0; i < rest.size() && subset.size() < size; ++i) {
        subset.push_back(std::move(rest[i]));
    }
    std::sort(subset.begin(), subset.end(), ranksBefore);
    return subset;
}

} // namespace celeryroute
