#pragma once

#include <celeryroute/time.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace celeryroute {

/// Longest key of a record.
inline constexpr std::size_t MaxKeyBytes = 255;

/// Topics of the store that this system reads and writes.
enum class FeedTopic {
    Desired, ///< The operators' desired state.
    Targets, ///< The registry of targets.
    Fences, ///< One record per start of an agent; its offset is the agent's fencing token.
    Versions, ///< Software versions that have served in each pool; see VersionRecord.
    Eras, ///< The newest era of the store that is settled; see EraRecord.
};

/// Reads one page of the newest records of all keys.
struct ReadNewest {
    FeedTopic topic = FeedTopic::Desired;
    std::string after; ///< Last key of the previous page; empty for the first page.
    bool operator==(const ReadNewest &) const = default;
};

/// Reads the records from an offset on. Without any, the store holds the read (long poll).
struct ReadFrom {
    FeedTopic topic = FeedTopic::Desired;
    std::uint64_t offset = 0;
    Duration wait{}; ///< Longest time that the store holds the read.
    bool operator==(const ReadFrom &) const = default;
};

/// Appends one record.
struct AppendRecord {
    FeedTopic topic = FeedTopic::Fences;
    std::string value;
    std::string key{}; ///< Of a keyed topic; at most MaxKeyBytes. With an empty value the key is deleted.
    bool operator==(const AppendRecord &) const = default;
};

using FeedCall = std::variant<ReadNewest, ReadFrom, AppendRecord>;

/// A record with a key. An empty value is a tombstone that deletes the key.
struct FeedRecord {
    std::string key;
    std::string value;
    std::uint64_t offset = 0;
    bool operator==(const FeedRecord &) const = default;
};

/// Answer to ReadNewest.
struct NewestPage {
    std::vector<FeedRecord> records;
    bool more = false; ///< Whether further pages follow.
    std::uint64_t end = 0; ///< Offset after the newest record of the topic.
    bool operator==(const NewestPage &) const = default;
};

/// Answer to ReadFrom.
struct RecordPage {
    std::vector<FeedRecord> records; ///< In offset order, without gaps.
    std::uint64_t end = 0; ///< Offset after the newest record of the topic.
    bool operator==(const RecordPage &) const = default;
};

/// The requested records are no longer retained by the store.
struct RecordsExpired {
    bool operator==(const RecordsExpired &) const = default;
};

/// Answer to AppendRecord.
struct RecordAppended {
    std::uint64_t offset = 0;
    bool operator==(const RecordAppended &) const = default;
};

/// The store failed to answer the call.
struct FeedUnavailable {
    int status = 0; ///< HTTP status, or 0 if there was no answer.
    bool operator==(const FeedUnavailable &) const = default;
};

using FeedAnswer = std::variant<NewestPage, RecordPage, RecordsExpired, RecordAppended, FeedUnavailable>;

} // namespace celeryroute
