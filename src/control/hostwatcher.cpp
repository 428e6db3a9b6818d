#include "hostwatcher.h"

#include <celeryroute/detail/observe/log.h>
#include <celeryroute/detail/platform/hostlistclient.h>

#include <absl/time/time.h>

namespace celeryroute {

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
    HostListClient client{HttpHostList(m_url, m_timeout)};
    bool lastFailed = false;
    do {
        const bool failed = handleErrors(
            [&]() -> Result<bool> {
                BOOST_LEAF_AUTO(hosts, client.read());
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
    } while (!m_stopping.WaitForNotificationWithTimeout(absl::FromChrono(m_interval)));
}

} // namespace celeryroute
