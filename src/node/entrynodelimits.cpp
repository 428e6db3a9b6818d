#include <celeryroute/detail/node/entrynode.h>

#include <celeryroute/detail/node/limitmessages.h>

#include <serving.pb.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr std::size_t NoticesPerDatagram = 16;
constexpr Duration LeastLimitsInterval = std::chrono::milliseconds(2);

} // namespace

void EntryNode::handleLimits(const wire::Envelope &envelope)
{
    const TimePoint now = m_core.loop.now();
    addEntry(envelope.sender());
    if (!m_entryPeers.recordMessage(envelope.sender(), envelope.incarnation(), envelope.sequence(), now)) {
        return;
    }
    const LimitReport report = readLimits(envelope.limits(), now);
    for (const TargetLimits::News &news : m_limits.receive(envelope.sender(), envelope.incarnation(), report, now)) {
        const KnownTarget *known = m_targetTable.target(news.target);
        m_core.log.write(DecisionEvent::TargetLimited,
                         now,
                         {{fieldnames::Target, news.target},
                          {"pool", known == nullptr ? std::string_view() : known->record.pool},
                          {"change", labelValue(news.change)},
                          {"per_second", m_targetTable.limits().perSecond(news.target, now)},
                          {"issuer", m_limits.issuerOf(news.target)},
                          {"peer", envelope.sender()},
                          {fieldnames::HeardIncarnation, envelope.incarnation()},
                          {fieldnames::HeardMessage, envelope.sequence()}});
    }
    advanceLimitsSoon();
}

void EntryNode::logLimitOfEarlierLifetime(const std::string &target)
{
    const TimePoint now = m_core.loop.now();
    const TargetLimit *limit = m_targetTable.limits().newest(target);
    if (limit != nullptr && !limit->perSecond && limit->at == now) {
        m_core.log.write(DecisionEvent::TargetLimited,
                         now,
                         {{fieldnames::Target, target},
                          {"pool", m_targetTable.target(target)->record.pool},
                          {"change", labelValue(LimitChange::Ended)},
                          {"outcome", "new_lifetime"},
                          {"born_ms", limit->bornMs},
                          {fieldnames::Message, m_peers.nextSequence()}});
    }
}

// All that this turn of the event loop brings is told at once.
void EntryNode::advanceLimitsSoon()
{
    if (!m_limitsPending) {
        m_limitsPending = true;
        m_core.loop.defer([this] {
            m_limitsPending = false;
            advanceLimits();
        });
    }
}

void EntryNode::advanceLimits()
{
    const TimePoint now = m_core.loop.now();
    const std::vector<PermitDemand> demands = m_gateway.queue().permitDemands();
    for (const LimitExchange::Outgoing &outgoing : m_limits.advance(m_allowances.members(), demands, now)) {
        sendLimits(outgoing);
    }
    m_gateway.permitsArrived(m_limits.takeGranted());
    m_core.loop.cancel(m_limitsTimer);
    m_limitsTimer = 0;
    if (const std::optional<TimePoint> due = m_limits.due()) {
        m_limitsTimer = m_core.loop.at(std::max(*due, now + LeastLimitsInterval), [this] {
            m_limitsTimer = 0;
            advanceLimits();
        });
    }
}

void EntryNode::sendLimits(const LimitExchange::Outgoing &outgoing)
{
    const Endpoint receiver{parseIp(outgoing.receiver).value_or(0), m_core.settings.firstPeerPort};
    LimitReport rest = outgoing.report;
    while (!rest.empty()) {
        LimitReport part = std::exchange(rest, {});
        if (part.notices.size() > NoticesPerDatagram) {
            const auto split = part.notices.begin() + static_cast<std::ptrdiff_t>(NoticesPerDatagram);
            rest.notices.assign(split, part.notices.end());
            part.notices.erase(split, part.notices.end());
        }
        wire::Envelope envelope;
        writeLimits(part, m_core.loop.now(), *envelope.mutable_limits());
        m_core.metrics.countPeerMessages(PeerMessageKind::Limits, 1, m_peers.send(receiver, envelope));
    }
}

} // namespace celeryroute
