#include <standins/generationservice.h>

#include <standins/standinserver.h>

#include <unistd.h>

namespace celeryroute {

namespace {

constexpr int CrashExitCode = 70;
constexpr int StatusCancelled = 499;
/// Prompt work saved by a cached prefix.
constexpr double CachedFirstTokenFraction = 0.5;

} // namespace

GenerationService::GenerationService(const EngineSettings &settings, Timer &timer)
    : m_settings(settings)
    , m_timer(timer)
    , m_cache(settings.cachePrefixes)
{}

void GenerationService::submit(std::shared_ptr<GenerationRun> run)
{
    run->responder->onClosed([this, weak = std::weak_ptr(run)] { abandon(weak); });
    absl::MutexLock lock(&m_mutex);
    ++m_counts.accepted;
    m_counts.resumed += run->nextEvent > 0 ? 1 : 0;
    m_waiting.emplace(std::pair(run->priority, ++m_arrivals), std::move(run));
    startWaiting();
}

bool GenerationService::cancel(const std::string &id)
{
    absl::MutexLock lock(&m_mutex);
    bool found = false;
    for (const Run &run : m_running) {
        found = (run->id == id && markCancelled(run)) || found;
    }
    for (const auto &[order, run] : m_waiting) {
        found = (run->id == id && markCancelled(run)) || found;
    }
    return found;
}

void GenerationService::abandon(const std::weak_ptr<GenerationRun> &weak)
{
    const Run run = weak.lock();
    if (!run) {
        return;
    }
    absl::MutexLock lock(&m_mutex);
    markCancelled(run);
}

// A running request gives its place up at once rather than at its next token.
bool GenerationService::markCancelled(const Run &run)
{
    if (run->cancelled) {
        return false;
    }
    run->cancelled = true;
    ++m_counts.cancelled;
    if (m_running.count(run) > 0) {
        m_timer.runAfter(Duration::zero(), [this, run] { advance(run); });
    }
    return true;
}

void GenerationService::startWaiting()
{
    while (!m_waiting.empty() && m_running.size() < m_settings.maxConcurrent) {
        const Run run = m_waiting.begin()->second;
        m_waiting.erase(m_waiting.begin());
        start(run);
    }
}

// A whole answer takes as long as its tokens would in a stream.
void GenerationService::start(const Run &run)
{
    m_running.insert(run);
    run->cachedPrefix = m_cache.use(run->request.model, run->request.prompt);
    const double firstToken = toSeconds(m_settings.firstToken) * (run->cachedPrefix ? CachedFirstTokenFraction : 1.0);
    const double rest = run->request.stream
        ? 0.0
        : static_cast<double>(run->request.maxTokens - 1) / m_settings.tokensPerSecond;
    run->nextTime = MonotonicClock::now() + fromSeconds(firstToken + rest);
    m_timer.runAt(run->nextTime, [this, run] { advance(run); });
}

void GenerationService::advance(const Run &run)
{
    if (run->done) {
        return;
    }
    if (run->crashes) {
        _exit(CrashExitCode);
    }
    bool cancelled = false;
    {
        absl::MutexLock lock(&m_mutex);
        cancelled = run->cancelled;
        m_counts.tokens += run->request.stream ? 1 : run->request.maxTokens;
    }
    if (cancelled) {
        run->responder->respond(jsonResponse(StatusCancelled, R"({"error": "cancelled"})"));
        run->responder->end(false);
        finish(run);
        return;
    }
    if (!run->request.stream) {
        run->responder->respond(jsonResponse(200, wholeAnswer(run->request, run->id)));
        finish(run);
        return;
    }
    run->responder->begin(200, {{"content-type", "text/event-stream"}, {"cache-control", "no-cache"}});
    run->responder->write(run->events[run->nextEvent]);
    ++run->nextEvent;
    // The closing events follow the last token without delay.
    while (run->nextEvent >= run->request.maxTokens && run->nextEvent < run->events.size()) {
        run->responder->write(run->events[run->nextEvent]);
        ++run->nextEvent;
    }
    if (run->nextEvent >= run->events.size()) {
        run->responder->end(true);
        finish(run);
        return;
    }
    run->nextTime += fromSeconds(1.0 / m_settings.tokensPerSecond);
    m_timer.runAt(run->nextTime, [this, run] { advance(run); });
}

void GenerationService::finish(const Run &run)
{
    run->done = true;
    absl::MutexLock lock(&m_mutex);
    m_running.erase(run);
    ++m_counts.finished;
    startWaiting();
}

GenerationCounts GenerationService::counts()
{
    absl::MutexLock lock(&m_mutex);
    GenerationCounts counts = m_counts;
    counts.running = m_running.size();
    counts.queued = m_waiting.size();
    return counts;
}

std::vector<CacheEvent> GenerationService::cacheEvents(std::uint64_t from)
{
    absl::MutexLock lock(&m_mutex);
    return m_cache.events(from);
}

} // namespace celeryroute
