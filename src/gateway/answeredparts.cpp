#include <celeryroute/detail/gateway/answeredparts.h>

#include <algorithm>
#include <utility>

namespace celeryroute {

namespace {

constexpr std::size_t PartsPerGeneration = 4096;

} // namespace

void AnsweredParts::note(std::uint64_t part, TimePoint answeredAt)
{
    if (m_current.size() >= PartsPerGeneration && !m_current.contains(part)) {
        m_previous = std::exchange(m_current, {});
    }
    m_current[part] = std::max(lastAnswer(part).value_or(answeredAt), answeredAt);
}

std::optional<TimePoint> AnsweredParts::lastAnswer(std::uint64_t part) const
{
    const auto current = m_current.find(part);
    if (current != m_current.end()) {
        return current->second;
    }
    const auto previous = m_previous.find(part);
    return previous != m_previous.end() ? std::optional(previous->second) : std::nullopt;
}

} // namespace celeryroute
