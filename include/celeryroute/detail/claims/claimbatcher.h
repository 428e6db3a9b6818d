#pragma once

#include <celeryroute/time.h>

#include <records.pb.h>

#include <optional>
#include <vector>

namespace celeryroute {

/// @brief Groups claim items into few records, since the log takes only some hundred a second.
class ClaimBatcher
{
public:
    /// Time that the first item of a batch waits for others.
    static constexpr Duration GatherTime = std::chrono::milliseconds(2);
    /// Least time between two batches of one entry.
    static constexpr Duration Spacing = std::chrono::milliseconds(10);
    static constexpr int MaxItems = 256;
    static constexpr std::size_t MaxBytes = 512ULL * 1024;

    void add(proto::ClaimItem item, TimePoint now);
    /// @brief The next batch when it is due.
    std::optional<proto::ClaimBatch> take(TimePoint now);
    /// @brief When take() is worth calling again; nothing when no item waits.
    std::optional<TimePoint> due() const;
    std::size_t waiting() const
    {
        return m_items.size();
    }

private:
    std::vector<proto::ClaimItem> m_items;
    TimePoint m_firstAdded;
    std::optional<TimePoint> m_lastTaken;
};

} // namespace celeryroute
