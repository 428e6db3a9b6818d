#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace celeryroute {

/// Topics of the store that the product reads and writes.
enum class FeedTopic {
    Desired, ///< The operators' desired state.
    Targets, ///< The registry of targets.
    Fences, ///< One record per start of an agent; its offset is the agent's fence.
};

/// Reads the newest record of each key, one page.
struct ReadNewest {
    FeedTopic topic = FeedTopic::Desired;
    std::string after; ///< Key of the page before; empty for the first page.
    bool operator==(const ReadNewest &) const = default;
};

/// Reads the records from an offset on; held by the store until there are any.
struct ReadFrom {
    FeedTopic topic = FeedTopic::Desired;
    std::uint64_t offset = 0;
    Duration wait{};
    bool operator==(const ReadFrom &) const = default;
};

/// Appends one record.
struct AppendRecord {
    FeedTopic topic = FeedTopic::Fences;
    std::string value;
    bool operator==(const AppendRecord &) const = default;
};

using FeedCall = std::variant<ReadNewest, ReadFrom, AppendRecord>;

/// A record with a key; an empty value drops the key.
struct FeedRecord {
    std::string key;
    std::string value;
    std::uint64_t offset = 0;
    bool operator==(const FeedRecord &) const = default;
};

/// Answer of ReadNewest.
struct NewestPage {
    std::vector<FeedRecord> records;
    bool more = false;
    std::uint64_t end = 0; ///< Offset behind the newest record.
    bool operator==(const NewestPage &) const = default;
};

/// Answer of ReadFrom.
struct RecordPage {
    std::vector<FeedRecord> records; ///< In offset order, without gaps.
    std::uint64_t end = 0;
    bool operator==(const RecordPage &) const = default;
};

/// The records that were asked for have expired.
struct RecordsExpired {
    bool operator==(const RecordsExpired &) const = default;
};

/// Answer of AppendRecord.
struct RecordAppended {
    std::uint64_t offset = 0;
    bool operator==(const RecordAppended &) const = default;
};

/// The store did not serve the call.
struct FeedUnavailable {
    int status = 0; ///< HTTP status; 0 without an answer.
    bool operator==(const FeedUnavailable &) const = default;
};

using FeedAnswer = std::variant<NewestPage, RecordPage, RecordsExpired, RecordAppended, FeedUnavailable>;

} // namespace celeryroute
