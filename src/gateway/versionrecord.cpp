#include <celeryroute/detail/gateway/versionrecord.h>

#include <algorithm>
#include <utility>

namespace celeryroute {

namespace {

constexpr Duration CheckInterval = std::chrono::seconds(1); ///< Between checks for versions to add or to remove.
constexpr char KeySeparator = '\n';
const std::string Present = "1";

// A version that is cut equals no registered one, so that streams of it begin anew.
std::string keyOf(const std::string &pool, const std::string &version)
{
    return (pool + KeySeparator + version).substr(0, MaxKeyBytes);
}

std::pair<std::string, std::string> splitKey(const std::string &key)
{
    const std::size_t separator = key.find(KeySeparator);
    return separator == std::string::npos ? std::pair(key, std::string())
                                          : std::pair(key.substr(0, separator), key.substr(separator + 1));
}

} // namespace

VersionRecord::VersionRecord(const TopicFollowerSettings &settings,
                             std::uint64_t seed,
                             const PoolVersions &versions,
                             Duration retention,
                             IsWriter isWriter)
    : m_versions(versions)
    , m_retention(retention)
    , m_isWriter(std::move(isWriter))
    , m_timeout(settings.minAnswerTimeout, settings.maxAnswerTimeout)
    , m_backoff(settings.minBackoff, settings.maxBackoff, seed)
{}

void VersionRecord::usePools(std::set<std::string> pools)
{
    m_pools = std::move(pools);
    versionsChanged();
}

void VersionRecord::versionsChanged()
{
    if (m_backoff.failures() == 0) {
        m_notBefore = TimePoint::min();
    }
}

void VersionRecord::registryKnown(TimePoint began)
{
    if (!m_registryKnown) {
        m_registryKnown = began;
    }
}

void VersionRecord::registryUnknown()
{
    if (m_registryKnown) {
        m_registryKnown.reset();
        beginRead();
    }
}

void VersionRecord::beginEra(TimePoint now)
{
    m_notBefore = std::min(m_notBefore, now);
    registryUnknown();
    beginRead();
}

FeedStep VersionRecord::next(TimePoint now)
{
    if (m_pendingCall) {
        return AwaitAnswer{};
    }
    if (now < m_notBefore) {
        return WaitUntil{m_notBefore};
    }
    if (m_after) {
        m_pendingCall = ReadNewest{FeedTopic::Versions, *m_after};
    } else if (std::optional<AppendRecord> write = nextWrite(now)) {
        m_pendingCall = *std::move(write);
    } else {
        m_notBefore = now + CheckInterval;
        return WaitUntil{m_notBefore};
    }
    return BeginCall{*m_pendingCall, m_timeout.timeout()};
}

std::vector<VersionRecordEvent> VersionRecord::answered(const FeedAnswer &answer, TimePoint callBegan, TimePoint now)
{
    if (!m_pendingCall) {
        return {};
    }
    const FeedCall call = *std::exchange(m_pendingCall, std::nullopt);
    const auto *page = std::get_if<NewestPage>(&answer);
    const auto *read = std::get_if<ReadNewest>(&call);
    if (page != nullptr && read != nullptr) {
        m_timeout.answeredAfter(now - callBegan);
        return process(*page, read->after, now);
    }
    const auto *appended = std::get_if<RecordAppended>(&answer);
    const auto *append = std::get_if<AppendRecord>(&call);
    if (appended != nullptr && append != nullptr) {
        m_timeout.answeredAfter(now - callBegan);
        m_backoff.succeeded();
        return {process(*append, *appended)};
    }
    fail(now);
    return {};
}

void VersionRecord::timedOut(TimePoint now)
{
    if (m_pendingCall) {
        m_pendingCall.reset();
        m_timeout.timedOut();
        fail(now);
    }
}

std::optional<std::vector<std::string>>
VersionRecord::earlier(const std::string &pool, Duration lifetime, TimePoint now) const
{
    if (m_registryKnown && now - *m_registryKnown >= lifetime) {
        return std::vector<std::string>();
    }
    const auto known = m_earlier.find(pool);
    if (!m_registryKnown || m_after) {
        return std::nullopt;
    }
    if (known == m_earlier.end()) {
        // Nothing shows that the pool was observed before, unless no process has ever served.
        return m_isFirstStart ? std::optional(std::vector<std::string>()) : std::nullopt;
    }
    return known->second;
}

std::optional<AppendRecord> VersionRecord::nextWrite(TimePoint now) const
{
    for (const std::string &pool : m_pools) {
        for (const std::string &version : m_versions.versions(pool, now)) {
            const std::string key = keyOf(pool, version);
            if (!m_recorded.contains(key) && m_isWriter(key)) {
                return AppendRecord{FeedTopic::Versions, Present, key};
            }
        }
    }
    if (!m_registryKnown || now - *m_registryKnown < m_retention) {
        return std::nullopt;
    }
    for (const std::string &key : m_recorded) {
        const std::vector<std::string> versions = m_versions.versions(splitKey(key).first, now - m_retention);
        const bool served = std::any_of(versions.begin(), versions.end(), [&key](const std::string &version) {
            return keyOf(splitKey(key).first, version) == key;
        });
        if (!served && m_isWriter(key)) {
            return AppendRecord{FeedTopic::Versions, std::string(), key};
        }
    }
    return std::nullopt;
}

std::vector<VersionRecordEvent> VersionRecord::process(const NewestPage &page, const std::string &after, TimePoint now)
{
    const std::string last = page.records.empty() ? std::string() : page.records.back().key;
    if (page.more && (last.empty() || last == after)) {
        // A page that doesn't advance would be requested forever.
        beginRead();
        fail(now);
        return {};
    }
    m_backoff.succeeded();
    for (const FeedRecord &record : page.records) {
        if (!record.value.empty()) {
            m_read.insert(record.key);
        }
    }
    if (page.more) {
        m_after = last;
        return {};
    }
    m_after.reset();
    m_isFirstStart = page.end == 0;
    m_recorded = std::exchange(m_read, {});
    m_earlier.clear();
    for (const std::string &key : m_recorded) {
        auto [pool, version] = splitKey(key);
        m_earlier[std::move(pool)].push_back(std::move(version));
    }
    return {VersionsRead{m_earlier.size(), m_recorded.size(), page.end}};
}

VersionRecorded VersionRecord::process(const AppendRecord &append, const RecordAppended &appended)
{
    const bool removed = append.value.empty();
    if (removed) {
        m_recorded.erase(append.key);
    } else {
        m_recorded.insert(append.key);
    }
    auto [pool, version] = splitKey(append.key);
    return {std::move(pool), std::move(version), removed, appended.offset};
}

void VersionRecord::beginRead()
{
    m_pendingCall.reset();
    m_after = std::string();
    m_read.clear();
}

void VersionRecord::fail(TimePoint now)
{
    m_notBefore = now + m_backoff.failed();
}

} // namespace celeryroute
