#include <celeryroute/detail/node/signalpipe.h>

#include <array>
#include <csignal>
#include <fcntl.h>
#include <sys/epoll.h>
#include <unistd.h>

namespace celeryroute {

namespace {

volatile int writeEnd = -1;

void onSignal(int signal)
{
    const char byte = static_cast<char>(signal);
    const ssize_t written = write(writeEnd, &byte, 1);
    (void)written;
}

} // namespace

SignalPipe::SignalPipe(EventLoop &loop, Received received)
    : m_loop(loop)
    , m_received(std::move(received))
{
    std::array<int, 2> ends{};
    if (pipe2(ends.data(), O_NONBLOCK | O_CLOEXEC) != 0) {
        return;
    }
    m_readEnd = ends[0];
    writeEnd = ends[1];
    m_loop.watch(m_readEnd, EPOLLIN, *this);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
        (void)std::signal(signal, onSignal);
    }
    (void)std::signal(SIGPIPE, SIG_IGN);
}

SignalPipe::~SignalPipe()
{
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
        (void)std::signal(signal, SIG_DFL);
    }
    if (m_readEnd >= 0) {
        m_loop.unwatch(m_readEnd);
        close(m_readEnd);
        close(writeEnd);
    }
}

void SignalPipe::fileReady(std::uint32_t)
{
    char signal = 0;
    while (read(m_readEnd, &signal, 1) == 1) {
        m_received(signal);
    }
}

} // namespace celeryroute
