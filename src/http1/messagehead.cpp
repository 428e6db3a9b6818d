#include <celeryroute/detail/http1/messagehead.h>

#include <celeryroute/detail/base/text.h>

#include <algorithm>
#include <array>

namespace celeryroute {

std::string_view framingName(BodyFraming framing)
{
    switch (framing) {
    case BodyFraming::None:
        return "none";
    case BodyFraming::Length:
        return "length";
    case BodyFraming::Chunked:
        return "chunked";
    case BodyFraming::UntilClose:
        return "until_close";
    }
    return {};
}

namespace {

char lower(char letter)
{
    constexpr char CaseDistance = 'a' - 'A';
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + CaseDistance) : letter;
}

} // namespace

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
        && std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) { return lower(a) == lower(b); });
}

bool listContains(std::string_view list, std::string_view token)
{
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        if (equalsIgnoringCase(trimmed(list.substr(0, comma)), token)) {
            return true;
        }
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

bool isHopByHop(std::string_view name)
{
    constexpr std::array<std::string_view, 9> Names = {"connection",
                                                       "keep-alive",
                                                       "proxy-connection",
                                                       "proxy-authenticate",
                                                       "proxy-authorization",
                                                       "te",
                                                       "trailer",
                                                       "transfer-encoding",
                                                       "upgrade"};
    return std::any_of(Names.begin(), Names.end(), [name](std::string_view hop) {
        return equalsIgnoringCase(hop, name);
    });
}

const std::string *MessageHead::field(std::string_view name) const
{
    const auto found = std::find_if(fields.begin(), fields.end(), [name](const HeaderField &field) {
        return equalsIgnoringCase(field.name, name);
    });
    return found == fields.end() ? nullptr : &found->value;
}

std::vector<std::string_view> MessageHead::values(std::string_view name) const
{
    std::vector<std::string_view> found;
    for (const HeaderField &field : fields) {
        if (equalsIgnoringCase(field.name, name)) {
            found.emplace_back(field.value);
        }
    }
    return found;
}

} // namespace celeryroute
