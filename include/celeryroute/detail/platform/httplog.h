#pragma once

#include <celeryroute/detail/http/httpclient.h>
#include <celeryroute/detail/platform/logoutcome.h>
#include <celeryroute/time.h>

#include <memory>

namespace celeryroute {

/// @brief The platform's log over HTTP; blocking, for one thread at a time.
class HttpLog
{
public:
    /// @brief @p url is the base address, as in `http://10.0.0.5:7000`.
    HttpLog(std::string url, Duration timeout);

    AppendOutcome append(const std::string &record);
    ReadOutcome read(const LogRead &read);

private:
    std::string m_url;
    Duration m_timeout;
    std::unique_ptr<HttpClient> m_client;
};

} // namespace celeryroute
