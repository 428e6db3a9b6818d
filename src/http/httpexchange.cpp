#include <celeryroute/detail/http/httpexchange.h>

#include <celeryroute/detail/http/httperrorbody.h>
#include <celeryroute/detail/http/httpfields.h>

#include <algorithm>
#include <utility>

namespace celeryroute {

namespace {

constexpr std::size_t PartBytes = 64U << 10U;

} // namespace

HttpExchange::HttpExchange(LoopMailbox &mailbox, CallerConnection &connection, Duration stallLimit)
    : m_mailbox(&mailbox)
    , m_loop(mailbox.loop())
    , m_connection(&connection)
    , m_stallLimit(stallLimit)
{}

void HttpExchange::respond(HttpResponse response)
{
    absl::MutexLock lock(&m_mutex);
    if (m_progress != Progress::Waiting) {
        return;
    }
    m_head = std::move(response);
    m_progress = Progress::Whole;
    wake();
}

void HttpExchange::begin(int status, HttpFields headers)
{
    absl::MutexLock lock(&m_mutex);
    if (m_progress != Progress::Waiting) {
        return;
    }
    m_head = HttpResponse{status, std::move(headers), {}};
    m_hasHead = true;
    m_progress = Progress::Streaming;
    wake();
}

void HttpExchange::write(const std::string &data)
{
    absl::MutexLock lock(&m_mutex);
    if (m_progress != Progress::Streaming || m_closed) {
        return;
    }
    m_pending += data;
    wake();
}

void HttpExchange::end(bool complete)
{
    absl::MutexLock lock(&m_mutex);
    const bool cutBeforeHead = m_progress == Progress::Waiting && !complete;
    if (m_progress != Progress::Streaming && !cutBeforeHead) {
        return;
    }
    m_progress = complete ? Progress::Ended : Progress::Cut;
    wake();
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

bool HttpExchange::answered() const
{
    return m_progress == Progress::Whole || m_progress == Progress::Ended || m_progress == Progress::Cut;
}

void HttpExchange::wake()
{
    if (m_mailbox != nullptr && !m_advancing) {
        m_advancing = true;
        m_mailbox->post([self = shared_from_this()] { self->advance(); });
    }
}

void HttpExchange::advance()
{
    if (m_connection != nullptr && !m_begun) {
        beginAnswer();
    }
    if (m_connection != nullptr && m_begun) {
        stream();
    }
}

void HttpExchange::beginAnswer()
{
    HttpResponse head;
    Progress progress = Progress::Waiting;
    bool headless = false;
    {
        absl::MutexLock lock(&m_mutex);
        progress = m_progress;
        if (progress == Progress::Waiting) {
            m_advancing = false;
            return;
        }
        headless = progress == Progress::Cut && !m_hasHead;
        head = std::move(m_head);
    }
    if (progress == Progress::Whole) {
        leaveConnection().answer(answerHead(head), head.body);
    } else if (headless) {
        leaveConnection().cut();
    } else {
        m_begun = true;
        m_connection->begin(answerHead(head));
    }
}

void HttpExchange::stream()
{
    Part part{};
    do {
        if (m_connection->congested()) {
            awaitReader();
            return;
        }
        part = takePart();
        m_connection->append(part.data);
        m_connection->flush();
        m_unsentBefore = SIZE_MAX;
    } while (!part.last);
    if (part.progress == Progress::Ended) {
        leaveConnection().finish();
    } else if (part.progress == Progress::Cut) {
        leaveConnection().cut();
    }
}

HttpExchange::Part HttpExchange::takePart()
{
    absl::MutexLock lock(&m_mutex);
    Part part{m_progress, m_pending.substr(m_taken, PartBytes), false};
    m_taken += part.data.size();
    part.last = m_taken == m_pending.size();
    m_advancing = !part.last;
    if (m_taken >= m_pending.size() / 2) {
        m_pending.erase(0, m_taken);
        m_taken = 0;
    }
    return part;
}

CallerConnection &HttpExchange::leaveConnection()
{
    // Callbacks often own the responder; release them outside the lock once nothing can be reported any more.
    std::function<void()> dropped;
    {
        absl::MutexLock lock(&m_mutex);
        m_mailbox = nullptr;
        m_closed = true;
        dropped = std::exchange(m_onClosed, nullptr);
    }
    m_loop.cancel(m_stallTimer);
    return *std::exchange(m_connection, nullptr);
}

void HttpExchange::lose()
{
    if (m_connection == nullptr) {
        return;
    }
    std::function<void()> callback;
    {
        absl::MutexLock lock(&m_mutex);
        if (!answered()) {
            callback = std::exchange(m_onClosed, nullptr);
        }
        m_closed = true;
        m_pending.clear();
        m_taken = 0;
    }
    leaveConnection().cut();
    if (callback) {
        callback();
    }
}

// The connection asks for more when its caller has read; nobody asks for a caller that reads nothing.
void HttpExchange::awaitReader()
{
    if (m_stallTimer == 0) {
        m_unsentBefore = m_connection->unsent();
        m_stallTimer = m_loop.at(m_loop.now() + m_stallLimit, [self = weak_from_this()] {
            if (const std::shared_ptr<HttpExchange> exchange = self.lock()) {
                exchange->checkReader();
            }
        });
    }
}

void HttpExchange::checkReader()
{
    m_stallTimer = 0;
    if (m_connection == nullptr || !m_connection->congested()) {
        return;
    }
    if (m_connection->unsent() == m_unsentBefore) {
        lose();
    } else {
        awaitReader();
    }
}

} // namespace celeryroute
