#pragma once

#include <celeryroute/detail/net/eventloop.h>

#include <mutex>
#include <vector>

namespace celeryroute {

/// @brief Brings work of other threads to an EventLoop; loops without one take no lock.
class LoopMailbox final : private FileHandler
{
public:
    explicit LoopMailbox(EventLoop &loop);
    ~LoopMailbox() override;

    /// @brief Runs @p action on the thread of the loop, soon; may be called from any thread.
    void post(EventLoop::Action action);

    EventLoop &loop()
    {
        return m_loop;
    }

private:
    void fileReady(std::uint32_t events) override;

    EventLoop &m_loop;
    int m_event;
    std::mutex m_mutex;
    std::vector<EventLoop::Action> m_actions;
};

} // namespace celeryroute
