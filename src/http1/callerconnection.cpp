#include <celeryroute/detail/http1/callerconnection.h>

#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/http1/messagewriter.h>
#include <celeryroute/detail/net/sockets.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr std::size_t PipelinedBytes = std::size_t{64} * 1024; ///< Read ahead while an answer is being made.
constexpr std::size_t CongestedBytes = std::size_t{256} * 1024;
constexpr Duration LingerTime = std::chrono::seconds(1);
constexpr int BadRequest = 400;
constexpr int RequestTimeout = 408;
constexpr int ContentTooLarge = 413;
constexpr int HeaderTooLarge = 431;
constexpr int NoContent = 204;
constexpr int NotModified = 304;
constexpr int ServiceUnavailable = 503;
constexpr std::size_t ProgressBytes = 1024; ///< A caller that sends single bytes makes no progress.
constexpr int CurrentVersion = 11;

bool hasNoBody(int status)
{
    return status == NoContent || status == NotModified;
}

} // namespace

WholeAnswer CallerHandler::rejection(int status) const
{
    return {{status, {}, {}}, {}};
}

void CallerHandler::answerDropped(CallerConnection &, std::size_t) {}

CallerConnection::CallerConnection(EventLoop &loop,
                                   int socket,
                                   CallerHandler &handler,
                                   MemoryAccount &account,
                                   std::uint64_t number)
    : m_loop(loop)
    , m_handler(handler)
    , m_channel(loop, socket, TcpChannel::Phase::Open, *this)
    , m_number(number)
    , m_account(account)
    , m_holding(account, *this, loop.now())
    , m_alive(std::make_shared<bool>(true))
{
    m_holding.setGroup(peerIp(socket));
    beginIdleTime();
}

CallerConnection::~CallerConnection()
{
    *m_alive = false;
    m_loop.cancel(m_timer);
}

void CallerConnection::channelReceived()
{
    switch (m_phase) {
    case Phase::Idle:
    case Phase::Reading:
        readRequest();
        break;
    case Phase::Answering:
        if (m_channel.input().size() > PipelinedBytes) {
            m_channel.setReading(false);
        }
        break;
    case Phase::Lingering:
    case Phase::Ended:
        m_channel.input().clear();
        break;
    }
    m_channel.releaseInput();
    noteHeld();
    relieveMemory();
}

void CallerConnection::noteHeld()
{
    std::size_t bytes = m_channel.heldBytes() + m_requestBytes;
    if (m_parser != nullptr) {
        bytes += m_parser->heldBytes();
    }
    const bool isAccepted = m_phase == Phase::Answering || m_channel.unsent() > 0;
    m_holding.set(isAccepted ? HeldKind::Accepted : HeldKind::Incoming, m_phase == Phase::Ended ? 0 : bytes);
}

void CallerConnection::relieveMemory()
{
    while (const auto excess = m_account.excess(m_loop.now())) {
        excess->holding->holder().releaseMemory(excess->pressure);
        excess->holding->set(excess->holding->kind(), 0); // It may not be chosen again.
    }
}

// Nothing of a request that is not complete has been passed on, so it gets an answer that says that it will not run.
void CallerConnection::releaseMemory(MemoryPressure pressure)
{
    const EvictionReason reason = pressure == MemoryPressure::Total ? EvictionReason::Memory : EvictionReason::Share;
    if (m_phase != Phase::Reading) {
        evict(reason);
        return;
    }
    m_handler.connectionEvicted(*this,
                                {reason, m_holding.bytes(), m_account.held(), m_loop.now() - m_holding.progressAt()});
    reject(ServiceUnavailable);
}

bool CallerConnection::mayBeEvicted() const
{
    if (m_phase == Phase::Idle) {
        return m_channel.input().empty() && m_channel.unsent() == 0 && !m_channel.stirred();
    }
    return m_phase == Phase::Reading || m_phase == Phase::Lingering;
}

void CallerConnection::evict(EvictionReason reason)
{
    if (m_phase == Phase::Ended) {
        return;
    }
    m_handler.connectionEvicted(*this,
                                {reason, m_holding.bytes(), m_account.held(), m_loop.now() - m_holding.progressAt()});
    const bool wasAnswering = m_phase == Phase::Answering;
    if (m_phase != Phase::Idle) {
        m_channel.discardOnClose();
    }
    end();
    if (wasAnswering) {
        m_handler.callerLeft(*this);
    }
    m_handler.connectionEnded(*this);
}

void CallerConnection::useCustomer(const std::string &customer)
{
    if (!customer.empty()) {
        m_holding.setGroup(stableHash(customer));
    }
}

void CallerConnection::channelClosed(bool)
{
    const bool left = m_phase == Phase::Answering;
    end();
    if (left) {
        m_handler.callerLeft(*this);
    }
    m_handler.connectionEnded(*this);
}

void CallerConnection::channelDrained()
{
    m_holding.noteProgress(m_loop.now());
    noteHeld();
    if (m_phase == Phase::Answering) {
        m_handler.callerDrained(*this);
    } else if (m_phase == Phase::Lingering) {
        setDeadline(LingerTime);
    } else if (m_phase == Phase::Idle) {
        beginIdleTime();
    }
}

void CallerConnection::readRequest()
{
    std::string &input = m_channel.input();
    if (m_phase == Phase::Idle) {
        input.erase(0, std::min(input.find_first_not_of("\r\n"), input.size()));
        if (input.empty()) {
            return;
        }
        const CallerLimits &limits = m_handler.callerLimits();
        m_parser = std::make_unique<MessageParser>(
            MessageKind::Request,
            MessageLimits{static_cast<std::uint32_t>(limits.headerBytes), limits.bodyBytes});
        m_phase = Phase::Reading;
        m_continued = false;
        m_readSinceProgress = 0;
        m_holding.noteProgress(m_loop.now());
        setDeadline(limits.requestTimeout.value_or(limits.headerTimeout));
    }
    const ParseState before = m_parser->state();
    const std::size_t consumed = m_parser->feed(input);
    input.erase(0, consumed);
    switch (m_parser->state()) {
    case ParseState::Head:
        break;
    case ParseState::Body:
        readBody(before, consumed);
        break;
    case ParseState::Complete:
        // Before the request is passed on, it can still be refused as one that will not run.
        noteHeld();
        relieveMemory();
        if (m_phase == Phase::Reading) {
            takeRequest();
        }
        break;
    case ParseState::Malformed:
        reject(BadRequest);
        break;
    case ParseState::HeadTooLarge:
        reject(HeaderTooLarge);
        break;
    case ParseState::BodyTooLarge:
        reject(ContentTooLarge);
        break;
    }
}

void CallerConnection::readBody(ParseState before, std::size_t consumed)
{
    if (before == ParseState::Head) {
        const MessageHead &head = m_parser->head();
        if (head.framing == BodyFraming::Length && head.bodyLength > m_handler.callerLimits().bodyBytes) {
            reject(ContentTooLarge);
            return;
        }
        if (m_handler.refusesHead(*this, head)) {
            refuseFromHead();
            return;
        }
    }
    // A chunk line or a trailer that is not complete does not prolong the time.
    if (consumed > 0 && !m_handler.callerLimits().requestTimeout) {
        setDeadline(m_handler.callerLimits().idleTimeout);
    }
    m_readSinceProgress += consumed;
    if (m_readSinceProgress >= ProgressBytes) {
        m_readSinceProgress = 0;
        m_holding.noteProgress(m_loop.now());
    }
    sendContinue();
}

void CallerConnection::refuseFromHead()
{
    CallerRequest request{std::move(m_parser->head()), {}, m_loop.now()};
    m_parser.reset();
    m_phase = Phase::Answering;
    clearDeadline();
    m_keepAlive = false; // What follows is the body.
    m_oldVersion = request.head.version < CurrentVersion;
    m_withoutBody = request.head.method == "HEAD";
    m_handler.refuseRequest(*this, std::move(request));
}

void CallerConnection::sendContinue()
{
    const std::string *expect = m_parser->head().field("Expect");
    const bool understood = m_parser->head().version >= CurrentVersion;
    if (expect != nullptr && understood && !m_continued && equalsIgnoringCase(*expect, "100-continue")) {
        m_continued = true;
        m_channel.write("HTTP/1.1 100 Continue\r\n\r\n");
        m_channel.flush();
    }
}

void CallerConnection::takeRequest()
{
    m_requestBytes = m_parser->heldBytes();
    m_holding.noteProgress(m_loop.now());
    CallerRequest request{std::move(m_parser->head()), std::move(m_parser->body()), m_loop.now()};
    m_parser.reset();
    m_phase = Phase::Answering;
    clearDeadline();
    m_keepAlive = request.head.keepAlive;
    m_oldVersion = request.head.version < CurrentVersion;
    m_withoutBody = request.head.method == "HEAD";
    m_handler.callerRequest(*this, std::move(request));
}

void CallerConnection::reject(int status)
{
    m_handler.requestRejected(status);
    m_parser.reset();
    m_phase = Phase::Answering;
    m_keepAlive = false;
    m_withoutBody = false;
    const WholeAnswer rejection = m_handler.rejection(status);
    answer(rejection.head, rejection.body);
}

void CallerConnection::writeHead(const AnswerHead &head, const std::optional<std::size_t> &length)
{
    std::string text;
    appendStatusLine(text, head.status, head.reason);
    for (const HeaderField &field : head.fields) {
        appendField(text, field.name, field.value);
    }
    if (head.close || m_handler.stopping()) {
        m_keepAlive = false;
    }
    m_chunked = !length && !m_oldVersion;
    if (m_chunked) {
        appendField(text, "Transfer-Encoding", "chunked");
    } else if (length && !hasNoBody(head.status) && !m_withoutBody) {
        appendField(text, "Content-Length", std::to_string(*length));
    } else if (!length) {
        m_keepAlive = false;
    }
    if (!m_keepAlive) {
        appendField(text, "Connection", "close");
    } else if (m_oldVersion) {
        appendField(text, "Connection", "keep-alive");
    }
    text.append("\r\n");
    m_channel.write(text);
}

void CallerConnection::answer(const AnswerHead &head, std::string_view body)
{
    if (m_phase != Phase::Answering) {
        return;
    }
    writeHead(head, body.size());
    if (!m_withoutBody && !hasNoBody(head.status)) {
        m_channel.write(body);
    }
    answerWritten();
}

void CallerConnection::begin(const AnswerHead &head)
{
    if (m_phase == Phase::Answering) {
        writeHead(head, std::nullopt);
    }
}

void CallerConnection::append(std::string_view bytes)
{
    if (m_phase != Phase::Answering || m_withoutBody) {
        return;
    }
    if (m_chunked) {
        std::string chunk;
        appendChunk(chunk, bytes);
        m_channel.write(chunk);
    } else {
        m_channel.write(bytes);
    }
}

void CallerConnection::flush()
{
    if (m_phase == Phase::Answering) {
        m_channel.flush();
        noteHeld();
        if (m_account.excess(m_loop.now())) {
            m_loop.defer([this, alive = m_alive] {
                if (*alive) {
                    relieveMemory();
                }
            });
        }
    }
}

void CallerConnection::finish()
{
    if (m_phase != Phase::Answering) {
        return;
    }
    if (m_chunked && !m_withoutBody) {
        m_channel.write("0\r\n\r\n");
    }
    answerWritten();
}

void CallerConnection::answerWritten()
{
    m_requestBytes = 0;
    m_holding.noteProgress(m_loop.now());
    if (!m_keepAlive) {
        linger();
        return;
    }
    m_channel.flush();
    m_phase = Phase::Idle;
    m_channel.setReading(true);
    beginIdleTime();
    noteHeld();
    if (!m_channel.input().empty()) {
        // A pipelined request is read from the loop, since this may run inside the handler of the one before.
        m_loop.defer([this, alive = m_alive] {
            if (*alive && m_phase == Phase::Idle) {
                readRequest();
                noteHeld();
            }
        });
    }
}

// A channel that is closed with unread input is reset, and the answer would be lost with it.
void CallerConnection::linger()
{
    m_phase = Phase::Lingering;
    m_channel.input().clear();
    m_channel.releaseInput();
    m_channel.setReading(true);
    m_channel.finishOutput();
    noteHeld();
    // A slow reader gets the time that it may stay idle for; the lingering begins when all has left.
    setDeadline(m_channel.unsent() > 0 ? m_handler.callerLimits().idleTimeout : LingerTime);
}

void CallerConnection::cut()
{
    if (m_phase == Phase::Answering) {
        m_channel.flush();
        if (!m_chunked) {
            m_channel.discardOnClose(); // An orderly close would end the answer as complete.
        }
        end();
        m_handler.connectionEnded(*this);
    }
}

bool CallerConnection::congested() const
{
    return m_channel.unsent() > CongestedBytes;
}

void CallerConnection::closeIdle(Duration least)
{
    if (m_phase != Phase::Idle || !m_channel.input().empty() || m_channel.stirred()) {
        return; // A request that has arrived is answered first.
    }
    if (m_loop.now() - m_idleSince < least) {
        return;
    }
    if (m_channel.unsent() > 0) {
        linger(); // Its last answer is still on its way.
        return;
    }
    end();
    m_handler.connectionEnded(*this);
}

void CallerConnection::beginIdleTime()
{
    m_idleSince = m_loop.now();
    setDeadline(m_handler.callerLimits().idleTimeout);
}

// The caller may have taken a part of its answer, or a request may have arrived in this turn, after the loop looked for
// events.
bool CallerConnection::mayStayOpen()
{
    const bool takesAnswer = m_channel.unsent() > 0 && m_channel.unconfirmed() < m_unconfirmedAtDeadline;
    return takesAnswer || (m_phase == Phase::Idle && (!m_channel.input().empty() || m_channel.stirred()));
}

void CallerConnection::end()
{
    m_phase = Phase::Ended;
    clearDeadline();
    m_parser.reset();
    m_requestBytes = 0;
    m_channel.setReading(false);
    noteHeld();
}

void CallerConnection::setDeadline(Duration fromNow)
{
    m_deadline = m_loop.now() + fromNow;
    m_unconfirmedAtDeadline = m_channel.unsent() > 0 ? m_channel.unconfirmed() : 0;
    startTimer();
}

void CallerConnection::startTimer()
{
    if (m_timer != 0 && m_timerAt <= *m_deadline) {
        return; // The timer looks again when it fires.
    }
    m_loop.cancel(m_timer);
    m_timerAt = *m_deadline;
    m_timer = m_loop.at(m_timerAt, [this] { deadlineReached(); });
}

void CallerConnection::clearDeadline()
{
    m_deadline.reset();
}

void CallerConnection::deadlineReached()
{
    m_timer = 0;
    if (!m_deadline) {
        return;
    }
    if (m_phase == Phase::Idle) {
        // Callers know the newest limit only. A lower one holds from the next idle time on.
        m_deadline = std::max(*m_deadline, m_idleSince + m_handler.callerLimits().idleTimeout);
    }
    if (*m_deadline > m_loop.now()) {
        startTimer();
        return;
    }
    if (m_phase == Phase::Reading) {
        reject(RequestTimeout);
        return;
    }
    if (mayStayOpen()) {
        setDeadline(m_handler.callerLimits().idleTimeout);
        return;
    }
    if (m_channel.unsent() > 0) {
        m_handler.answerDropped(*this, m_channel.unsent());
    }
    end();
    m_handler.connectionEnded(*this);
}

} // namespace celeryroute
