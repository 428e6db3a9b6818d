#include <celeryroute/detail/feed/addressholders.h>

namespace celeryroute {

void AddressHolders::add(const std::string &id, const std::string &address, std::int64_t bornMs)
{
    remove(id);
    if (bornMs == 0) {
        return;
    }
    m_targets[id] = {address, bornMs};
    m_lifetimes[address].emplace(bornMs, id);
}

void AddressHolders::remove(const std::string &id)
{
    const auto known = m_targets.find(id);
    if (known == m_targets.end()) {
        return;
    }
    const auto lifetimes = m_lifetimes.find(known->second.first);
    lifetimes->second.erase({known->second.second, id});
    if (lifetimes->second.empty()) {
        m_lifetimes.erase(lifetimes);
    }
    m_targets.erase(known);
}

std::optional<std::string> AddressHolders::successorOf(const std::string &id) const
{
    const auto known = m_targets.find(id);
    if (known == m_targets.end()) {
        return std::nullopt;
    }
    const auto &[bornMs, latest] = *m_lifetimes.at(known->second.first).rbegin();
    return bornMs > known->second.second ? std::optional(latest) : std::nullopt;
}

std::vector<std::string> AddressHolders::supersededBy(const std::string &id) const
{
    std::vector<std::string> earlier;
    const auto known = m_targets.find(id);
    if (known != m_targets.end()) {
        for (const auto &[bornMs, other] : m_lifetimes.at(known->second.first)) {
            if (bornMs < known->second.second) {
                earlier.push_back(other);
            }
        }
    }
    return earlier;
}

} // namespace celeryroute
