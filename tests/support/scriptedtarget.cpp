#include "scriptedtarget.h"

#include <celeryroute/detail/net/sockets.h>

#include <arpa/inet.h>
#include <deque>
#include <optional>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace celeryroute {

namespace {

constexpr std::uint32_t Loopback = INADDR_LOOPBACK;

int listenerAt(const Endpoint &endpoint)
{
    return handleErrors([&] { return listenTcp(endpoint); }, [](const Error &) { return -1; });
}

Endpoint boundEndpoint(int socket)
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
    return {Loopback, ntohs(address.sin_port)};
}

} // namespace

Endpoint freeEndpoint()
{
    constexpr std::size_t MaxReserved = 64;
    static std::deque<int> reserved;
    // Tests that run side by side listen at several loopback addresses. The system gives out a port once for each of
    // them, so the last ports stay bound here, where each test asks for its ports.
    const int reservation = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    constexpr int Yes = 1;
    setsockopt(reservation, SOL_SOCKET, SO_REUSEADDR, &Yes, sizeof(Yes)); // Allows to listen at the endpoint.
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(Loopback);
    (void)bind(reservation, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    reserved.push_back(reservation);
    if (reserved.size() > MaxReserved) {
        ::close(reserved.front());
        reserved.pop_front();
    }
    return boundEndpoint(reservation);
}

std::string httpAnswer(int status, const std::string &body, const std::string &fields)
{
    return "HTTP/1.1 " + std::to_string(status) + " Any\r\n" + fields + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

/// One accepted connection, which reads requests sequentially.
class ScriptedTarget::Channel final : private ChannelUser
{
public:
    Channel(ScriptedTarget &owner, int socket, std::size_t number)
        : m_owner(owner)
        , m_number(number)
        , m_channel(std::in_place, owner.m_loop, socket, TcpChannel::Phase::Open, static_cast<ChannelUser &>(*this))
    {}

    void send(const std::string &bytes)
    {
        if (m_channel) {
            m_channel->write(bytes);
            m_channel->flush();
        }
    }
    void finishSending()
    {
        m_channel->finishOutput();
    }
    void end(bool reset)
    {
        if (m_channel && reset) {
            m_channel->discardOnClose();
        }
        m_channel.reset();
    }
    void setReading(bool reading)
    {
        m_channel->setReading(reading);
    }

    std::size_t unsent() const
    {
        return m_channel ? m_channel->unsent() : 0;
    }

    bool left = false;
    bool wasReset = false;

private:
    void channelReceived() override
    {
        while (m_channel && !m_channel->input().empty()) {
            if (m_parser == nullptr) {
                m_parser = std::make_unique<MessageParser>(MessageKind::Request, MessageLimits{});
            }
            const std::size_t consumed = m_parser->feed(m_channel->input());
            m_channel->input().erase(0, consumed);
            if (m_parser->state() != ParseState::Complete) {
                return;
            }
            Request request{std::move(m_parser->head()), std::move(m_parser->body()), m_number};
            m_parser.reset();
            m_owner.received(std::move(request));
        }
    }
    void channelClosed(bool reset) override
    {
        left = true;
        wasReset = reset;
    }

    ScriptedTarget &m_owner;
    std::size_t m_number;
    std::optional<TcpChannel> m_channel;
    std::unique_ptr<MessageParser> m_parser;
};

std::string ScriptedTarget::Request::field(const std::string &name) const
{
    const std::string *value = head.field(name);
    return value == nullptr ? "(none)" : *value;
}

ScriptedTarget::ScriptedTarget(EventLoop &loop, std::uint32_t ip)
    : ScriptedTarget(loop, Endpoint{ip, 0})
{}

ScriptedTarget::ScriptedTarget(EventLoop &loop, const Endpoint &endpoint)
    : m_loop(loop)
    , m_listener(listenerAt(endpoint))
{
    m_endpoint = {endpoint.ip, boundEndpoint(m_listener).port};
    m_loop.watch(m_listener, EPOLLIN, *this);
}

ScriptedTarget::~ScriptedTarget()
{
    stopListening();
}

void ScriptedTarget::answerEveryRequest(const std::string &answer)
{
    m_script = [this, answer](const Request &request) { this->answer(request, answer); };
}

void ScriptedTarget::answer(const Request &request, std::string answer)
{
    constexpr std::string_view Id = "{id}";
    const std::size_t at = answer.find(Id);
    if (at != std::string::npos) {
        answer.replace(at, Id.size(), request.field("X-Request-Id"));
    }
    send(request.channel, answer);
}

void ScriptedTarget::send(std::size_t channel, const std::string &bytes)
{
    m_channels.at(channel)->send(bytes);
}

void ScriptedTarget::close(std::size_t channel)
{
    m_channels.at(channel)->end(false);
}

void ScriptedTarget::finishSending(std::size_t channel)
{
    m_channels.at(channel)->finishSending();
}

void ScriptedTarget::reset(std::size_t channel)
{
    m_channels.at(channel)->end(true);
}

void ScriptedTarget::setReading(std::size_t channel, bool reading)
{
    m_channels.at(channel)->setReading(reading);
}

void ScriptedTarget::stopListening()
{
    if (m_listener >= 0) {
        m_loop.unwatch(m_listener);
        ::close(m_listener);
        m_listener = -1;
    }
}

std::size_t ScriptedTarget::unsent(std::size_t channel) const
{
    return m_channels.at(channel)->unsent();
}

bool ScriptedTarget::left(std::size_t channel) const
{
    return m_channels.at(channel)->left;
}

bool ScriptedTarget::wasReset(std::size_t channel) const
{
    return m_channels.at(channel)->wasReset;
}

void ScriptedTarget::fileReady(std::uint32_t)
{
    for (int file = acceptTcp(m_listener); file >= 0; file = acceptTcp(m_listener)) {
        m_channels.push_back(std::make_unique<Channel>(*this, file, m_channels.size()));
    }
}

void ScriptedTarget::received(Request request)
{
    m_requests.push_back(std::move(request));
    if (m_script) {
        const Request latest = m_requests.back();
        m_script(latest);
    }
}

} // namespace celeryroute
