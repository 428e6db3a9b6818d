#include "hostwatcher.h"

#include <celeryroute/detail/http/httpclient.h>
#include <celeryroute/detail/observe/log.h>
#include <celeryroute/detail/platform/hostlistformat.h>

#include <absl/time/time.h>
#include <optional>

namespace celeryroute {

namespace {

constexpr int StatusOk = 200;

Result<std::vector<HostEntry>> readHosts(HttpClient &client, const HttpCall &call)
{
    BOOST_LEAF_AUTO(response, client.perform(call));
    if (response.status != StatusOk) {
        return fail(ResultCode::PlatformUnavailable,
                    "the host list answered with status " + std::to_string(response.status));
    }
    return decodeHostList(response.body);
}

} // namespace

HostWatcher::HostWatcher(std::string url, Duration interval, Duration timeout, Handler handler)
    : m_url(std::move(url))
    , m_interval(interval)
    , m_timeout(timeout)
    , m_handler(std::move(handler))
    , m_thread([this] { run(); })
{}

HostWatcher::~HostWatcher()
{
    m_stopping.Notify();
    m_thread.join();
}

void HostWatcher::run()
{
    HttpClient client;
    HttpCall call;
    call.url = m_url + "/v1/hosts";
    call.totalTimeout = m_timeout;
    bool lastFailed = false;
    do {
        const bool failed = handleErrors(
            [&]() -> Result<bool> {
                BOOST_LEAF_AUTO(hosts, readHosts(client, call));
                m_handler(std::move(hosts));
                return false;
            },
            [&](const Error &error) {
                if (!lastFailed) {
                    writeLog(LogLevel::Warning, "the host list cannot be read: " + toString(error));
                }
                return true;
            });
        lastFailed = failed;
        // A connection that has gone silent is not used again.
        call.freshConnection = failed;
    } while (!m_stopping.WaitForNotificationWithTimeout(absl::FromChrono(m_interval)));
}

} // namespace celeryroute
