#include <celeryroute/detail/node/streammessages.h>

#include <serving.pb.h>

#include <algorithm>

namespace celeryroute {

namespace {

std::uint32_t ageInMs(Duration age)
{
    constexpr Duration LongestAge = std::chrono::hours(24);
    return static_cast<std::uint32_t>(toMilliseconds(std::clamp(age, Duration::zero(), LongestAge)));
}

} // namespace

void writeStreams(const StreamReport &report, TimePoint now, wire::EntryStreams &streams)
{
    for (const VersionSighting &sighting : report.versions) {
        wire::EntryStreams::Version &out = *streams.add_versions();
        out.set_pool(sighting.pool);
        out.set_version(sighting.version);
        out.set_age_ms(ageInMs(now - sighting.lastSeen));
    }
    for (const StreamRecord &record : report.streams) {
        wire::EntryStreams::Stream &out = *streams.add_streams();
        out.set_stream(record.stream);
        out.set_pool(record.origin.pool);
        out.set_version(record.origin.softwareVersion);
        out.set_age_ms(ageInMs(now - record.noted));
    }
}

StreamReport readStreams(const wire::EntryStreams &streams, TimePoint now)
{
    StreamReport report;
    for (const wire::EntryStreams::Version &version : streams.versions()) {
        report.versions.push_back(
            {version.pool(), version.version(), now - std::chrono::milliseconds(version.age_ms())});
    }
    for (const wire::EntryStreams::Stream &stream : streams.streams()) {
        report.streams.push_back(
            {stream.stream(), {stream.pool(), stream.version()}, now - std::chrono::milliseconds(stream.age_ms())});
    }
    return report;
}

} // namespace celeryroute
