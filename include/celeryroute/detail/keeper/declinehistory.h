#pragma once

#include <celeryroute/detail/keeper/declinenotice.h>
#include <celeryroute/detail/keeper/waitingmodels.h>

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace celeryroute {

/// @brief Records which items an agent declines, and selects what is worth a log line.
///
/// Items are often declined, wanted by nobody for an instant, and declined again. Only the first time, a change of
/// the reason, and the first time after a longer pause are reported.
class DeclineHistory
{
public:
    static constexpr Duration MinNoticeInterval = std::chrono::seconds(1); ///< Between two notices about one item.
    static constexpr Duration NewNoticeAfter = std::chrono::seconds(10); ///< Pause after which a decline is reported.
    static constexpr Duration MaxInterruption = std::chrono::seconds(1); ///< A longer pause starts a new wait.
    static constexpr std::size_t MaxItems = 256; ///< Number of items that are remembered when they are not declined.

    /// @brief Notes all items that are declined at @p now, and returns those to report.
    std::vector<DeclineNotice> update(const std::vector<DeclinedItem> &declined, TimePoint now);

    /// @brief The distinct models that are declined for @p reason at @p now.
    WaitingModels waitingModels(std::string_view reason, TimePoint now) const;

private:
    struct Record {
        std::string_view reason;
        std::string_view reportedReason;
        TimePoint since; ///< Start of the wait for this reason.
        TimePoint lastDeclined;
        TimePoint reportedAt = TimePoint::min();
        std::uint64_t unreported = 0;
        bool present = false;
    };

    static void noteDeclined(Record &record, std::string_view reason, TimePoint now);
    static bool isNoticeDue(const Record &record, TimePoint now);
    void markAbsent(const std::vector<DeclinedItem> &declined);
    void removeOldest();

    std::unordered_map<std::string, Record> m_records;
};

} // namespace celeryroute
