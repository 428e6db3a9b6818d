#pragma once

#include <celeryroute/detail/platform/hostentry.h>
#include <celeryroute/result.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <vector>

namespace celeryroute {

/// @brief A list of hosts inside this process, for tests; copies share one list.
class MemoryHostList
{
public:
    MemoryHostList();

    /// @brief Fails with PlatformUnavailable while setAvailable(false) holds.
    Result<std::vector<HostEntry>> read();
    void setEntries(std::vector<HostEntry> entries);
    void setAvailable(bool available);

private:
    struct Shared {
        absl::Mutex mutex;
        std::vector<HostEntry> entries ABSL_GUARDED_BY(mutex);
        bool available ABSL_GUARDED_BY(mutex) = true;
    };

    std::shared_ptr<Shared> m_shared;
};

} // namespace celeryroute
