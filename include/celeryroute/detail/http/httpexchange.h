#pragma once

#include <celeryroute/detail/http/httpmessage.h>
#include <celeryroute/detail/http1/callerconnection.h>
#include <celeryroute/detail/net/loopmailbox.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace celeryroute {

/// @brief One request and its answer, between the loop of a server and the answering side.
class HttpExchange : public std::enable_shared_from_this<HttpExchange>
{
public:
    /// @param stallLimit how long a caller may read nothing of an answer that waits for it
    HttpExchange(LoopMailbox &mailbox, CallerConnection &connection, Duration stallLimit);

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

    /// @name Thread of the loop.
    /// @{
    /// @brief Hands the connection what it can take of the answer; also to be called after the handler.
    void advance();
    /// @brief The caller has gone or the server stops; cuts the connection.
    void lose();
    /// @}

private:
    enum class Progress { Waiting, Whole, Streaming, Ended, Cut };

    struct Part {
        Progress progress;
        std::string data;
        bool last; ///< Of what there is now.
    };

    bool answered() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void wake() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void beginAnswer();
    void stream();
    Part takePart();
    CallerConnection &leaveConnection();
    void awaitReader();
    void checkReader();

    mutable absl::Mutex m_mutex;
    LoopMailbox *m_mailbox ABSL_GUARDED_BY(m_mutex); ///< Null once nothing can be sent any more.
    bool m_advancing ABSL_GUARDED_BY(m_mutex) = true; ///< advance() comes without being asked for.
    Progress m_progress ABSL_GUARDED_BY(m_mutex) = Progress::Waiting;
    bool m_closed ABSL_GUARDED_BY(m_mutex) = false;
    bool m_hasHead ABSL_GUARDED_BY(m_mutex) = false; ///< Of a stream.
    HttpResponse m_head ABSL_GUARDED_BY(m_mutex);
    std::string m_pending ABSL_GUARDED_BY(m_mutex);
    std::size_t m_taken ABSL_GUARDED_BY(m_mutex) = 0;
    std::function<void()> m_onClosed ABSL_GUARDED_BY(m_mutex);

    // Thread of the loop only.
    EventLoop &m_loop;
    CallerConnection *m_connection; ///< Null once the answer has left or is lost.
    const Duration m_stallLimit;
    bool m_begun = false;
    std::size_t m_unsentBefore = 0; ///< At the last look at a slow reader.
    EventLoop::TimerId m_stallTimer = 0;
};

} // namespace celeryroute
