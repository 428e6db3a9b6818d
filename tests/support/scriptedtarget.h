#pragma once

#include <celeryroute/detail/http1/messageparser.h>
#include <celeryroute/detail/net/endpoint.h>
#include <celeryroute/detail/net/tcpchannel.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <netinet/in.h>

namespace celeryroute {

/// @brief An endpoint on the loopback address with a free port.
Endpoint freeEndpoint();

/// @brief A complete HTTP answer with the header lines @p fields.
std::string httpAnswer(int status, const std::string &body, const std::string &fields = {});

/// A server on a loopback address that sends scripted bytes, including malformed answers.
class ScriptedTarget final : private FileHandler
{
public:
    /// A complete received request.
    struct Request {
        MessageHead head;
        std::string body;
        std::size_t channel = 0; ///< Connections are numbered in the order in which they are accepted.

        std::string field(const std::string &name) const;
    };
    using Script = std::function<void(const Request &request)>;

    /// @param ip address in the loopback network to listen on
    explicit ScriptedTarget(EventLoop &loop, std::uint32_t ip = INADDR_LOOPBACK);
    ScriptedTarget(EventLoop &loop, const Endpoint &endpoint);
    ~ScriptedTarget() override;

    const Endpoint &endpoint() const
    {
        return m_endpoint;
    }
    std::string address() const
    {
        return toString(m_endpoint);
    }

    /// @brief Sets the function that is called with each request. Without one, the test answers with send().
    void onRequest(Script script)
    {
        m_script = std::move(script);
    }
    /// @brief Sends @p answer to each request. `{id}` in it is replaced by the request id.
    void answerEveryRequest(const std::string &answer);
    /// @brief Sends @p answer to @p request.
    void answer(const Request &request, std::string answer);

    void send(std::size_t channel, const std::string &bytes);
    void close(std::size_t channel);
    /// @brief Closes the sending side only.
    void finishSending(std::size_t channel);
    void reset(std::size_t channel);
    /// @brief Starts or stops reading. While stopped, requests stay in the socket buffers.
    void setReading(std::size_t channel, bool reading);
    void stopListening();

    const std::vector<Request> &requests() const
    {
        return m_requests;
    }
    std::size_t channels() const
    {
        return m_channels.size();
    }
    /// @brief Bytes of answers that did not fit into the socket buffers yet.
    std::size_t unsent(std::size_t channel) const;
    /// @brief Whether the peer has closed @p channel.
    bool left(std::size_t channel) const;
    /// @brief Whether the peer has reset @p channel.
    bool wasReset(std::size_t channel) const;

private:
    class Channel;

    void fileReady(std::uint32_t events) override;
    void received(Request request);

    EventLoop &m_loop;
    Endpoint m_endpoint;
    int m_listener = -1;
    Script m_script;
    std::vector<std::unique_ptr<Channel>> m_channels;
    std::vector<Request> m_requests;
};

} // namespace celeryroute
