#include <celeryroute/detail/platform/memorylog.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <algorithm>
#include <utility>

namespace celeryroute {

struct MemoryLog::Storage {
    absl::Mutex mutex;
    std::vector<std::string> records ABSL_GUARDED_BY(mutex);
    std::uint64_t first ABSL_GUARDED_BY(mutex) = 0;
    bool down ABSL_GUARDED_BY(mutex) = false;
    int answersToLose ABSL_GUARDED_BY(mutex) = 0;
    int appendsToHold ABSL_GUARDED_BY(mutex) = 0;
    std::vector<std::string> held ABSL_GUARDED_BY(mutex);
    int appendsToLose ABSL_GUARDED_BY(mutex) = 0;
};

namespace {
Error unreachable()
{
    return {ResultCode::LogUnavailable, "the log cannot be reached"};
}

Error answerLost()
{
    return {ResultCode::LogAppendInDoubt, "the answer to the append was lost"};
}

// Counts one fault down; false when there is none left.
bool takeOne(int &count)
{
    if (count == 0) {
        return false;
    }
    --count;
    return true;
}
} // namespace

MemoryLog::MemoryLog()
    : m_storage(std::make_shared<Storage>())
{}

AppendOutcome MemoryLog::append(const std::string &record)
{
    absl::MutexLock lock(&m_storage->mutex);
    if (m_storage->down) {
        return NotAppended{unreachable()};
    }
    if (takeOne(m_storage->appendsToLose)) {
        return AppendInDoubt{answerLost()};
    }
    if (takeOne(m_storage->appendsToHold)) {
        m_storage->held.push_back(record);
        return AppendInDoubt{answerLost()};
    }
    m_storage->records.push_back(record);
    if (takeOne(m_storage->answersToLose)) {
        return AppendInDoubt{answerLost()};
    }
    return Appended{m_storage->records.size() - 1};
}

ReadOutcome MemoryLog::read(const LogRead &read) const
{
    absl::MutexLock lock(&m_storage->mutex);
    if (m_storage->down) {
        return LogUnreachable{unreachable()};
    }
    if (read.from < m_storage->first) {
        return LogForgotten{m_storage->first};
    }
    const std::uint64_t end = m_storage->records.size();
    const std::uint64_t from = std::min(read.from, end);
    const std::uint64_t next = std::min(from + read.maxRecords, end);
    LogBatch batch;
    batch.first = m_storage->first;
    batch.next = next;
    for (std::uint64_t offset = from; offset < next; ++offset) {
        batch.records.push_back(m_storage->records[offset]);
    }
    return batch;
}

void MemoryLog::setDown(bool down)
{
    absl::MutexLock lock(&m_storage->mutex);
    m_storage->down = down;
}

void MemoryLog::loseAnswers(int count)
{
    absl::MutexLock lock(&m_storage->mutex);
    m_storage->answersToLose = count;
}

void MemoryLog::loseAppends(int count)
{
    absl::MutexLock lock(&m_storage->mutex);
    m_storage->appendsToLose = count;
}

void MemoryLog::holdAppends(int count)
{
    absl::MutexLock lock(&m_storage->mutex);
    m_storage->appendsToHold = count;
}

void MemoryLog::deliverHeld()
{
    absl::MutexLock lock(&m_storage->mutex);
    for (std::string &record : m_storage->held) {
        m_storage->records.push_back(std::move(record));
    }
    m_storage->held.clear();
}

void MemoryLog::forgetBefore(std::uint64_t first)
{
    absl::MutexLock lock(&m_storage->mutex);
    m_storage->first = std::max(m_storage->first, first);
}

std::uint64_t MemoryLog::next() const
{
    absl::MutexLock lock(&m_storage->mutex);
    return m_storage->records.size();
}

} // namespace celeryroute
