#include <celeryroute/detail/node/entrynode.h>

#include <celeryroute/detail/node/streammessages.h>

#include <serving.pb.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr Duration StreamsInterval = std::chrono::milliseconds(50); ///< While several software versions serve.
constexpr Duration VersionsCheck = std::chrono::seconds(1); ///< While they don't.
constexpr std::size_t StreamsPerDatagram = 32;
/// Time in which the other entries tell a process that has started which versions served before.
constexpr Duration FirstReports = std::chrono::seconds(3);
constexpr Duration MaxRegistryAge = std::chrono::seconds(15); ///< Longer than the store holds a read.

} // namespace

void EntryNode::handleStreams(const wire::Envelope &envelope)
{
    m_gateway.streamOrigins().receive(readStreams(envelope.streams(), m_core.loop.now()),
                                      envelope.sender(),
                                      envelope.incarnation(),
                                      m_targetTable.versions());
}

void EntryNode::scheduleStreams()
{
    const TimePoint now = m_core.loop.now();
    const bool mixed = !m_targetTable.versions().mixedPools(now - StreamOrigins::Retention, now).empty();
    const TimePoint due = now + (mixed ? StreamsInterval : VersionsCheck);
    if (m_streamsTimer != 0 && m_streamsAt <= due) {
        return;
    }
    m_core.loop.cancel(m_streamsTimer);
    m_streamsAt = due;
    m_streamsTimer = m_core.loop.at(due, [this] {
        m_streamsTimer = 0;
        sendStreams();
    });
}

void EntryNode::sendStreams()
{
    const TimePoint now = m_core.loop.now();
    StreamReport report = m_gateway.streamOrigins().takeReport(m_targetTable.versions(), now);
    const std::vector<std::string> entries(m_entries.begin(), m_entries.end());
    while (!report.versions.empty()) {
        StreamReport part{report.versions, {}};
        const auto end = report.streams.end();
        const auto begin = end - static_cast<std::ptrdiff_t>(std::min(report.streams.size(), StreamsPerDatagram));
        part.streams.assign(begin, end);
        report.streams.erase(begin, end);
        wire::Envelope envelope;
        writeStreams(part, now, *envelope.mutable_streams());
        m_peers.sendToAll(entries, m_core.settings.firstPeerPort, envelope);
        if (report.streams.empty()) {
            break;
        }
    }
    scheduleStreams();
}

// An entry that reads the registry sees each version that serves. One that doesn't is told by the entries that do.
// If it hears no other entry, it may be cut off from the store too before its newest read is old.
std::optional<std::vector<std::string>> EntryNode::earlierVersions(const std::string &pool, Duration lifetime) const
{
    const TimePoint now = m_core.loop.now();
    const auto confirmed = m_targetTable.recordsConfirmed();
    const bool isRegistryFresh = confirmed && now - *confirmed <= MaxRegistryAge;
    const EntryMembership &members = m_allowances.members();
    const bool wasSuspended = now > members.advanceDue();
    const bool hearsAll = !wasSuspended && members.usableFraction() >= 1 && !members.awaitsDiscovery(now);
    const bool hearsSome = members.memberCount() <= 2 || !members.connectedPeers().empty();
    const bool seesAll = now - m_core.started >= FirstReports && ((isRegistryFresh && hearsSome) || hearsAll);
    return seesAll ? m_versionRecord.earlier(pool, lifetime, now) : std::nullopt;
}

} // namespace celeryroute
