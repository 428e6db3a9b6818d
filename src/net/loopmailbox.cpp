#include <celeryroute/detail/net/loopmailbox.h>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace celeryroute {

LoopMailbox::LoopMailbox(EventLoop &loop)
    : m_loop(loop)
    , m_event(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    m_loop.watch(m_event, EPOLLIN, *this);
}

LoopMailbox::~LoopMailbox()
{
    m_loop.unwatch(m_event);
    close(m_event);
}

void LoopMailbox::post(EventLoop::Action action)
{
    const std::lock_guard lock(m_mutex);
    m_actions.push_back(std::move(action));
    if (m_actions.size() == 1) {
        eventfd_write(m_event, 1);
    }
}

void LoopMailbox::fileReady(std::uint32_t)
{
    eventfd_t count = 0;
    eventfd_read(m_event, &count);
    std::vector<EventLoop::Action> actions;
    {
        const std::lock_guard lock(m_mutex);
        actions.swap(m_actions);
    }
    for (const EventLoop::Action &action : actions) {
        action();
    }
}

} // namespace celeryroute
