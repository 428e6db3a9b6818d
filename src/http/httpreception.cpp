#include <celeryroute/detail/http/httpreception.h>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <microhttpd.h>

namespace celeryroute {

namespace {

MHD_Result addField(HttpFields &fields, const std::string &name, const char *value)
{
    const std::string text = value == nullptr ? "" : value;
    const auto [position, added] = fields.try_emplace(name, text);
    if (!added) {
        absl::StrAppend(&position->second, ", ", text);
    }
    return MHD_YES;
}

MHD_Result addHeader(void *fields, MHD_ValueKind /*kind*/, const char *name, const char *value)
{
    return addField(*static_cast<HttpFields *>(fields), absl::AsciiStrToLower(name), value);
}

MHD_Result addQueryField(void *fields, MHD_ValueKind /*kind*/, const char *name, const char *value)
{
    return addField(*static_cast<HttpFields *>(fields), name, value);
}

std::size_t fieldBytes(const HttpFields &fields)
{
    std::size_t bytes = 0;
    for (const auto &[name, value] : fields) {
        bytes += name.size() + value.size();
    }
    return bytes;
}

} // namespace

HttpRequest readHead(MHD_Connection *connection, const char *method, const char *path)
{
    HttpRequest request;
    request.method = method;
    request.path = path;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &addHeader, &request.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &addQueryField, &request.query);
    return request;
}

std::size_t headBytes(const HttpRequest &request)
{
    return fieldBytes(request.headers) + fieldBytes(request.query) + request.path.size();
}

bool announcesMoreThan(const HttpFields &headers, std::size_t limit)
{
    const auto found = headers.find("content-length");
    if (found == headers.end()) {
        return false;
    }
    std::uint64_t length = 0;
    const char *end = found->second.data() + found->second.size();
    return std::from_chars(found->second.data(), end, length).ec == std::errc{} && length > limit;
}

// Fields that come twice were joined with a comma, which neither digits nor the one coding contain.
bool hasAmbiguousEnd(const HttpFields &headers)
{
    const auto length = headers.find("content-length");
    const auto coding = headers.find("transfer-encoding");
    if (coding != headers.end()) {
        return length != headers.end() || !absl::EqualsIgnoreCase(coding->second, "chunked");
    }
    return length != headers.end()
        && (length->second.empty() || !std::all_of(length->second.begin(), length->second.end(), absl::ascii_isdigit));
}

} // namespace celeryroute
