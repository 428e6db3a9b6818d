#include <celeryroute/detail/http/httpfields.h>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <string_view>

namespace celeryroute {

namespace {

bool concernsConnection(std::string_view name)
{
    return equalsIgnoringCase(name, "content-length") || isHopByHop(name);
}

bool breaksLine(std::string_view text)
{
    constexpr std::string_view Breaks("\r\n\0", 3);
    return text.find_first_of(Breaks) != std::string_view::npos;
}

} // namespace

HttpFields joinFields(const std::vector<HeaderField> &fields)
{
    HttpFields joined;
    for (const HeaderField &field : fields) {
        const auto [position, added] = joined.try_emplace(absl::AsciiStrToLower(field.name), field.value);
        if (!added) {
            absl::StrAppend(&position->second, ", ", field.value);
        }
    }
    return joined;
}

std::vector<HeaderField> sendableFields(const HttpFields &fields)
{
    std::vector<HeaderField> sendable;
    for (const auto &[name, value] : fields) {
        if (!concernsConnection(name) && !breaksLine(name) && !breaksLine(value)) {
            sendable.push_back({name, value});
        }
    }
    return sendable;
}

AnswerHead answerHead(const HttpResponse &response)
{
    const auto connection = response.headers.find("connection");
    const bool close = connection != response.headers.end() && listContains(connection->second, "close");
    return {response.status, {}, sendableFields(response.headers), close};
}

} // namespace celeryroute
