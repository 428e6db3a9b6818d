#pragma once

#include <celeryroute/detail/http/httpserver.h>
#include <standins/timer.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace celeryroute {

/// @brief A plain service whose calls have an effect that is counted by idempotency key.
///
/// Each effect is also printed as a line of standard output, which outlives a crash.
class PlainService
{
public:
    PlainService(Duration delay, Timer &timer);
    PlainService(const PlainService &) = delete;
    PlainService &operator=(const PlainService &) = delete;

    void handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);

private:
    HttpResponse execute(const HttpRequest &request);
    HttpResponse executions();

    const Duration m_delay;
    Timer &m_timer;
    absl::Mutex m_mutex;
    std::map<std::string, std::uint64_t> m_executions ABSL_GUARDED_BY(m_mutex);
    /// By digest of the body, as a caller's repeat may arrive under another key.
    std::map<std::string, std::uint64_t> m_bodies ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_calls ABSL_GUARDED_BY(m_mutex) = 0;
};

} // namespace celeryroute
