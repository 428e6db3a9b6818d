#include <celeryroute/detail/node/peersocket.h>

#include <celeryroute/detail/net/sockets.h>

#include <serving.pb.h>

#include <array>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace celeryroute {

namespace {

constexpr std::size_t LargestDatagram = std::size_t{64} * 1024;
constexpr int MessagesPerTurn = 64;

} // namespace

PeerSocket::PeerSocket(EventLoop &loop, std::string sender, std::uint64_t incarnation, Received received)
    : m_loop(loop)
    , m_sender(std::move(sender))
    , m_incarnation(incarnation)
    , m_received(std::move(received))
{}

PeerSocket::~PeerSocket()
{
    if (m_socket >= 0) {
        m_loop.unwatch(m_socket);
        close(m_socket);
    }
}

Result<void> PeerSocket::open(const Endpoint &endpoint)
{
    BOOST_LEAF_ASSIGN(m_socket, bindUdp(endpoint));
    m_loop.watch(m_socket, EPOLLIN, *this);
    return {};
}

std::size_t PeerSocket::send(const Endpoint &to, wire::Envelope &envelope)
{
    envelope.set_sender(m_sender);
    envelope.set_incarnation(m_incarnation);
    envelope.set_sequence(++m_sequence);
    envelope.set_datagram(++m_sent[to]);
    envelope.SerializeToString(&m_buffer);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    address.sin_addr.s_addr = htonl(to.ip);
    // Send errors are ignored: datagrams may be lost anyway, and the next one carries newer values.
    sendto(m_socket,
           m_buffer.data(),
           m_buffer.size(),
           MSG_DONTWAIT | MSG_NOSIGNAL,
           reinterpret_cast<const sockaddr *>(&address),
           sizeof(address));
    return m_buffer.size();
}

std::size_t
PeerSocket::sendToAll(const std::vector<std::string> &addresses, std::uint16_t port, wire::Envelope &envelope)
{
    std::size_t bytes = 0;
    for (const std::string &address : addresses) {
        bytes += send({parseIp(address).value_or(0), port}, envelope);
    }
    return bytes;
}

void PeerSocket::fileReady(std::uint32_t)
{
    thread_local std::array<char, LargestDatagram> buffer;
    for (int i = 0; i < MessagesPerTurn; ++i) {
        sockaddr_in address{};
        socklen_t size = sizeof(address);
        const ssize_t received = recvfrom(m_socket,
                                          buffer.data(),
                                          buffer.size(),
                                          MSG_DONTWAIT,
                                          reinterpret_cast<sockaddr *>(&address),
                                          &size);
        if (received < 0) {
            return;
        }
        wire::Envelope envelope;
        if (envelope.ParseFromArray(buffer.data(), static_cast<int>(received))) {
            m_received({ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)}, envelope);
        }
    }
}

} // namespace celeryroute
