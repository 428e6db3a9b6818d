#include <celeryroute/detail/cli/logsession.h>

#include <thread>
#include <utility>

namespace celeryroute {

namespace {
constexpr Duration IdlePause = std::chrono::milliseconds(50);
// A command that only looks at the log for seconds writes no snapshot.
constexpr Duration NoSnapshot = std::chrono::hours(24 * 365);

FollowerSettings settingsFor(const std::string &author)
{
    FollowerSettings settings;
    settings.incarnation = author;
    settings.readWaitMs = 0;
    settings.retryDelay = IdlePause;
    settings.snapshots.interval = NoSnapshot;
    settings.snapshots.records = UINT64_MAX / 2;
    return settings;
}
} // namespace

SessionClock systemSessionClock()
{
    return {[] { return MonotonicClock::now(); }, [](Duration duration) { std::this_thread::sleep_for(duration); }};
}

LogSession::LogSession(LogClient log, const std::string &author, Duration timeout, SessionClock clock)
    : m_log(std::move(log))
    , m_timeout(timeout)
    , m_clock(std::move(clock))
    , m_follower(settingsFor(author), m_store, m_clock.now())
{}

Result<FleetState> LogSession::load()
{
    const TimePoint end = m_clock.now() + m_timeout;
    m_readToEnd = false;
    while (!m_readToEnd && !state().isIncompatible() && m_clock.now() < end) {
        round();
    }
    if (state().isIncompatible()) {
        return fail(ResultCode::RecordNewerFormat,
                    "the log holds a record of a newer celeryroute; upgrade this program");
    }
    if (m_readToEnd) {
        return state();
    }
    if (m_follower.isLogReachable()) {
        return fail(ResultCode::StateUnavailable,
                    "the log has forgotten its first records and holds no usable snapshot");
    }
    return fail(ResultCode::LogUnavailable, "the log cannot be reached; nothing was changed");
}

RecordResult LogSession::append(const proto::LogRecord &record)
{
    const TimePoint end = m_clock.now() + m_timeout;
    m_follower.submit(record);
    while (m_clock.now() < end) {
        round();
        for (RecordResult &verdict : m_follower.takeResults()) {
            if (verdict.recordId == record.id()) {
                return std::move(verdict);
            }
        }
    }
    RecordResult verdict;
    verdict.recordId = record.id();
    verdict.error = {ResultCode::LogAppendInDoubt, "the log did not tell in time whether it holds the change"};
    return verdict;
}

const FleetState &LogSession::state() const
{
    return m_follower.state();
}

void LogSession::round()
{
    const std::uint64_t before = state().nextOffset();
    bool appended = false;
    for (const FollowerAction &action : m_follower.step(m_clock.now())) {
        if (const auto *read = std::get_if<ReadLog>(&action)) {
            const TimePoint startedAt = m_clock.now();
            const ReadOutcome outcome = m_log.read(read->read);
            m_follower.handle(LogReadDone{read->read, outcome, startedAt}, m_clock.now());
            const auto *batch = std::get_if<LogBatch>(&outcome);
            m_readToEnd = batch != nullptr && batch->records.empty() && state().nextOffset() == batch->next;
        } else if (const auto *append = std::get_if<AppendToLog>(&action)) {
            const AppendOutcome outcome = m_log.append(append->bytes);
            m_follower.handle(LogAppendDone{append->recordId, outcome}, m_clock.now());
            appended = true;
        }
    }
    if (state().nextOffset() == before && !appended && !m_readToEnd) {
        m_clock.sleep(IdlePause);
    } else if (m_readToEnd && !appended) {
        m_clock.sleep(IdlePause / 10);
    }
}

} // namespace celeryroute
