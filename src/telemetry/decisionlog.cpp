#include <celeryroute/detail/telemetry/decisionlog.h>

#include <celeryroute/detail/telemetry/jsontext.h>

#include <fcntl.h>

namespace celeryroute {

namespace {

constexpr std::size_t MaxPendingBytes = std::size_t{64} * 1024;

std::string originText(const DecisionOrigin &origin)
{
    std::string text;
    appendJsonField(text, {"host", origin.host});
    appendJsonField(text, {"role", origin.role});
    appendJsonField(text, {"inc", origin.incarnation});
    return text + ",\"event\":\"";
}

} // namespace

DecisionLog::DecisionLog(const DecisionOrigin &origin, int descriptor, ClockReader clock)
    : m_clock(clock)
    , m_descriptor(descriptor)
    , m_originalFlags(fcntl(descriptor, F_GETFL))
    , m_originText(originText(origin))
    , m_buffer(MaxPendingBytes)
{
    if (m_originalFlags >= 0) {
        (void)fcntl(m_descriptor, F_SETFL, m_originalFlags | O_NONBLOCK);
    }
}

DecisionLog::~DecisionLog()
{
    flush();
    if (m_originalFlags >= 0) {
        (void)fcntl(m_descriptor, F_SETFL, m_originalFlags);
    }
}

void DecisionLog::write(DecisionEvent event,
                        TimePoint now,
                        std::string_view request,
                        std::initializer_list<DecisionField> fields)
{
    const EventDescription &description = describe(event);
    LineBudget &budget = m_budgets[static_cast<std::size_t>(event)];
    if (!budget.tryTake(lineLimit(description.volume), now)) {
        ++m_leftOut;
        return;
    }
    std::string &line = m_buffer.line();
    appendHead(line, description, now);
    if (!request.empty()) {
        appendJsonField(line, {"request", request});
    }
    for (const DecisionField &field : fields) {
        appendJsonField(line, field);
    }
    const std::uint64_t dropped = m_buffer.dropped();
    appendMissingCounts(line, budget);
    line += '}';
    if (m_buffer.commit()) {
        budget.resetLeftOut();
        m_droppedReported = dropped;
        ++m_written;
    }
}

void DecisionLog::write(DecisionEvent event, TimePoint now, std::initializer_list<DecisionField> fields)
{
    write(event, now, {}, fields);
}

void DecisionLog::flush()
{
    if (!m_buffer.empty()) {
        m_buffer.flush(m_descriptor);
    }
    m_anchor.reset();
}

void DecisionLog::appendHead(std::string &line, const EventDescription &description, TimePoint now)
{
    // The clocks are read once per iteration of the event loop. Later lines of the iteration add the time that
    // has passed on the clock of the event loop.
    if (!m_anchor) {
        m_anchor = Anchor{now, m_clock()};
    }
    const std::int64_t sinceAnchor = toMilliseconds(now - m_anchor->now);
    line += "{\"t\":";
    appendJsonNumber(line, m_anchor->clock.wallMs + sinceAnchor);
    line += ",\"m\":";
    appendJsonNumber(line, m_anchor->clock.bootMs + sinceAnchor);
    line += m_originText;
    line += description.name;
    line += '"';
}

void DecisionLog::appendMissingCounts(std::string &line, const LineBudget &budget)
{
    if (budget.leftOut() > 0) {
        appendJsonField(line, {"left_out", budget.leftOut()});
    }
    if (m_buffer.dropped() > m_droppedReported) {
        appendJsonField(line, {"dropped", m_buffer.dropped() - m_droppedReported});
    }
}

} // namespace celeryroute
