#include <celeryroute/detail/base/wakeup.h>

#include <cstdint>
#include <sys/eventfd.h>
#include <unistd.h>

namespace celeryroute {

WakeUp::WakeUp()
    : m_fd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{}

WakeUp::~WakeUp()
{
    close(m_fd);
}

int WakeUp::fd() const
{
    return m_fd;
}

void WakeUp::signal() const
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = write(m_fd, &one, sizeof(one));
}

void WakeUp::clear() const
{
    std::uint64_t count = 0;
    [[maybe_unused]] const auto taken = read(m_fd, &count, sizeof(count));
}

} // namespace celeryroute
