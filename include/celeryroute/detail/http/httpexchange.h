#pragma once

#include <celeryroute/detail/http/httpmessage.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>

struct MHD_Connection;

namespace celeryroute {

/// @brief State of one request and its answer, shared by the server's threads and the answering side.
class HttpExchange : public std::enable_shared_from_this<HttpExchange>
{
public:
    explicit HttpExchange(MHD_Connection *connection);

    /// @name Answering side, any thread.
    /// @{
    void respond(HttpResponse response);
    void begin(int status, HttpFields headers);
    void write(const std::string &data);
    void end(bool complete);
    /// @brief The answering side gave up: status 500 before the head, a cut stream after it.
    void abandon();
    std::size_t pendingBytes() const;
    bool closed() const;
    void onClosed(std::function<void()> callback);
    /// @}

    /// @name Server side.
    /// @{
    /// @brief Queues the answer when it has begun, else suspends the connection; false cuts it.
    bool advance();
    /// @brief Copies streamed data to @p buffer; suspends the connection when there is none.
    ssize_t read(char *buffer, std::size_t size);
    /// @brief The caller has gone or the server stops.
    void lose();
    /// @brief The connection no longer serves this request.
    void finish(bool whole);
    /// @}

private:
    enum class Progress { Waiting, Whole, Streaming, Ended, Cut };

    bool answered() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void resume() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    bool queueWhole() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    bool queueStream() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    mutable absl::Mutex m_mutex;
    MHD_Connection *m_connection ABSL_GUARDED_BY(m_mutex);
    Progress m_progress ABSL_GUARDED_BY(m_mutex) = Progress::Waiting;
    bool m_headSent ABSL_GUARDED_BY(m_mutex) = true;
    bool m_suspended ABSL_GUARDED_BY(m_mutex) = false;
    bool m_closed ABSL_GUARDED_BY(m_mutex) = false;
    HttpResponse m_head ABSL_GUARDED_BY(m_mutex);
    std::string m_pending ABSL_GUARDED_BY(m_mutex);
    std::size_t m_taken ABSL_GUARDED_BY(m_mutex) = 0;
    std::function<void()> m_onClosed ABSL_GUARDED_BY(m_mutex);
};

} // namespace celeryroute
