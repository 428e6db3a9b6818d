#pragma once

#include <celeryroute/detail/net/filehandler.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

namespace celeryroute {

/// Readiness of file descriptors, timers and work deferred to the end of a turn, on one thread.
class EventLoop
{
public:
    using Action = std::function<void()>;
    using TimerId = std::uint64_t; ///< 0 is no timer.

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// @brief The time at which this turn began.
    TimePoint now() const
    {
        return m_now;
    }

    /// @brief Reads the clock; for work that begins outside a turn.
    void refreshNow();

    /// @brief How long the process stood still beyond the wait it asked for, before this turn.
    Duration overslept() const
    {
        return m_overslept;
    }

    void watch(int file, std::uint32_t events, FileHandler &handler);
    void change(int file, std::uint32_t events);
    void unwatch(int file);

    TimerId at(TimePoint when, Action action);
    void cancel(TimerId timer);

    /// @brief Runs @p action once at the end of this turn.
    void defer(Action action);

    /// @brief Runs @p action at the end of every turn.
    void atTurnEnd(Action action);

    void run();
    void stop();

    /// @brief Waits at most @p most for readiness or a timer and handles what is due.
    void turn(Duration most);

private:
    struct Watched {
        FileHandler *handler = nullptr;
        std::uint32_t generation = 0;
    };
    struct Timer {
        TimerId id;
        Action action;
    };

    int waitMs(Duration most) const;
    void dispatch(std::uint64_t tag, std::uint32_t events);
    void runTimers();
    void runDeferred();

    int m_epoll;
    bool m_running = false;
    TimePoint m_now;
    Duration m_overslept{};
    TimerId m_nextTimer = 1;
    std::vector<Watched> m_watched; ///< By file descriptor.
    std::multimap<TimePoint, Timer> m_timers;
    std::unordered_map<TimerId, std::multimap<TimePoint, Timer>::iterator> m_timersById;
    std::vector<Action> m_deferred;
    std::vector<Action> m_turnEnd;
};

} // namespace celeryroute
