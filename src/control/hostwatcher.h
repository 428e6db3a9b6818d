#pragma once

#include <celeryroute/detail/platform/hostentry.h>
#include <celeryroute/time.h>

#include <absl/synchronization/notification.h>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace celeryroute {

/// @brief Reads the platform's host list again and again on a thread of its own.
///
/// A failed read changes nothing: the last list stays in force.
class HostWatcher
{
public:
    using Handler = std::function<void(std::vector<HostEntry>)>;

    HostWatcher(std::string url, Duration interval, Duration timeout, Handler handler);
    ~HostWatcher();
    HostWatcher(const HostWatcher &) = delete;
    HostWatcher &operator=(const HostWatcher &) = delete;

private:
    void run();

    std::string m_url;
    Duration m_interval;
    Duration m_timeout;
    Handler m_handler;
    absl::Notification m_stopping;
    std::thread m_thread;
};

} // namespace celeryroute
