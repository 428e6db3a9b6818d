#include <standins/recordlog.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr Duration MaxAppendWait = std::chrono::seconds(5);
/// Appends that may arrive together without waiting.
constexpr int AppendBurst = 20;

} // namespace

RecordLog::RecordLog(std::size_t retention, double appendsPerSecond)
    : m_retention(retention)
    , m_appendInterval(fromSeconds(1.0 / appendsPerSecond))
{}

Result<TimePoint> RecordLog::reserveAppend(TimePoint now)
{
    const TimePoint earliest = std::max(m_nextAppend, now - AppendBurst * m_appendInterval);
    if (earliest - now > MaxAppendWait) {
        return fail(ResultCode::LogUnavailable, "too many appends wait");
    }
    m_nextAppend = earliest + m_appendInterval;
    return std::max(now, earliest);
}

std::uint64_t RecordLog::append(std::string record)
{
    m_records.push_back(std::move(record));
    if (m_records.size() > m_retention) {
        m_records.pop_front();
        ++m_first;
    }
    return end() - 1;
}

Result<RecordRange> RecordLog::read(std::uint64_t from, std::size_t most) const
{
    if (from < m_first) {
        return fail(ResultCode::LogTruncated, absl::StrCat("the first offset kept is ", m_first));
    }
    RecordRange range;
    range.first = m_first;
    range.next = from;
    while (range.next < end() && range.records.size() < most) {
        range.records.push_back(m_records[range.next - m_first]);
        ++range.next;
    }
    return range;
}

std::uint64_t RecordLog::first() const
{
    return m_first;
}

std::uint64_t RecordLog::end() const
{
    return m_first + m_records.size();
}

} // namespace celeryroute
