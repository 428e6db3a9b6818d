#include <celeryroute/detail/placement/pauserequest.h>

#include <celeryroute/detail/base/text.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace celeryroute {

namespace {

constexpr Duration WindowPerPriority = std::chrono::milliseconds(100);
constexpr std::uint64_t SpreadSteps = 1024;

} // namespace

std::optional<PauseRequest> readPause(std::string_view text, Duration longest)
{
    text = trimmed(text);
    double seconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(seconds) || seconds <= 0) {
        return std::nullopt;
    }
    const double most = toSeconds(longest);
    return PauseRequest{fromSeconds(std::min(seconds, most)), seconds > most};
}

Duration returnAfterPause(Duration left, std::uint32_t priority, std::uint64_t digest)
{
    const auto step = static_cast<Duration::rep>(digest % SpreadSteps);
    return left + WindowPerPriority * priority + WindowPerPriority * step / static_cast<Duration::rep>(SpreadSteps);
}

} // namespace celeryroute
