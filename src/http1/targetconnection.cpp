#include <celeryroute/detail/http1/targetconnection.h>

#include <celeryroute/detail/base/compactbuffer.h>
#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/net/sockets.h>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace celeryroute {

namespace {

constexpr Duration SilenceLimit = std::chrono::seconds(3);
constexpr int FirstFinalStatus = 200;
constexpr int FirstUnservedStatus = 300;
/// A connection that has refused more requests is closed.
constexpr std::size_t MaxRefused = 64;
/// Most bytes of interim answers and of answers to other requests before the answer of an exchange.
constexpr std::size_t MaxPassedBytes = std::size_t{1024} * 1024;

std::optional<std::uint32_t> statedTimeout(std::string_view keepAlive)
{
    constexpr std::string_view Name = "timeout=";
    const std::size_t at = keepAlive.find(Name);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    std::uint32_t seconds = 0;
    const char *begin = keepAlive.data() + at + Name.size();
    const auto [rest, error] = std::from_chars(begin, keepAlive.data() + keepAlive.size(), seconds);
    return error == std::errc() ? std::optional(seconds) : std::nullopt;
}

} // namespace

TargetConnection::TargetConnection(EventLoop &loop,
                                   const Endpoint &endpoint,
                                   int socket,
                                   const Conventions &conventions,
                                   Idle idle,
                                   Ended ended)
    : m_loop(loop)
    , m_endpoint(endpoint)
    , m_conventions(conventions)
    , m_idle(std::move(idle))
    , m_ended(std::move(ended))
    , m_pace(conventions.framingTime)
    , m_idleLimit(conventions.idleLimit)
    , m_alive(std::make_shared<bool>(true))
{
    if (socket < 0) {
        m_dead = true;
        return;
    }
    limitSilence(socket, SilenceLimit);
    m_channel.emplace(loop, socket, TcpChannel::Phase::Connecting, static_cast<ChannelUser &>(*this));
}

TargetConnection::~TargetConnection()
{
    *m_alive = false;
    m_loop.cancel(m_connectTimer);
}

void TargetConnection::start(TargetRequest request, ExchangeUser &user)
{
    m_request = std::move(request);
    m_user = &user;
    ++m_exchanges;
    m_passedBytes = 0;
    m_pace.noteComplete();
    resetParser();
    if (m_dead) {
        m_loop.defer([this, alive = m_alive] {
            if (*alive) {
                fail(ExchangeFailure::NotConnected);
            }
        });
        return;
    }
    if (!m_channel->connected()) {
        m_connectTimer = m_loop.at(m_loop.now() + m_request.connectTimeout, [this] {
            m_connectTimer = 0;
            fail(ExchangeFailure::NotConnected);
        });
    }
    m_channel->setReading(true); // The answer before may have ended while its reader held it back.
    m_channel->restartSentCount();
    m_channel->write(m_request.head);
    m_channel->write(m_request.body);
    m_request.head.clear();
    std::string().swap(m_request.body);
    if (m_request.sharedBody != nullptr && !m_request.sharedBody->empty()) {
        m_channel->write(std::move(m_request.sharedBody));
    }
    m_request.sharedBody.reset();
    m_channel->flush();
}

void TargetConnection::abandon()
{
    m_user = nullptr;
    if (m_channel) {
        m_channel->discardOnClose();
    }
    end();
}

void TargetConnection::setReading(bool reading)
{
    if (m_channel && !m_dead) {
        m_channel->setReading(reading);
    }
}

// The target may have closed the channel without the loop having seen it; a request sent there would be lost.
bool TargetConnection::usable(TimePoint now) const
{
    return !m_dead && m_user == nullptr && now < m_expiry && !m_channel->stirred();
}

bool TargetConnection::hasRefused(const std::string &requestId) const
{
    return !m_refused.empty()
        && std::find(m_refused.begin(), m_refused.end(), stableHash(requestId)) != m_refused.end();
}

void TargetConnection::channelConnected()
{
    m_loop.cancel(m_connectTimer);
    m_connectTimer = 0;
}

void TargetConnection::channelReceived()
{
    if (m_user == nullptr) {
        end(); // Bytes that belong to no request.
        return;
    }
    const std::shared_ptr<bool> alive = m_alive;
    while (*alive && !m_dead && m_user != nullptr && answerProgress()) {}
    if (*alive) {
        m_channel->releaseInput();
    }
}

// Returns whether more of the input may be read.
bool TargetConnection::answerProgress()
{
    std::string &input = m_channel->input();
    if (input.empty()) {
        return false;
    }
    const std::size_t consumed = m_parser->feed(input);
    input.erase(0, consumed);
    if (!keepsLimits(consumed)) {
        return false;
    }
    const ParseState state = m_parser->state();
    // Nothing is consumed of a head or a chunk's size that is not complete.
    if (state == ParseState::Head || (consumed == 0 && state == ParseState::Body)) {
        return false;
    }
    if (state != ParseState::Body && state != ParseState::Complete) {
        fail(m_headTaken ? ExchangeFailure::Torn : ExchangeFailure::Malformed);
        return false;
    }
    const std::shared_ptr<bool> alive = m_alive;
    if (!m_headTaken && !takeHead()) {
        return passOver(consumed);
    }
    if (!*alive || m_dead || m_user == nullptr || (m_foreign && !passOver(consumed))) {
        return false;
    }
    if (m_foreign) {
        release(m_parser->body());
    } else if (!m_parser->body().empty()) {
        m_user->exchangeBody(m_parser->body());
    }
    if (*alive && !m_dead && m_user != nullptr && state == ParseState::Complete) {
        completeAnswer();
    }
    return *alive && !m_dead && m_user != nullptr;
}

bool TargetConnection::keepsLimits(std::size_t consumed)
{
    const ParseState state = m_parser->state();
    if (state == ParseState::HeadTooLarge) {
        fail(ExchangeFailure::Overlong);
        return false;
    }
    const bool incomplete = state == ParseState::Head || (consumed == 0 && state == ParseState::Body);
    if (incomplete) {
        m_pace.noteIncomplete(m_loop.now());
    } else {
        m_pace.noteComplete();
    }
    if (m_pace.isDripping()) {
        fail(ExchangeFailure::Dripping);
        return false;
    }
    return true;
}

bool TargetConnection::passOver(std::size_t bytes)
{
    m_passedBytes += bytes;
    if (m_passedBytes > MaxPassedBytes) {
        fail(ExchangeFailure::Overlong);
        return false;
    }
    return true;
}

// Returns false when the head was an interim one.
bool TargetConnection::takeHead()
{
    MessageHead &head = m_parser->head();
    if (head.status < FirstFinalStatus) {
        resetParser();
        return false;
    }
    m_headTaken = true;
    m_foreign = isForeign(head);
    m_endsWithConnection = head.framing == BodyFraming::UntilClose;
    m_reusable = m_reusable && head.keepAlive && !m_endsWithConnection;
    if (m_foreign) {
        m_user->exchangeStrayHead(head);
    } else {
        m_refuses = head.status >= FirstUnservedStatus || head.field(m_conventions.notRun) != nullptr;
        noteKeepAlive(head);
        m_user->exchangeHead(std::move(head));
    }
    return true;
}

// The answer of an earlier request on this channel may come late; its id tells.
bool TargetConnection::isForeign(const MessageHead &head) const
{
    const std::string *id = head.field(m_conventions.requestId);
    if (id == nullptr) {
        return !m_request.id.empty() && m_exchanges > 1;
    }
    return *id != m_request.id;
}

void TargetConnection::noteKeepAlive(const MessageHead &head)
{
    const std::string *keepAlive = head.field("Keep-Alive");
    if (keepAlive == nullptr) {
        return;
    }
    if (const auto seconds = statedTimeout(*keepAlive)) {
        m_idleLimit = std::chrono::milliseconds(*seconds * 800); // 0.8 of it: the target may count from its last byte.
    }
}

void TargetConnection::completeAnswer()
{
    if (m_foreign) {
        resetParser();
        return;
    }
    ExchangeUser *user = m_user;
    m_user = nullptr;
    if (m_refuses && !m_request.id.empty()) {
        m_refused.push_back(stableHash(m_request.id));
        m_reusable = m_reusable && m_refused.size() < MaxRefused;
    }
    // A target that answered before it had read the whole request would take the rest for the next one.
    const bool kept = m_reusable && !m_request.single && m_channel->unsent() == 0 && m_channel->input().empty();
    if (!kept) {
        end();
    } else {
        m_expiry = m_loop.now() + m_idleLimit;
        m_idle(*this);
    }
    user->exchangeComplete();
}

void TargetConnection::resetParser()
{
    m_parser = std::make_unique<MessageParser>(MessageKind::Answer, MessageLimits{});
    m_parser->expectNoBody(m_request.withoutAnswerBody);
    m_headTaken = false;
    m_foreign = false;
}

void TargetConnection::channelClosed(bool reset)
{
    if (m_user == nullptr) {
        end();
        return;
    }
    if (!m_channel->connected()) {
        fail(ExchangeFailure::NotConnected);
        return;
    }
    if (m_headTaken && !m_foreign && !reset && m_endsWithConnection && isWholeAtEnd()) {
        m_parser->feedEnd();
        if (m_parser->state() == ParseState::Complete) {
            m_reusable = false;
            completeAnswer();
            return;
        }
    }
    if (m_headTaken && !m_foreign) {
        fail(ExchangeFailure::Torn);
    } else {
        fail(m_channel->sentAny() ? ExchangeFailure::NoAnswer : ExchangeFailure::NotSent);
    }
}

// A target that has not got the whole request can only have refused it.
bool TargetConnection::isWholeAtEnd() const
{
    return m_channel->endedCleanly() && (m_refuses || m_channel->outputConfirmed());
}

void TargetConnection::fail(ExchangeFailure failure)
{
    ExchangeUser *user = m_user;
    m_user = nullptr;
    end();
    if (user != nullptr) {
        user->exchangeFailed(failure);
    }
}

void TargetConnection::end()
{
    m_dead = true;
    m_loop.cancel(m_connectTimer);
    m_connectTimer = 0;
    if (!m_reported) {
        m_reported = true;
        m_ended(*this);
    }
}

} // namespace celeryroute
