#pragma once

#include <celeryroute/detail/http/httpmessage.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <string>

namespace celeryroute {

/// @brief Every request received, as text, up to a limit.
class ReceivedBytes
{
public:
    explicit ReceivedBytes(std::size_t limit);

    void add(const HttpRequest &request);
    std::string text() const;
    /// @brief Whether bytes beyond the limit were not kept.
    bool truncated() const;

private:
    const std::size_t m_limit;
    mutable absl::Mutex m_mutex;
    std::string m_text ABSL_GUARDED_BY(m_mutex);
    bool m_truncated ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace celeryroute
