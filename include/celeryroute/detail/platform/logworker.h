#pragma once

#include <celeryroute/detail/base/mailbox.h>
#include <celeryroute/detail/platform/logclient.h>
#include <celeryroute/detail/platform/logevent.h>

#include <memory>

namespace celeryroute {

/// @brief Reads and appends on two threads of its own and posts each end to a mailbox.
class LogWorker
{
public:
    /// @brief @p events outlives the worker.
    LogWorker(LogClient reader, LogClient appender, Mailbox<LogEvent> &events);
    /// @brief Waits for the calls under way.
    ~LogWorker();
    LogWorker(const LogWorker &) = delete;
    LogWorker &operator=(const LogWorker &) = delete;

    /// @brief Starts @p read after those asked for before.
    void read(const LogRead &read);
    /// @brief Appends @p record after those given before.
    void append(std::string recordId, std::string record);

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace celeryroute
