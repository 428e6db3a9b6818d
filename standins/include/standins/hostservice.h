#pragma once

#include <celeryroute/detail/http/httpserver.h>
#include <standins/hosttable.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <memory>

namespace celeryroute {

/// @brief The host list's protocol over HTTP; docs/PLATFORM.md describes it.
class HostService
{
public:
    explicit HostService(HostTable table);

    void handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);

private:
    HttpResponse answer(const HttpRequest &request);
    HttpResponse putHost(const std::string &name, const std::string &body);

    absl::Mutex m_mutex;
    HostTable m_table ABSL_GUARDED_BY(m_mutex);
};

} // namespace celeryroute
