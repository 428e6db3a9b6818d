#include <celeryroute/detail/gateway/streamorigins.h>

#include <celeryroute/detail/base/digest.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr std::uint32_t Transmissions = 3; ///< Of each stream, because datagrams may be lost.
constexpr std::size_t MaxOrigins = 256;
constexpr std::size_t MaxAnnouncedAgain = 1'024; ///< Streams that a process that has started is told.
constexpr std::size_t MaxPeers = 1'024;
constexpr Duration VersionsInterval = std::chrono::seconds(1);

} // namespace

std::uint64_t streamDigest(std::string_view customer, std::string_view requestId)
{
    return stableHash(std::string(customer) + '\n' + std::string(requestId));
}

void StreamOrigins::note(std::uint64_t stream, const StreamOrigin &origin, TimePoint now)
{
    expire(now);
    add(stream, origin, now);
    announce(stream);
}

Resumption StreamOrigins::resume(std::optional<std::uint64_t> stream,
                                 const std::vector<std::string> &pools,
                                 const std::string &pool,
                                 const PoolVersions &versions,
                                 const std::optional<std::vector<std::string>> &earlier,
                                 TimePoint now) const
{
    const auto known = stream ? m_streams.find(*stream) : m_streams.end();
    if (known != m_streams.end() && now - known->second.noted <= Retention) {
        if (!known->second.origin) {
            return BeginAnew{};
        }
        const StreamOrigin &origin = m_origins[*known->second.origin];
        if (std::find(pools.begin(), pools.end(), origin.pool) != pools.end()) {
            return ContinueStream{origin, "record"};
        }
    }
    const std::vector<std::string> served = versions.versions(pool, now - Retention);
    if (served.empty()) {
        return NoVersionServes{};
    }
    const bool servedAlone = served.size() == 1 && earlier
        && std::all_of(earlier->begin(), earlier->end(), [&served](const std::string &version) {
                                 return version == served.front();
                             });
    if (!servedAlone) {
        return BeginAnew{};
    }
    return ContinueStream{{pool, served.front()}, "only_version"};
}

StreamReport StreamOrigins::takeReport(const PoolVersions &versions, TimePoint now)
{
    expire(now);
    StreamReport report;
    std::vector<VersionSighting> mixed = versions.mixedPools(now - Retention, now);
    if (mixed.empty()) {
        return report;
    }
    for (std::size_t left = std::min(m_untold.size(), StreamsPerReport); left > 0; --left) {
        const std::uint64_t digest = m_untold.front();
        m_untold.pop_front();
        const auto known = m_streams.find(digest);
        if (known == m_streams.end() || !known->second.origin) {
            continue;
        }
        const StreamOrigin &origin = m_origins[*known->second.origin];
        report.streams.push_back({digest, origin, known->second.noted});
        if (++known->second.transmissions < Transmissions) {
            m_untold.push_back(digest);
        }
    }
    if (!report.streams.empty() || !m_versionsTold || now - *m_versionsTold >= VersionsInterval) {
        m_versionsTold = now;
        report.versions = std::move(mixed);
    }
    return report;
}

void StreamOrigins::receive(const StreamReport &report,
                            const std::string &sender,
                            std::uint64_t incarnation,
                            PoolVersions &versions)
{
    for (const VersionSighting &sighting : report.versions) {
        versions.merge(sighting);
    }
    for (const StreamRecord &record : report.streams) {
        add(record.stream, record.origin, record.noted);
    }
    const auto known = m_incarnations.find(sender);
    if (known != m_incarnations.end() ? known->second < incarnation : m_incarnations.size() < MaxPeers) {
        m_incarnations[sender] = incarnation;
        announceNewest();
    }
}

std::optional<std::uint32_t> StreamOrigins::originIndex(const StreamOrigin &origin)
{
    auto known = std::find(m_origins.begin(), m_origins.end(), origin);
    if (known == m_origins.end() && m_origins.size() == MaxOrigins) {
        removeUnusedOrigins();
        if (m_origins.size() == MaxOrigins) {
            return std::nullopt;
        }
        known = m_origins.end();
    }
    const auto index = static_cast<std::uint32_t>(known - m_origins.begin());
    if (known == m_origins.end()) {
        m_origins.push_back(origin);
    }
    return index;
}

void StreamOrigins::removeUnusedOrigins()
{
    std::vector<StreamOrigin> used;
    std::map<std::uint32_t, std::uint32_t> indexes;
    for (auto &[digest, stream] : m_streams) {
        if (stream.origin) {
            const auto [index, isNew] = indexes.try_emplace(*stream.origin, static_cast<std::uint32_t>(used.size()));
            if (isNew) {
                used.push_back(m_origins[*stream.origin]);
            }
            stream.origin = index->second;
        }
    }
    m_origins = std::move(used);
}

void StreamOrigins::add(std::uint64_t stream, const StreamOrigin &origin, TimePoint noted)
{
    const std::optional<std::uint32_t> index = originIndex(origin);
    const auto [known, isNew] = m_streams.try_emplace(stream, Stream{index, noted});
    if (!isNew) {
        // A caller that uses one id for two streams leaves open which of them it takes up.
        known->second.origin = known->second.origin == index ? index : std::nullopt;
        if (noted <= known->second.noted) {
            return;
        }
        known->second.noted = noted;
    }
    m_byAge.emplace_back(noted, stream);
    while (m_streams.size() > MaxStreams || m_byAge.size() > 2 * MaxStreams) {
        const auto [oldestNoted, oldest] = m_byAge.front();
        m_byAge.pop_front();
        const auto found = m_streams.find(oldest);
        if (found != m_streams.end() && found->second.noted <= oldestNoted) {
            m_streams.erase(found);
        }
    }
}

void StreamOrigins::announce(std::uint64_t stream)
{
    const auto known = m_streams.find(stream);
    if (known == m_streams.end()) {
        return;
    }
    known->second.transmissions = 0;
    m_untold.push_back(stream);
    if (m_untold.size() > MaxStreams) {
        m_untold.pop_front();
    }
}

// A process that has started knows no streams.
void StreamOrigins::announceNewest()
{
    const std::size_t count = std::min(m_byAge.size(), MaxAnnouncedAgain);
    for (std::size_t i = m_byAge.size() - count; i < m_byAge.size(); ++i) {
        announce(m_byAge[i].second);
    }
}

void StreamOrigins::expire(TimePoint now)
{
    while (!m_byAge.empty() && now - m_byAge.front().first > Retention) {
        const auto known = m_streams.find(m_byAge.front().second);
        if (known != m_streams.end() && now - known->second.noted > Retention) {
            m_streams.erase(known);
        }
        m_byAge.pop_front();
    }
}

} // namespace celeryroute
