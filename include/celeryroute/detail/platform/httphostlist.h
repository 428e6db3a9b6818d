#pragma once

#include <celeryroute/detail/http/httpclient.h>
#include <celeryroute/detail/platform/hostentry.h>
#include <celeryroute/result.h>

#include <memory>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief The platform's list of hosts over HTTP; blocking, for one thread at a time.
class HttpHostList
{
public:
    /// @brief @p url is the base address, as in `http://10.0.0.5:7001`.
    HttpHostList(const std::string &url, Duration timeout);

    /// @brief Fails with PlatformUnavailable, TransportFailed or MessageMalformed.
    Result<std::vector<HostEntry>> read();

private:
    HttpCall m_call;
    std::unique_ptr<HttpClient> m_client;
};

} // namespace celeryroute
