#include <celeryroute/detail/platform/logworker.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <deque>
#include <functional>
#include <thread>
#include <utility>

namespace celeryroute {

namespace {
// Runs tasks in order on a thread of its own; tasks not begun at the end are dropped.
class TaskThread
{
public:
    TaskThread()
        : m_thread([this] { run(); })
    {}

    ~TaskThread()
    {
        {
            absl::MutexLock lock(&m_mutex);
            m_stopping = true;
        }
        m_thread.join();
    }

    TaskThread(const TaskThread &) = delete;
    TaskThread &operator=(const TaskThread &) = delete;

    void add(std::function<void()> task)
    {
        absl::MutexLock lock(&m_mutex);
        m_tasks.push_back(std::move(task));
    }

private:
    bool hasWork() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        return m_stopping || !m_tasks.empty();
    }

    std::function<void()> nextTask()
    {
        absl::MutexLock lock(&m_mutex);
        m_mutex.Await(absl::Condition(this, &TaskThread::hasWork));
        if (m_stopping) {
            return {};
        }
        std::function<void()> task = std::move(m_tasks.front());
        m_tasks.pop_front();
        return task;
    }

    void run()
    {
        while (const std::function<void()> task = nextTask()) {
            task();
        }
    }

    absl::Mutex m_mutex;
    std::deque<std::function<void()>> m_tasks ABSL_GUARDED_BY(m_mutex);
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::thread m_thread;
};
} // namespace

class LogWorker::Private
{
public:
    Private(LogClient readClient, LogClient appendClient, Mailbox<LogEvent> &mailbox)
        : reader(std::move(readClient))
        , appender(std::move(appendClient))
        , events(mailbox)
    {}

    LogClient reader;
    LogClient appender;
    Mailbox<LogEvent> &events;
    // Last, so that the threads end before what they use.
    TaskThread readThread;
    TaskThread appendThread;
};

LogWorker::LogWorker(LogClient reader, LogClient appender, Mailbox<LogEvent> &events)
    : m_private(std::make_unique<Private>(std::move(reader), std::move(appender), events))
{}

LogWorker::~LogWorker() = default;

void LogWorker::read(const LogRead &read)
{
    m_private->readThread.add([this, read] {
        const TimePoint startedAt = MonotonicClock::now();
        ReadOutcome outcome = m_private->reader.read(read);
        m_private->events.post(LogReadDone{read, std::move(outcome), startedAt});
    });
}

void LogWorker::append(std::string recordId, std::string record)
{
    m_private->appendThread.add([this, id = std::move(recordId), bytes = std::move(record)] {
        AppendOutcome outcome = m_private->appender.append(bytes);
        m_private->events.post(LogAppendDone{id, std::move(outcome)});
    });
}

} // namespace celeryroute
