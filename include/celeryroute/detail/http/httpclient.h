#pragma once

#include <celeryroute/detail/http/httpmessage.h>
#include <celeryroute/result.h>

#include <memory>

namespace celeryroute {

/// @brief Blocking HTTP client for control threads; one thread at a time.
class HttpClient
{
public:
    HttpClient();
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// @brief Performs @p call. Any HTTP status is a success; fails with PlatformUnavailable when
    /// no connection was made (nothing was sent) and TransportFailed when the answer did not come.
    Result<HttpResponse> perform(const HttpCall &call);

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace celeryroute
