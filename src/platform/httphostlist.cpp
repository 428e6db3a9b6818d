#include <celeryroute/detail/platform/httphostlist.h>

#include <celeryroute/detail/platform/hostlistformat.h>

#include <absl/strings/str_cat.h>

namespace celeryroute {

namespace {

constexpr int StatusOk = 200;

} // namespace

HttpHostList::HttpHostList(const std::string &url, Duration timeout)
    : m_client(std::make_unique<HttpClient>())
{
    m_call.url = absl::StrCat(url, "/v1/hosts");
    m_call.totalTimeout = timeout;
}

// After a failure the connection may have gone silent, so the next read opens another.
Result<std::vector<HostEntry>> HttpHostList::read()
{
    const HttpCall call = m_call;
    m_call.freshConnection = true;
    BOOST_LEAF_AUTO(response, m_client->perform(call));
    if (response.status != StatusOk) {
        return fail(ResultCode::PlatformUnavailable,
                    absl::StrCat("the host list answered with status ", response.status));
    }
    BOOST_LEAF_AUTO(entries, decodeHostList(response.body));
    m_call.freshConnection = false;
    return entries;
}

} // namespace celeryroute
