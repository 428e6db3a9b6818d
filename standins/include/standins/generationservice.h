#pragma once

#include <standins/enginesettings.h>
#include <standins/generationrun.h>
#include <standins/prefixcache.h>
#include <standins/timer.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace celeryroute {

/// Counts of an engine's requests.
struct GenerationCounts {
    std::uint64_t accepted = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t resumed = 0;
    std::uint64_t tokens = 0;
    std::size_t running = 0;
    std::size_t queued = 0;
    bool operator==(const GenerationCounts &) const = default;
};

/// @brief Runs chat requests: a bounded number at once by priority, each at the engine's token pace.
class GenerationService
{
public:
    GenerationService(const EngineSettings &settings, Timer &timer);
    GenerationService(const GenerationService &) = delete;
    GenerationService &operator=(const GenerationService &) = delete;

    /// @brief Takes a request whose model is resident.
    void submit(std::shared_ptr<GenerationRun> run);
    /// @brief Whether a request of that name was in work.
    bool cancel(const std::string &id);
    GenerationCounts counts();
    std::vector<CacheEvent> cacheEvents(std::uint64_t from);

private:
    using Run = std::shared_ptr<GenerationRun>;

    void startWaiting() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void start(const Run &run) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void advance(const Run &run);
    void finish(const Run &run);
    bool markCancelled(const Run &run) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void abandon(const std::weak_ptr<GenerationRun> &weak);

    const EngineSettings m_settings;
    Timer &m_timer;
    absl::Mutex m_mutex;
    std::uint64_t m_arrivals ABSL_GUARDED_BY(m_mutex) = 0;
    std::map<std::pair<unsigned, std::uint64_t>, Run> m_waiting ABSL_GUARDED_BY(m_mutex);
    std::set<Run> m_running ABSL_GUARDED_BY(m_mutex);
    PrefixCache m_cache ABSL_GUARDED_BY(m_mutex);
    GenerationCounts m_counts ABSL_GUARDED_BY(m_mutex);
};

} // namespace celeryroute
