#pragma once

#include <celeryroute/time.h>

#include <records.pb.h>

#include <optional>
#include <vector>

namespace celeryroute {

/// @brief Groups claim items into batches because the log accepts only a few hundred records per second.
class ClaimBatcher
{
public:
    /// Time that the first item of a batch waits for further items.
    static constexpr Duration MaxBatchDelay = std::chrono::milliseconds(2);
    /// Minimum time between two batches of one entry.
    static constexpr Duration MinBatchInterval = std::chrono::milliseconds(10);
    static constexpr int MaxItems = 256;
    static constexpr std::size_t MaxBytes = 512ULL * 1024;

    void add(proto::ClaimItem item, TimePoint now);
    /// @brief Returns the next batch if one is due.
    std::optional<proto::ClaimBatch> take(TimePoint now);
    /// @brief Time at which take() returns the next batch; nullopt if no item is queued.
    std::optional<TimePoint> nextDue() const;
    std::size_t itemCount() const
    {
        return m_items.size();
    }

private:
    std::vector<proto::ClaimItem> m_items;
    TimePoint m_firstAddedAt;
    std::optional<TimePoint> m_lastTakenAt;
};

} // namespace celeryroute
