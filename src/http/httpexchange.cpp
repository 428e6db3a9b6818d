#include <celeryroute/detail/http/httpexchange.h>

#include <celeryroute/detail/http/httperrorbody.h>

#include <algorithm>
#include <cstring>
#include <microhttpd.h>
#include <utility>

namespace celeryroute {

namespace {

constexpr std::size_t StreamBlockBytes = 16U << 10U;

ssize_t readStream(void *context, std::uint64_t /*position*/, char *buffer, std::size_t size)
{
    return (*static_cast<std::shared_ptr<HttpExchange> *>(context))->read(buffer, size);
}

void releaseStream(void *context)
{
    delete static_cast<std::shared_ptr<HttpExchange> *>(context);
}

void addHeaders(MHD_Response *response, const HttpFields &headers)
{
    for (const auto &[name, value] : headers) {
        MHD_add_response_header(response, name.c_str(), value.c_str());
    }
}

bool queue(MHD_Connection *connection, int status, MHD_Response *response)
{
    const MHD_Result result = MHD_queue_response(connection, static_cast<unsigned>(status), response);
    MHD_destroy_response(response);
    return result == MHD_YES;
}

} // namespace

HttpExchange::HttpExchange(MHD_Connection *connection)
    : m_connection(connection)
{}

void HttpExchange::respond(HttpResponse response)
{
    absl::MutexLock lock(&m_mutex);
    if (m_progress != Progress::Waiting) {
        return;
    }
    m_head = std::move(response);
    m_progress = Progress::Whole;
    resume();
}

void HttpExchange::begin(int status, HttpFields headers)
{
    absl::MutexLock lock(&m_mutex);
    if (m_progress != Progress::Waiting) {
        return;
    }
    m_head = HttpResponse{status, std::move(headers), {}};
    m_progress = Progress::Streaming;
    resume();
}

void HttpExchange::write(const std::string &data)
{
    absl::MutexLock lock(&m_mutex);
    if (m_progress != Progress::Streaming || m_closed) {
        return;
    }
    m_pending += data;
    resume();
}

void HttpExchange::end(bool complete)
{
    absl::MutexLock lock(&m_mutex);
    const bool cutBeforeHead = m_progress == Progress::Waiting && !complete;
    if (m_progress != Progress::Streaming && !cutBeforeHead) {
        return;
    }
    m_headSent = !cutBeforeHead;
    m_progress = complete ? Progress::Ended : Progress::Cut;
    resume();
}

void HttpExchange::abandon()
{
    bool unanswered = false;
    {
        absl::MutexLock lock(&m_mutex);
        unanswered = m_progress == Progress::Waiting;
    }
    if (unanswered) {
        respond(errorResponse(ResultCode::Internal, "the request was given up without an answer", RunState::Unknown));
    } else {
        end(false);
    }
}

std::size_t HttpExchange::pendingBytes() const
{
    absl::MutexLock lock(&m_mutex);
    return m_pending.size() - m_taken;
}

bool HttpExchange::closed() const
{
    absl::MutexLock lock(&m_mutex);
    return m_closed;
}

void HttpExchange::onClosed(std::function<void()> callback)
{
    bool lost = false;
    {
        absl::MutexLock lock(&m_mutex);
        if (!m_closed) {
            std::swap(m_onClosed, callback);
            return;
        }
        lost = !answered();
    }
    if (lost) {
        callback();
    }
}

bool HttpExchange::advance()
{
    absl::MutexLock lock(&m_mutex);
    if (m_closed || m_connection == nullptr) {
        return false;
    }
    switch (m_progress) {
    case Progress::Waiting:
        m_suspended = true;
        MHD_suspend_connection(m_connection);
        return true;
    case Progress::Whole:
        return queueWhole();
    case Progress::Cut:
        return m_headSent && queueStream();
    case Progress::Streaming:
    case Progress::Ended:
        return queueStream();
    }
    return false;
}

ssize_t HttpExchange::read(char *buffer, std::size_t size)
{
    absl::MutexLock lock(&m_mutex);
    const std::size_t count = std::min(size, m_pending.size() - m_taken);
    if (m_closed) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (count > 0) {
        std::memcpy(buffer, m_pending.data() + m_taken, count);
        m_taken += count;
        if (m_taken >= m_pending.size() / 2) {
            m_pending.erase(0, m_taken);
            m_taken = 0;
        }
        return static_cast<ssize_t>(count);
    }
    if (m_progress == Progress::Ended) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    if (m_progress == Progress::Cut) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    m_suspended = true;
    MHD_suspend_connection(m_connection);
    return 0;
}

void HttpExchange::lose()
{
    // A callback may own the responder, so it is released outside the lock.
    std::function<void()> callback;
    bool report = false;
    {
        absl::MutexLock lock(&m_mutex);
        if (m_closed) {
            return;
        }
        m_closed = true;
        resume();
        callback = std::exchange(m_onClosed, nullptr);
        report = callback && !answered();
    }
    if (report) {
        callback();
    }
}

void HttpExchange::finish(bool whole)
{
    std::function<void()> dropped;
    {
        absl::MutexLock lock(&m_mutex);
        m_connection = nullptr;
        m_suspended = false;
        m_pending.clear();
        m_taken = 0;
        if (whole) {
            m_closed = true;
            // Callbacks often own the responder; release them once nothing can be reported any more.
            dropped = std::exchange(m_onClosed, nullptr);
        }
    }
    lose();
}

bool HttpExchange::answered() const
{
    return m_progress == Progress::Whole || m_progress == Progress::Ended || m_progress == Progress::Cut;
}

void HttpExchange::resume()
{
    if (m_suspended && m_connection != nullptr) {
        m_suspended = false;
        MHD_resume_connection(m_connection);
    }
}

bool HttpExchange::queueWhole()
{
    MHD_Response *response = MHD_create_response_from_buffer(m_head.body.size(),
                                                             m_head.body.data(),
                                                             MHD_RESPMEM_MUST_COPY);
    addHeaders(response, m_head.headers);
    return queue(m_connection, m_head.status, response);
}

bool HttpExchange::queueStream()
{
    auto *context = new std::shared_ptr<HttpExchange>(shared_from_this());
    MHD_Response *response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN,
                                                               StreamBlockBytes,
                                                               &readStream,
                                                               context,
                                                               &releaseStream);
    addHeaders(response, m_head.headers);
    return queue(m_connection, m_head.status, response);
}

} // namespace celeryroute
