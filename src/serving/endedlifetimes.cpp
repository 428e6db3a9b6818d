#include <celeryroute/detail/serving/endedlifetimes.h>

namespace celeryroute {

bool EndedLifetimes::add(const std::string &target, std::int64_t bornMs)
{
    if (contains(target, bornMs)) {
        return false;
    }
    m_lifetimes.set(target, bornMs);
    return true;
}

bool EndedLifetimes::contains(const std::string &target, std::int64_t bornMs) const
{
    const std::int64_t *known = m_lifetimes.find(target);
    return known != nullptr && bornMs <= *known;
}

} // namespace celeryroute
