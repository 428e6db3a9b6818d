#include <celeryroute/urgency.h>

#include <array>
#include <utility>

namespace celeryroute {

namespace {
const std::array<std::pair<Urgency, const char *>, 3> Names = {{
    {Urgency::Interactive, "interactive"},
    {Urgency::Standard, "standard"},
    {Urgency::Bulk, "bulk"},
}};
} // namespace

std::string toString(Urgency urgency)
{
    for (const auto &[value, name] : Names) {
        if (value == urgency) {
            return name;
        }
    }
    return "standard";
}

std::optional<Urgency> urgencyFromString(const std::string &name)
{
    for (const auto &[value, known] : Names) {
        if (name == known) {
            return value;
        }
    }
    return std::nullopt;
}

} // namespace celeryroute
