#pragma once

#include <celeryroute/detail/http/httpserver.h>
#include <standins/storepace.h>
#include <standins/timer.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <memory>

namespace celeryroute {

/// @brief The weight store's protocol over HTTP; docs/PLATFORM.md describes it.
class WeightService
{
public:
    WeightService(const StoreSettings &settings, Timer &timer);
    WeightService(const WeightService &) = delete;
    WeightService &operator=(const WeightService &) = delete;

    void handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);

private:
    void load(bool isModel, std::uint64_t megabytes, const std::shared_ptr<HttpResponder> &responder);
    void finish(bool isModel, HttpResponder &responder);
    HttpResponse stats();

    Timer &m_timer;
    absl::Mutex m_mutex;
    StorePace m_pace ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_modelLoads ABSL_GUARDED_BY(m_mutex) = 0;
    std::uint64_t m_adapterLoads ABSL_GUARDED_BY(m_mutex) = 0;
    unsigned m_mostModels ABSL_GUARDED_BY(m_mutex) = 0;
    unsigned m_mostAdapters ABSL_GUARDED_BY(m_mutex) = 0;
};

} // namespace celeryroute
