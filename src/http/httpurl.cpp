#include <celeryroute/detail/http/httpurl.h>

#include <algorithm>
#include <string_view>

namespace celeryroute {

namespace {

constexpr std::string_view Scheme = "http://";
constexpr std::string_view UsualPort = ":80";

bool isBlankOrControl(char byte)
{
    constexpr char Delete = 0x7f;
    return (byte >= 0 && byte <= ' ') || byte == Delete;
}

} // namespace

std::optional<HttpUrl> parseHttpUrl(const std::string &text)
{
    if (text.rfind(Scheme, 0) != 0 || std::any_of(text.begin(), text.end(), isBlankOrControl)) {
        return std::nullopt;
    }
    const std::size_t hostEnd = std::min(text.find_first_of("/?", Scheme.size()), text.size());
    HttpUrl url;
    url.host = text.substr(Scheme.size(), hostEnd - Scheme.size());
    const bool hasPort = url.host.find(':') != std::string::npos;
    const std::optional<Endpoint> endpoint = parseEndpoint(hasPort ? url.host : url.host + std::string(UsualPort));
    if (!endpoint) {
        return std::nullopt;
    }
    url.endpoint = *endpoint;
    url.target = text.substr(hostEnd);
    if (url.target.empty() || url.target.front() != '/') {
        url.target.insert(0, "/");
    }
    return url;
}

} // namespace celeryroute
