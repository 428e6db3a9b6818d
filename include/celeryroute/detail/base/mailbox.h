#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <utility>
#include <vector>

namespace celeryroute {

/// @brief Hands values from any thread to one owner thread.
///
/// @p wakeUp runs on the posting thread when the mailbox was empty before.
template <typename T>
class Mailbox
{
public:
    explicit Mailbox(std::function<void()> wakeUp)
        : m_wakeUp(std::move(wakeUp))
    {}

    void post(T value)
    {
        bool wasEmpty = false;
        {
            absl::MutexLock lock(&m_mutex);
            wasEmpty = m_values.empty();
            m_values.push_back(std::move(value));
        }
        if (wasEmpty && m_wakeUp) {
            m_wakeUp();
        }
    }

    /// @brief All values posted since the last call, in order.
    std::vector<T> take()
    {
        absl::MutexLock lock(&m_mutex);
        return std::exchange(m_values, {});
    }

private:
    std::function<void()> m_wakeUp;
    absl::Mutex m_mutex;
    std::vector<T> m_values ABSL_GUARDED_BY(m_mutex);
};

} // namespace celeryroute
