#include <celeryroute/detail/telemetry/latencyhistogram.h>

#include <algorithm>
#include <charconv>

namespace celeryroute {

namespace {

std::string_view boundText(double bound, std::array<char, 16> &digits)
{
    const std::to_chars_result result = std::to_chars(digits.data(), digits.data() + digits.size(), bound);
    return {digits.data(), result.ptr};
}

} // namespace

void LatencyHistogram::observe(Duration duration)
{
    const double seconds = toSeconds(duration);
    const auto bound = std::ranges::lower_bound(BoundsSeconds, seconds);
    ++m_counts[static_cast<std::size_t>(bound - BoundsSeconds.begin())];
    m_sum += seconds;
}

void LatencyHistogram::expose(ExpositionText &text, const MetricLabel &label) const
{
    std::uint64_t below = 0;
    std::array<char, 16> digits{};
    for (std::size_t i = 0; i < BoundsSeconds.size(); ++i) {
        below += m_counts[i];
        text.part("_bucket", {label, {"le", boundText(BoundsSeconds[i], digits)}}, below);
    }
    const std::uint64_t count = below + m_counts.back();
    text.part("_bucket", {label, {"le", "+Inf"}}, count);
    text.part("_sum", {label}, m_sum);
    text.part("_count", {label}, count);
}

} // namespace celeryroute
