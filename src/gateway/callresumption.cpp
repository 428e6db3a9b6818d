#include <celeryroute/detail/gateway/call.h>

#include <celeryroute/detail/gateway/gateway.h>
#include <celeryroute/detail/gateway/httpstatus.h>
#include <celeryroute/detail/telemetry/reasonnames.h>

#include <algorithm>

namespace celeryroute {

// Targets of several software versions may serve a pool. Events of two versions don't fit together, and targets don't
// check which version began a stream.

namespace {

constexpr Duration UnknownRetryAfter = std::chrono::milliseconds(200);
/// An answer lasts for the timeout of its route at most, and its caller may notice late that it has broken off.
constexpr int TimeoutsPerStream = 2;

/// Time within which a stream of @p route that is taken up now can have got its last events.
Duration streamLifetime(const ServingRoute &route)
{
    return route.timeout == Duration::zero() ? StreamOrigins::Retention
                                             : std::min(StreamOrigins::Retention, route.timeout * TimeoutsPerStream);
}

} // namespace

bool Call::takesUpStream() const
{
    return m_route->kind == CallKind::Stream && !(m_fields.lastEventId.empty() && m_fields.resumes.empty());
}

bool Call::pinSoftwareVersion()
{
    if (!takesUpStream()) {
        return true;
    }
    std::vector<std::string> pools;
    for (const PoolWeight &pool : m_route->pools) {
        pools.push_back(pool.pool);
    }
    const std::string &name = m_fields.resumes.empty() ? m_fields.requestId : m_fields.resumes;
    const auto stream = name.empty() ? std::nullopt : std::optional(streamDigest(m_customerName, name));
    const Resumption resumption = m_gateway.streamOrigins().resume(
        stream,
        pools,
        m_pool,
        m_gateway.targetTable().versions(),
        m_gateway.earlierVersions(m_pool, streamLifetime(*m_route)),
        m_gateway.loop().now());
    return std::visit([this](const auto &result) { return pin(result); }, resumption);
}

bool Call::pin(const ContinueStream &resumption)
{
    m_pool = resumption.origin.pool;
    m_pinnedVersion = resumption.origin.softwareVersion;
    m_gateway.metrics().countResumption(resumption.evidence);
    m_gateway.log().write(DecisionEvent::RequestPinned,
                          m_gateway.loop().now(),
                          m_fields.requestId,
                          {{"resumes", m_fields.resumes},
                           {"pool", m_pool},
                           {"software", *m_pinnedVersion},
                           {fieldnames::Reason, resumption.evidence},
                           {"last_event", m_fields.lastEventId}});
    return true;
}

bool Call::pin(const NoVersionServes &)
{
    return true; // Without targets the call is refused anyway.
}

bool Call::pin(const BeginAnew &)
{
    m_gateway.metrics().countResumption("none");
    refuse(HttpStatus::ServiceUnavailable, reasons::StreamUnknown, UnknownRetryAfter);
    return false;
}

// Callers name the request that brought the first event, which may not be the last one.
void Call::noteStreamOrigin()
{
    if (!m_route->resumable) {
        return;
    }
    const TimePoint now = m_gateway.loop().now();
    const StreamOrigin origin{m_pool, *m_softwareVersion};
    m_gateway.streamOrigins().note(streamDigest(m_customerName, m_fields.requestId), origin, now);
    if (m_pinnedVersion && !m_fields.resumes.empty()) {
        m_gateway.streamOrigins().note(streamDigest(m_customerName, m_fields.resumes), origin, now);
    }
}

// While only the pinned version serves, the call may also wait until a target has loaded its model.
std::optional<std::string> Call::requiredSoftwareVersion() const
{
    if (m_softwareVersion || !m_pinnedVersion) {
        return m_softwareVersion;
    }
    const auto serving = m_gateway.targetTable().versions().versions(m_pool, m_gateway.loop().now());
    const bool alone = std::all_of(serving.begin(), serving.end(), [this](const std::string &version) {
        return version == *m_pinnedVersion;
    });
    return alone ? std::nullopt : m_pinnedVersion;
}

bool Call::hasPinnedVersionLeft() const
{
    const auto serving = m_gateway.targetTable().versions().versions(m_pool, m_gateway.loop().now());
    return !m_pinnedVersion || std::find(serving.begin(), serving.end(), *m_pinnedVersion) != serving.end();
}

} // namespace celeryroute
