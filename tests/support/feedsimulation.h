#pragma once

#include <celeryroute/detail/feed/desiredstatefeed.h>
#include <celeryroute/detail/feed/storeera.h>
#include <celeryroute/detail/feed/targetsfeed.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace celeryroute {

/// A topic of the store with all records; those before `first` have expired.
struct Topic {
    std::vector<FeedRecord> records;
    std::uint64_t first = 0;
    std::uint64_t era = 1;

    void write(const std::string &key, const std::string &value)
    {
        records.push_back({key, value, records.size()});
    }
    std::map<std::string, FeedRecord> newest() const
    {
        std::map<std::string, FeedRecord> result;
        for (const FeedRecord &record : records) {
            result[record.key] = record;
        }
        std::erase_if(result, [](const auto &entry) { return entry.second.value.empty(); });
        return result;
    }
    /// @brief Replaces the topic by a copy with its first @p count records. What is written later gets their offsets
    /// again.
    void restore(std::size_t count)
    {
        records.resize(std::min(count, records.size()));
        first = std::min<std::uint64_t>(first, records.size());
        ++era;
    }
    FeedAnswer read(const FeedCall &call, std::size_t pageSize) const
    {
        if (const ReadNewest *listing = std::get_if<ReadNewest>(&call)) {
            NewestPage page{{}, false, records.size()};
            for (const auto &[key, record] : newest()) {
                if (key > listing->after && !(page.more = page.records.size() == pageSize)) {
                    page.records.push_back(record);
                }
            }
            return page;
        }
        const std::uint64_t from = std::get<ReadFrom>(call).offset;
        if (from < first || from > records.size()) {
            return RecordsExpired{};
        }
        const std::size_t end = std::min(records.size(), static_cast<std::size_t>(from) + pageSize);
        return RecordPage{
            {records.begin() + static_cast<std::ptrdiff_t>(from), records.begin() + static_cast<std::ptrdiff_t>(end)},
            records.size()};
    }
};

/// Performs the steps of a follower against a topic in simulated time, with faults.
template <typename Follower>
struct Driver {
    Follower &follower;
    Topic &topic;
    std::size_t pageSize = 3;
    Duration latency = std::chrono::milliseconds(4);
    bool down = false; ///< Calls are answered with an error.
    double lost = 0; ///< Fraction of answers that are lost.
    std::mt19937_64 random{1};
    int calls = 0;
    std::optional<BeginCall> pendingCall{};
    TimePoint began{};
    bool silent = false;
    std::optional<FeedAnswer> inFlight{};
    std::uint64_t inFlightEra = 0; ///< Era that the answer in flight shows.
    StoreEra era{};
    TimePoint arrival{};

    /// @brief Whether the store should answer the pending call now.
    bool due(TimePoint now) const
    {
        const ReadFrom *read = std::get_if<ReadFrom>(&pendingCall->call);
        return !read || read->offset != topic.records.size() || now - began >= read->wait;
    }
    template <typename OnAnswer>
    void step(TimePoint now, OnAnswer onAnswer)
    {
        if (pendingCall && inFlight && now >= arrival) {
            pendingCall.reset();
            const FeedAnswer answer = *std::exchange(inFlight, std::nullopt);
            const StoreEra::Change change = era.note(inFlightEra);
            if (change == StoreEra::Change::Older) {
                follower.timedOut(now);
            } else {
                if (change == StoreEra::Change::Newer) {
                    follower.beginEra(now);
                }
                onAnswer(answer, began);
            }
        } else if (pendingCall && now - began >= pendingCall->timeout) {
            pendingCall.reset();
            inFlight.reset();
            follower.timedOut(now);
        }
        if (!pendingCall) {
            const FeedStep step = follower.next(now);
            if (const BeginCall *call = std::get_if<BeginCall>(&step)) {
                pendingCall = *call;
                began = now;
                ++calls;
                silent = std::uniform_real_distribution<double>()(random) < lost;
            }
        }
        if (pendingCall && !inFlight && !silent && (down || due(now))) {
            inFlight = down ? FeedAnswer(FeedUnavailable{503}) : topic.read(pendingCall->call, pageSize);
            inFlightEra = topic.era;
            arrival = now + latency;
        }
    }
};

inline std::optional<ServingState> readVersion(const std::string &text)
{
    if (text == "?") {
        return std::nullopt;
    }
    ServingState state;
    state.version = std::stoull(text);
    return state;
}

inline std::optional<TargetRecord> readTarget(const std::string &id, const std::string &text)
{
    if (text == "?") {
        return std::nullopt;
    }
    TargetRecord record;
    record.id = id;
    record.address = text;
    record.draining = text == "draining";
    return record;
}

} // namespace celeryroute
