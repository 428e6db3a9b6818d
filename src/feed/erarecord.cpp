#include <celeryroute/detail/feed/erarecord.h>

#include <algorithm>
#include <charconv>
#include <string>
#include <utility>

namespace celeryroute {

namespace {

constexpr Duration CheckInterval = std::chrono::seconds(1); ///< Between checks whether the era may be recorded.
const std::string SettledKey = "settled";

std::uint64_t readEra(const std::string &text)
{
    std::uint64_t era = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, era);
    return error == std::errc() && rest == end ? era : 0;
}

} // namespace

EraRecord::EraRecord(const TopicFollowerSettings &settings, std::uint64_t seed, MayRecord mayRecord)
    : m_mayRecord(std::move(mayRecord))
    , m_timeout(settings.minAnswerTimeout, settings.maxAnswerTimeout)
    , m_backoff(settings.minBackoff, settings.maxBackoff, seed)
{}

void EraRecord::begin(std::uint64_t era)
{
    m_era = era;
    m_pendingCall.reset();
    m_notBefore = TimePoint::min();
}

FeedStep EraRecord::next(TimePoint now)
{
    if (m_pendingCall) {
        return AwaitAnswer{};
    }
    if (now < m_notBefore) {
        return WaitUntil{m_notBefore};
    }
    if (!isSettled() && !m_isRead) {
        m_pendingCall = ReadNewest{FeedTopic::Eras, {}};
    } else if (!isSettled() && m_mayRecord(now)) {
        m_pendingCall = AppendRecord{FeedTopic::Eras, std::to_string(m_era), SettledKey};
    } else {
        m_notBefore = now + CheckInterval;
        return WaitUntil{m_notBefore};
    }
    return BeginCall{*m_pendingCall, m_timeout.timeout()};
}

void EraRecord::answered(const FeedAnswer &answer, TimePoint callBegan, TimePoint now)
{
    if (!m_pendingCall) {
        return;
    }
    const FeedCall call = *std::exchange(m_pendingCall, std::nullopt);
    const auto *page = std::get_if<NewestPage>(&answer);
    if (page != nullptr && std::holds_alternative<ReadNewest>(call)) {
        m_isRead = true;
        for (const FeedRecord &record : page->records) {
            m_recorded = record.key == SettledKey ? std::max(m_recorded, readEra(record.value)) : m_recorded;
        }
    } else if (std::holds_alternative<RecordAppended>(answer) && std::holds_alternative<AppendRecord>(call)) {
        m_recorded = m_era;
    } else {
        fail(now);
        return;
    }
    m_timeout.answeredAfter(now - callBegan);
    m_backoff.succeeded();
}

void EraRecord::timedOut(TimePoint now)
{
    if (m_pendingCall) {
        m_pendingCall.reset();
        m_timeout.timedOut();
        fail(now);
    }
}

bool EraRecord::isSettled() const
{
    return m_era <= m_recorded;
}

void EraRecord::fail(TimePoint now)
{
    m_notBefore = now + m_backoff.failed();
}

} // namespace celeryroute
