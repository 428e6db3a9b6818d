#include <celeryroute/detail/targetlimit/readlimit.h>

#include <celeryroute/detail/base/text.h>

#include <charconv>
#include <cmath>
#include <optional>

namespace celeryroute {

namespace {

// The exponent form and "inf" are no decimal numbers.
std::optional<double> readDecimal(std::string_view text)
{
    text = trimmed(text);
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
    const bool isWhole = error == std::errc() && end == text.data() + text.size();
    return isWhole && std::isfinite(number) && !std::signbit(number) ? std::optional(number) : std::nullopt;
}

} // namespace

ReadLimit readTargetLimit(const std::vector<std::string_view> &values)
{
    ReadLimit lowest;
    for (const std::string_view value : values) {
        const std::optional<double> number = readDecimal(value);
        if (!number) {
            return {LimitReading::Malformed, 0};
        }
        const ReadLimit read = *number > MaxTargetLimit ? ReadLimit{LimitReading::Bounded, MaxTargetLimit}
                                                        : ReadLimit{LimitReading::Taken, *number};
        if (lowest.reading == LimitReading::None || read.perSecond < lowest.perSecond) {
            lowest = read;
        }
    }
    return lowest;
}

std::string_view labelValue(LimitReading reading)
{
    switch (reading) {
    case LimitReading::None:
        return "none";
    case LimitReading::Taken:
        return "taken";
    case LimitReading::Bounded:
        return "bounded";
    case LimitReading::Malformed:
        break;
    }
    return "malformed";
}

} // namespace celeryroute
