#include <celeryroute/detail/net/eventloop.h>

#include <celeryroute/detail/net/clock.h>

#include <algorithm>
#include <array>
#include <sys/epoll.h>
#include <unistd.h>

namespace celeryroute {

namespace {

constexpr std::size_t EventsPerWait = 64;
constexpr int WaitsPerTurn = 16; ///< Bounds the time for which events delay the timers.
constexpr int GenerationShift = 32;
constexpr std::uint64_t FileMask = 0xffffffff;

std::uint64_t tagOf(int file, std::uint32_t generation)
{
    return (static_cast<std::uint64_t>(generation) << GenerationShift) | static_cast<std::uint32_t>(file);
}

} // namespace

EventLoop::EventLoop()
    : m_epoll(epoll_create1(EPOLL_CLOEXEC))
    , m_now(bootTimeNow())
{}

EventLoop::~EventLoop()
{
    close(m_epoll);
}

void EventLoop::refreshNow()
{
    m_now = bootTimeNow();
}

void EventLoop::watch(int file, std::uint32_t events, FileHandler &handler)
{
    const auto index = static_cast<std::size_t>(file);
    if (index >= m_watched.size()) {
        m_watched.resize(index + 1);
    }
    Watched &watched = m_watched[index];
    watched.handler = &handler;
    ++watched.generation;
    epoll_event event{};
    event.events = events;
    event.data.u64 = tagOf(file, watched.generation);
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, file, &event);
}

void EventLoop::change(int file, std::uint32_t events)
{
    epoll_event event{};
    event.events = events;
    event.data.u64 = tagOf(file, m_watched[static_cast<std::size_t>(file)].generation);
    epoll_ctl(m_epoll, EPOLL_CTL_MOD, file, &event);
}

void EventLoop::unwatch(int file)
{
    m_watched[static_cast<std::size_t>(file)].handler = nullptr;
    epoll_ctl(m_epoll, EPOLL_CTL_DEL, file, nullptr);
}

EventLoop::TimerId EventLoop::at(TimePoint when, Action action)
{
    const TimerId id = m_nextTimer++;
    m_timersById[id] = m_timers.emplace(when, Timer{id, std::move(action)});
    return id;
}

void EventLoop::cancel(TimerId timer)
{
    const auto found = m_timersById.find(timer);
    if (found != m_timersById.end()) {
        m_timers.erase(found->second);
        m_timersById.erase(found);
    }
}

void EventLoop::defer(Action action)
{
    m_deferred.push_back(std::move(action));
}

void EventLoop::atTurnEnd(Action action)
{
    m_turnEnd.push_back(std::move(action));
}

void EventLoop::run()
{
    constexpr Duration NoLimit = std::chrono::hours(1);
    m_running = true;
    while (m_running) {
        turn(NoLimit);
    }
}

void EventLoop::stop()
{
    m_running = false;
}

int EventLoop::waitMs(Duration most) const
{
    Duration wait = m_deferred.empty() ? most : Duration::zero();
    if (!m_timers.empty()) {
        wait = std::min(wait, m_timers.begin()->first - bootTimeNow());
    }
    if (wait <= Duration::zero()) {
        return 0;
    }
    // Rounded up: a timer that is woken too early would need a second turn.
    return static_cast<int>(toMilliseconds(wait + std::chrono::microseconds(999)));
}

void EventLoop::turn(Duration most)
{
    std::array<epoll_event, EventsPerWait> events{};
    const int wait = waitMs(most);
    const TimePoint before = bootTimeNow();
    int count = epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()), wait);
    m_now = bootTimeNow();
    m_overslept = std::max(Duration::zero(), m_now - before - std::chrono::milliseconds(wait));
    // All that is ready comes before the timers, since a timer may end what waits for one of the events.
    for (int waits = 1; count > 0; ++waits) {
        for (int i = 0; i < count; ++i) {
            const epoll_event &event = events[static_cast<std::size_t>(i)];
            dispatch(event.data.u64, event.events);
        }
        const bool mayBeMore = count == static_cast<int>(events.size()) && waits < WaitsPerTurn;
        count = mayBeMore ? epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()), 0) : 0;
    }
    runTimers();
    runDeferred();
    for (const Action &action : m_turnEnd) {
        action();
    }
}

// An event of a descriptor that was closed and opened anew in this turn has an older generation.
void EventLoop::dispatch(std::uint64_t tag, std::uint32_t events)
{
    const Watched &watched = m_watched[tag & FileMask];
    if (watched.handler != nullptr && watched.generation == tag >> GenerationShift) {
        watched.handler->fileReady(events);
    }
}

// Only what was due when the turn began: a timer that is set to the present time waits for the next one.
void EventLoop::runTimers()
{
    std::vector<TimerId> due;
    for (const auto &[when, timer] : m_timers) {
        if (when > m_now) {
            break;
        }
        due.push_back(timer.id);
    }
    for (const TimerId id : due) {
        const auto found = m_timersById.find(id);
        if (found == m_timersById.end()) {
            continue; // Cancelled by one before it.
        }
        const Action action = std::move(found->second->second.action);
        m_timers.erase(found->second);
        m_timersById.erase(found);
        action();
    }
}

void EventLoop::runDeferred()
{
    while (!m_deferred.empty()) {
        std::vector<Action> actions;
        actions.swap(m_deferred);
        for (const Action &action : actions) {
            action();
        }
    }
}

} // namespace celeryroute
