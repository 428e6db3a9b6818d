#include <celeryroute/detail/http/acceptor.h>

#include <absl/strings/str_cat.h>

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace celeryroute {

namespace {

constexpr int Backlog = 1024;
/// Wait before the next try when the process has no descriptors left.
constexpr std::chrono::milliseconds ExhaustedPause(20);

bool bindListener(int listener, const sockaddr_in &address)
{
    const int enabled = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    return bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0
        && listen(listener, Backlog) == 0;
}

} // namespace

Acceptor::Acceptor(Handler handler)
    : m_handler(std::move(handler))
{}

Acceptor::~Acceptor()
{
    stop();
}

Result<void> Acceptor::start(const std::string &address, std::uint16_t port)
{
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(port);
    if (inet_pton(AF_INET, address.c_str(), &name.sin_addr) != 1) {
        return fail(ResultCode::SettingInvalid, absl::StrCat("'", address, "' is not an IPv4 number"));
    }
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (m_listener < 0 || !bindListener(m_listener, name)) {
        stop();
        return fail(ResultCode::PortUnavailable, absl::StrCat("cannot listen on ", address, ":", port));
    }
    socklen_t size = sizeof name;
    getsockname(m_listener, reinterpret_cast<sockaddr *>(&name), &size);
    m_port = ntohs(name.sin_port);
    m_stopEvent = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    m_thread = std::thread([this] { run(); });
    return {};
}

std::uint16_t Acceptor::port() const
{
    return m_port;
}

void Acceptor::stop()
{
    if (m_thread.joinable()) {
        eventfd_write(m_stopEvent, 1);
        m_thread.join();
        close(std::exchange(m_stopEvent, -1));
    }
    if (m_listener >= 0) {
        close(std::exchange(m_listener, -1));
    }
}

void Acceptor::run()
{
    std::array<pollfd, 2> waits = {{{m_listener, POLLIN, 0}, {m_stopEvent, POLLIN, 0}}};
    while (true) {
        poll(waits.data(), waits.size(), -1);
        if (waits[1].revents != 0) {
            return;
        }
        acceptAll();
    }
}

void Acceptor::acceptAll()
{
    while (true) {
        sockaddr_in peer{};
        socklen_t size = sizeof peer;
        const int socket = accept4(m_listener,
                                   reinterpret_cast<sockaddr *>(&peer),
                                   &size,
                                   SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (socket < 0) {
            if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
                std::this_thread::sleep_for(ExhaustedPause);
            }
            return;
        }
        // Streamed chunks are small and must leave at once.
        const int enabled = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        m_handler(socket, peer);
    }
}

} // namespace celeryroute
