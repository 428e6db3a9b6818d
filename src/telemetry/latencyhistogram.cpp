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
    std::uint64_t cumulative = 0;
    std::array<char, 16> digits{};
    for (std::size_t i = 0; i < BoundsSeconds.size(); ++i) {
        cumulative += m_counts[i];
        text.appendHistogramSample("_bucket", {label, {"le", boundText(BoundsSeconds[i], digits)}}, cumulative);
    }
    const std::uint64_t count = cumulative + m_counts.back();
    text.appendHistogramSample("_bucket", {label, {"le", "+Inf"}}, count);
    text.appendHistogramSample("_sum", {label}, m_sum);
    text.appendHistogramSample("_count", {label}, count);
}

} // namespace celeryroute
