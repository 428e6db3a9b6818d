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

/// @brief A port of the loopback address that nothing listens at.
Endpoint freeEndpoint();

/// @brief A whole answer with the header lines @p fields.
std::string httpAnswer(int status, const std::string &body, const std::string &fields = {});

/// A server on the loopback address that answers as its test says, also with what is no answer.
class ServingTarget final : private FileHandler
{
public:
    /// A request that arrived whole.
    struct Request {
        MessageHead head;
        std::string body;
        std::size_t channel = 0; ///< Channels are numbered as they are accepted.

        std::string field(const std::string &name) const;
    };
    using Script = std::function<void(const Request &request)>;

    /// @param ip of the loopback network
    explicit ServingTarget(EventLoop &loop, std::uint32_t ip = INADDR_LOOPBACK);
    ~ServingTarget() override;

    const Endpoint &endpoint() const
    {
        return m_endpoint;
    }
    std::string address() const
    {
        return toString(m_endpoint);
    }

    /// @brief Called with each request; without one, requests wait for send().
    void onRequest(Script script)
    {
        m_script = std::move(script);
    }
    /// @brief Sends @p answer to each request; `{id}` in it stands for the request's id.
    void answerAll(const std::string &answer);
    /// @brief Sends @p answer to @p request.
    void answer(const Request &request, std::string answer);

    void send(std::size_t channel, const std::string &bytes);
    void close(std::size_t channel);
    void reset(std::size_t channel);
    /// @brief Stops reading, so that requests stay on their way.
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
    /// @brief Bytes of answers that the other side has not made room for.
    std::size_t unsent(std::size_t channel) const;
    /// @brief Whether the other side has closed @p channel.
    bool left(std::size_t channel) const;
    /// @brief Whether the other side has reset @p channel.
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
