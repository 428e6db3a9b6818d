#include <celeryroute/detail/cli/explainline.h>

#include <celeryroute/detail/telemetry/eventnames.h>

namespace celeryroute {

std::string ExplainLine::text(const std::string &name) const
{
    const auto found = fields.find(name);
    return found != fields.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::optional<std::uint64_t> ExplainLine::number(const std::string &name) const
{
    const auto found = fields.find(name);
    return found != fields.end() && found->is_number_unsigned() ? std::optional(found->get<std::uint64_t>())
                                                                : std::nullopt;
}

bool endsRequest(const ExplainLine &line)
{
    const EventDescription *description = describeEventNamed(line.event);
    return description != nullptr && endsRequest(description->event);
}

} // namespace celeryroute
