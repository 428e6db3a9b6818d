#include <celeryroute/detail/placement/pausedtargets.h>

#include <algorithm>

namespace celeryroute {

void PausedTargets::add(const std::string &target, TimePoint until)
{
    const auto [pause, isNew] = m_ends.emplace(target, until);
    pause->second = std::max(pause->second, until);
}

std::vector<std::string> PausedTargets::takeEnded(TimePoint now)
{
    std::vector<std::string> ended;
    std::erase_if(m_ends, [&ended, now](const auto &pause) {
        if (pause.second > now) {
            return false;
        }
        ended.push_back(pause.first);
        return true;
    });
    return ended;
}

std::optional<TimePoint> PausedTargets::endOf(const std::string &target) const
{
    const auto pause = m_ends.find(target);
    return pause == m_ends.end() ? std::nullopt : std::optional(pause->second);
}

std::optional<TimePoint> PausedTargets::nextEnd() const
{
    std::optional<TimePoint> next;
    for (const auto &[target, until] : m_ends) {
        next = std::min(next.value_or(until), until);
    }
    return next;
}

const PausedTargets::Ends &PausedTargets::ends() const
{
    return m_ends;
}

} // namespace celeryroute
