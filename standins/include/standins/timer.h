#pragma once

#include <celeryroute/time.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <map>
#include <thread>

namespace celeryroute {

/// @brief Runs actions at given times on one thread of its own.
class Timer
{
public:
    Timer();
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    void runAt(TimePoint due, std::function<void()> action);
    void runAfter(Duration delay, std::function<void()> action);

private:
    void run();

    absl::Mutex m_mutex;
    absl::CondVar m_changed;
    std::multimap<TimePoint, std::function<void()>> m_actions ABSL_GUARDED_BY(m_mutex);
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::thread m_thread;
};

} // namespace celeryroute
