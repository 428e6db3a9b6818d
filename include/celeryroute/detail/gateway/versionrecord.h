#pragma once

#include <celeryroute/detail/feed/answertimeout.h>
#include <celeryroute/detail/feed/exponentialbackoff.h>
#include <celeryroute/detail/feed/feedcalls.h>
#include <celeryroute/detail/feed/feedstep.h>
#include <celeryroute/detail/feed/topicfollowersettings.h>
#include <celeryroute/detail/placement/poolversions.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace celeryroute {

/// The versions that were recorded before this process began to observe the registry have been read.
struct VersionsRead {
    std::size_t pools = 0;
    std::size_t versions = 0;
    std::uint64_t end = 0; ///< Offset after the newest record.
    bool operator==(const VersionsRead &) const = default;
};

/// A version was added to the record or removed from it.
struct VersionRecorded {
    std::string pool;
    std::string version;
    bool removed = false;
    std::uint64_t offset = 0;
    bool operator==(const VersionRecorded &) const = default;
};

using VersionRecordEvent = std::variant<VersionsRead, VersionRecorded>;

/// @brief Record in the store of the software versions that serve in pools with resumable streams.
///
/// A process that starts reads there which versions served before, also those of targets that have left since. Does no
/// I/O and has the interface of a TopicFollower: its driver asks next() for the next step and reports its outcome.
class VersionRecord
{
public:
    /// @brief Whether this process is one of those that write the record with this key.
    using IsWriter = std::function<bool(const std::string &key)>;

    /// @param versions versions in the registry; must outlive this object
    /// @param retention time after which a version that no target has is removed from the record
    VersionRecord(const TopicFollowerSettings &settings,
                  std::uint64_t seed,
                  const PoolVersions &versions,
                  Duration retention,
                  IsWriter isWriter);

    /// @brief Sets the pools that serve resumable streams.
    void usePools(std::set<std::string> pools);
    /// @brief Targets have registered or left.
    void versionsChanged();
    /// @brief The registry is known from now on, and every version that registers later will be noticed.
    /// @param began start of the read; ignored if the registry was known before
    void registryKnown(TimePoint began);
    /// @brief Versions may have registered and left unnoticed. The record is read again.
    void registryUnknown();
    /// @brief The store came back from a copy, so that the record may lack versions. It is read again.
    void beginEra(TimePoint now);

    FeedStep next(TimePoint now);
    std::vector<VersionRecordEvent> answered(const FeedAnswer &answer, TimePoint callBegan, TimePoint now);
    void timedOut(TimePoint now);

    /// @brief Versions that may have served in @p pool within the last @p lifetime and before the registry was known.
    /// @return nullopt if that is not known
    std::optional<std::vector<std::string>> earlier(const std::string &pool, Duration lifetime, TimePoint now) const;

private:
    std::optional<AppendRecord> nextWrite(TimePoint now) const;
    std::vector<VersionRecordEvent> process(const NewestPage &page, const std::string &after, TimePoint now);
    VersionRecorded process(const AppendRecord &append, const RecordAppended &appended);
    void beginRead();
    void fail(TimePoint now);

    const PoolVersions &m_versions;
    Duration m_retention;
    IsWriter m_isWriter;
    AnswerTimeout m_timeout;
    ExponentialBackoff m_backoff;
    std::set<std::string> m_pools;
    std::optional<FeedCall> m_pendingCall;
    TimePoint m_notBefore = TimePoint::min();
    std::optional<std::string> m_after = std::string(); ///< Last key of the previous page; only set during a read.
    std::set<std::string> m_read; ///< Keys of the read in progress.
    std::set<std::string> m_recorded; ///< Keys in the record now.
    std::map<std::string, std::vector<std::string>> m_earlier; ///< Versions by pool, from the last read.
    bool m_isFirstStart = false; ///< The last read showed that no record was ever written.
    std::optional<TimePoint> m_registryKnown;
};

} // namespace celeryroute
