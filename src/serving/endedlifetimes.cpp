#include <celeryroute/detail/serving/endedlifetimes.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr std::size_t MaxLifetimes = 4096;

} // namespace

bool EndedLifetimes::add(const std::string &target, std::int64_t bornMs, TimePoint now)
{
    if (contains(target, bornMs)) {
        return false;
    }
    if (m_lifetimes.size() >= MaxLifetimes && !m_lifetimes.contains(target)) {
        m_lifetimes.erase(
            std::min_element(m_lifetimes.begin(), m_lifetimes.end(), [](const auto &left, const auto &right) {
                return left.second.since < right.second.since;
            }));
    }
    m_lifetimes[target] = {bornMs, now};
    return true;
}

bool EndedLifetimes::contains(const std::string &target, std::int64_t bornMs) const
{
    const auto found = m_lifetimes.find(target);
    return found != m_lifetimes.end() && bornMs <= found->second.bornMs;
}

} // namespace celeryroute
