#include <celeryroute/detail/daemon/peeranswers.h>

#include <celeryroute/detail/observe/timelineview.h>

#include <peer.pb.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr std::size_t MostTimelineEvents = 20'000;

TimelineFilter filterOf(const proto::TimelineQuery &query)
{
    TimelineFilter filter;
    filter.requestId = query.request_id();
    filter.customer = query.customer();
    filter.model = query.model();
    if (query.limit() != 0) {
        filter.limit = std::min<std::size_t>(query.limit(), MostTimelineEvents);
    }
    return filter;
}

} // namespace

PeerAnswers::PeerAnswers(const Control &control, const Timeline &timeline, std::function<std::string()> statusJson)
    : m_control(control)
    , m_timeline(timeline)
    , m_statusJson(std::move(statusJson))
{}

std::optional<proto::Envelope> PeerAnswers::answer(const proto::Envelope &message) const
{
    proto::Envelope reply;
    if (message.has_state_query()) {
        *reply.mutable_state_reply() = m_control.answer(message.state_query());
    } else if (message.has_status_query()) {
        reply.mutable_status_reply()->set_json(m_statusJson());
    } else if (message.has_timeline_query()) {
        const auto events = m_timeline.select(filterOf(message.timeline_query()));
        reply.mutable_timeline_reply()->set_json_lines(timelineJsonLines(events));
    } else {
        return std::nullopt;
    }
    return reply;
}

} // namespace celeryroute
