#include <celeryroute/detail/keeper/declinehistory.h>

#include <celeryroute/detail/keeper/itemname.h>

#include <algorithm>
#include <unordered_set>

namespace celeryroute {

std::vector<DeclineNotice> DeclineHistory::update(const std::vector<DeclinedItem> &declined, TimePoint now)
{
    markAbsent(declined);
    std::vector<DeclineNotice> notices;
    for (const DeclinedItem &item : declined) {
        Record &record = m_records[item.item];
        noteDeclined(record, item.reason, now);
        if (isNoticeDue(record, now)) {
            notices.push_back({item, record.unreported});
            record.unreported = 0;
            record.reportedAt = now;
            record.reportedReason = item.reason;
        }
    }
    removeOldest();
    return notices;
}

void DeclineHistory::noteDeclined(Record &record, std::string_view reason, TimePoint now)
{
    const bool sameWait = record.reason == reason && now - record.lastDeclined <= MaxInterruption;
    if (!sameWait) {
        record.since = now;
    }
    if (!record.present || record.reason != reason) {
        ++record.unreported;
    }
    if (!record.present && now - record.lastDeclined >= NewNoticeAfter) {
        record.reportedReason = {};
    }
    record.present = true;
    record.reason = reason;
    record.lastDeclined = now;
}

bool DeclineHistory::isNoticeDue(const Record &record, TimePoint now)
{
    if (record.reason == record.reportedReason) {
        return false;
    }
    return record.reportedAt == TimePoint::min() || now - record.reportedAt >= MinNoticeInterval;
}

void DeclineHistory::markAbsent(const std::vector<DeclinedItem> &declined)
{
    for (auto &entry : m_records) {
        const std::string &name = entry.first;
        const bool found = std::any_of(declined.begin(), declined.end(), [&name](const DeclinedItem &item) {
            return item.item == name;
        });
        entry.second.present = entry.second.present && found;
    }
}

void DeclineHistory::removeOldest()
{
    while (m_records.size() > MaxItems) {
        const auto older = [](const auto &left, const auto &right) {
            return std::pair(left.second.present, left.second.lastDeclined)
                < std::pair(right.second.present, right.second.lastDeclined);
        };
        const auto oldest = std::min_element(m_records.begin(), m_records.end(), older);
        if (oldest->second.present) {
            return;
        }
        m_records.erase(oldest);
    }
}

WaitingModels DeclineHistory::waitingModels(std::string_view reason, TimePoint now) const
{
    WaitingModels result;
    std::unordered_set<std::string> models;
    for (const auto &[name, record] : m_records) {
        if (record.present && record.reason == reason) {
            models.insert(parseItem(name).model);
            result.longestWait = std::max(result.longestWait, now - record.since);
        }
    }
    result.count = models.size();
    return result;
}

} // namespace celeryroute
