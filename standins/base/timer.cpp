#include <standins/timer.h>

#include <absl/time/time.h>

#include <utility>

namespace celeryroute {

Timer::Timer()
{
    m_thread = std::thread([this] { run(); });
}

Timer::~Timer()
{
    {
        absl::MutexLock lock(&m_mutex);
        m_stopping = true;
        m_changed.Signal();
    }
    m_thread.join();
}

void Timer::runAt(TimePoint due, std::function<void()> action)
{
    absl::MutexLock lock(&m_mutex);
    m_actions.emplace(due, std::move(action));
    m_changed.Signal();
}

void Timer::runAfter(Duration delay, std::function<void()> action)
{
    runAt(MonotonicClock::now() + delay, std::move(action));
}

void Timer::run()
{
    while (true) {
        std::function<void()> action;
        {
            absl::MutexLock lock(&m_mutex);
            while (!m_stopping && (m_actions.empty() || m_actions.begin()->first > MonotonicClock::now())) {
                const absl::Duration wait = m_actions.empty()
                    ? absl::InfiniteDuration()
                    : absl::FromChrono(m_actions.begin()->first - MonotonicClock::now());
                m_changed.WaitWithTimeout(&m_mutex, wait);
            }
            if (m_stopping) {
                return;
            }
            action = std::move(m_actions.begin()->second);
            m_actions.erase(m_actions.begin());
        }
        action();
    }
}

} // namespace celeryroute
