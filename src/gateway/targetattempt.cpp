#include <celeryroute/detail/gateway/targetattempt.h>

#include <celeryroute/detail/base/compactbuffer.h>
#include <celeryroute/detail/gateway/answerlimits.h>

#include <algorithm>
#include <utility>

namespace celeryroute {

std::optional<std::size_t> TargetAnswer::partialEventBytes() const
{
    return isEventStream ? std::optional(body.size()) : std::nullopt;
}

// A crashing target may close its connection in order, which ends an answer without length and chunks.
bool TargetAnswer::brokeOffInOrder() const
{
    const bool insideEvent = !body.empty();
    const bool unconfirmed = head.framing == BodyFraming::UntilClose && !hasEvents;
    return isEventStream && (insideEvent || unconfirmed);
}

TargetAttempt::TargetAttempt(EventLoop &loop,
                             AnswerBuffers &buffers,
                             AttemptUser &user,
                             AttemptDestination destination,
                             CallTicket ticket)
    : m_loop(loop)
    , m_user(user)
    , m_destination(std::move(destination))
    , m_ticket(ticket)
    , m_buffers(buffers)
    , m_boundsAtStart(buffers.bounds())
    , m_held(buffers)
    , m_lastProgress(m_destination.sentAt)
{}

void TargetAttempt::start(TargetChannels &channels, const Endpoint &endpoint, TargetRequest request)
{
    m_connection = &channels.start(endpoint, std::move(request), *this);
}

void TargetAttempt::abandon()
{
    if (m_connection != nullptr) {
        std::exchange(m_connection, nullptr)->abandon();
    }
}

std::optional<std::string_view> TargetAttempt::exceededLimit() const
{
    // A lower limit holds for answers that begin under it. The total protects the process, so it holds at once.
    const std::size_t answerBytes = std::max(m_boundsAtStart.answerBytes, m_buffers.bounds().answerBytes);
    const std::size_t eventBytes = std::max(m_boundsAtStart.eventBytes, m_buffers.bounds().eventBytes);
    const bool lengthTooLarge = m_answer.head.framing == BodyFraming::Length && m_answer.head.bodyLength > answerBytes;
    if (m_answer.isEventStream && m_answer.body.size() > eventBytes) {
        return answerlimits::Event;
    }
    if (!m_answer.isEventStream && (lengthTooLarge || m_answer.body.size() > answerBytes)) {
        return answerlimits::Answer;
    }
    return m_answer.body.size() > m_buffers.share() ? std::optional(answerlimits::Total) : std::nullopt;
}

void TargetAttempt::discardBody()
{
    release(m_answer.body);
    m_held.setBytes(0);
}

void TargetAttempt::setReading(bool reading)
{
    if (m_connection != nullptr) {
        m_connection->setReading(reading);
    }
}

void TargetAttempt::noteProgress(TimePoint now)
{
    m_lastProgress = now;
}

std::optional<CallTicket> TargetAttempt::takeTicket()
{
    return std::exchange(m_ticket, std::nullopt);
}

void TargetAttempt::exchangeHead(MessageHead head)
{
    m_user.attemptHead(*this, std::move(head));
}

void TargetAttempt::exchangeStrayHead(const MessageHead &head)
{
    m_user.attemptStrayHead(*this, head);
}

void TargetAttempt::exchangeBody(std::string &body)
{
    noteProgress(m_loop.now());
    appendCompactly(m_answer.body, body);
    release(body);
    m_held.setBytes(m_answer.body.size());
    m_user.attemptBody(*this);
    m_held.setBytes(m_answer.body.size());
}

void TargetAttempt::exchangeComplete()
{
    m_connection = nullptr;
    m_user.attemptComplete(*this);
}

void TargetAttempt::exchangeFailed(ExchangeFailure failure)
{
    m_connection = nullptr;
    m_user.attemptFailed(*this, failure);
}

} // namespace celeryroute
