#pragma once

#include <celeryroute/detail/http/httpserver.h>
#include <standins/recordlog.h>
#include <standins/timer.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <vector>

namespace celeryroute {

/// @brief The log's protocol over HTTP; docs/PLATFORM.md describes it.
class LogService
{
public:
    LogService(RecordLog log, Timer &timer);
    LogService(const LogService &) = delete;
    LogService &operator=(const LogService &) = delete;

    void handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);

private:
    struct Waiter {
        std::uint64_t id = 0;
        std::uint64_t from = 0;
        std::size_t most = 0;
        std::shared_ptr<HttpResponder> responder;
    };

    void handleAppend(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void handleRead(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void append(const std::string &record, HttpResponder &responder);
    void answerWaiter(std::uint64_t id);
    HttpResponse readAnswer(std::uint64_t from, std::size_t most) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    Timer &m_timer;
    absl::Mutex m_mutex;
    RecordLog m_log ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_lastWaiter ABSL_GUARDED_BY(m_mutex) = 0;
    std::vector<Waiter> m_waiters ABSL_GUARDED_BY(m_mutex);
};

} // namespace celeryroute
