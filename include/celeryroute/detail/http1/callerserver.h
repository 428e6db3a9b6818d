#pragma once

#include <celeryroute/detail/http1/callerconnection.h>
#include <celeryroute/detail/net/endpoint.h>
#include <celeryroute/result.h>

#include <map>
#include <memory>

namespace celeryroute {

/// Accepts connections and keeps them until they end.
class CallerServer final : private FileHandler
{
public:
    CallerServer(EventLoop &loop, CallerHandler &handler);
    ~CallerServer() override;

    /// @brief Begins to accept at @p endpoint; error 105 when it is taken.
    Result<void> listen(const Endpoint &endpoint);
    void stopListening();

    /// @brief Destroys @p connection after this turn.
    void discard(CallerConnection &connection);

    void closeIdle();
    std::size_t connections() const
    {
        return m_connections.size();
    }

private:
    void fileReady(std::uint32_t events) override;
    void pause();

    EventLoop &m_loop;
    CallerHandler &m_handler;
    int m_listener = -1;
    EventLoop::TimerId m_pause = 0; ///< Of accepting, for lack of descriptors.
    std::map<CallerConnection *, std::unique_ptr<CallerConnection>> m_connections;
};

} // namespace celeryroute
