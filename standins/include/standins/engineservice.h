#pragma once

#include <celeryroute/detail/http/httpserver.h>
#include <standins/enginememory.h>
#include <standins/enginesettings.h>
#include <standins/generationservice.h>
#include <standins/timer.h>
#include <standins/weightfetcher.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief The model engine's protocol over HTTP; docs/PLATFORM.md describes it.
class EngineService
{
public:
    EngineService(const EngineSettings &settings, Timer &timer);
    EngineService(const EngineService &) = delete;
    EngineService &operator=(const EngineService &) = delete;

    void handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);

private:
    void chat(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    bool servable(const std::string &model);
    void load(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void finishLoad(const std::string &item, bool loaded);
    HttpResponse unload(const HttpRequest &request);
    HttpResponse cancel(const std::string &path);
    HttpResponse inventory();
    HttpResponse loadReport();
    HttpResponse cacheEvents(const HttpRequest &request);
    HttpResponse stats();
    void refreshReport();

    const EngineSettings m_settings;
    Timer &m_timer;
    GenerationService m_generation;
    absl::Mutex m_mutex;
    EngineMemory m_memory ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, std::vector<std::shared_ptr<HttpResponder>>> m_loadWaiters ABSL_GUARDED_BY(m_mutex);
    GenerationCounts m_report ABSL_GUARDED_BY(m_mutex);
    double m_reportedTokensPerSecond ABSL_GUARDED_BY(m_mutex) = 0;
    WeightFetcher m_fetcher;
};

} // namespace celeryroute
