#include <celeryroute/detail/http/requesttarget.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace celeryroute {

namespace {

constexpr std::size_t CodeLength = 3; ///< Of `%XX`.
constexpr int Hexadecimal = 16;

void addQueryField(std::string_view text, HttpFields &query)
{
    const std::size_t equals = text.find('=');
    // Forms write a space as plus.
    const auto decode = [](std::string part) {
        std::replace(part.begin(), part.end(), '+', ' ');
        return decodePercent(part);
    };
    const std::string value = equals == std::string_view::npos ? std::string()
                                                               : decode(std::string(text.substr(equals + 1)));
    const auto [position, added] = query.try_emplace(decode(std::string(text.substr(0, equals))), value);
    if (!added) {
        absl::StrAppend(&position->second, ", ", value);
    }
}

} // namespace

std::string decodePercent(std::string_view text)
{
    std::string decoded;
    while (!text.empty()) {
        std::uint8_t byte = 0;
        const char *codeEnd = text.data() + CodeLength;
        const bool code = text.size() >= CodeLength && text.front() == '%'
            && std::from_chars(text.data() + 1, codeEnd, byte, Hexadecimal).ptr == codeEnd;
        decoded.push_back(code ? static_cast<char>(byte) : text.front());
        text.remove_prefix(code ? CodeLength : 1);
    }
    return decoded;
}

void readTarget(std::string_view target, HttpRequest &request)
{
    const std::size_t mark = target.find('?');
    request.path = decodePercent(target.substr(0, mark));
    if (mark == std::string_view::npos) {
        return;
    }
    for (std::string_view rest = target.substr(mark + 1); !rest.empty();) {
        const std::size_t length = std::min(rest.find('&'), rest.size());
        if (length > 0) {
            addQueryField(rest.substr(0, length), request.query);
        }
        rest.remove_prefix(std::min(length + 1, rest.size()));
    }
}

} // namespace celeryroute
