#pragma once

#include <celeryroute/detail/http1/callerconnection.h>
#include <celeryroute/detail/net/endpoint.h>
#include <celeryroute/result.h>

#include <cstddef>
#include <cstdint>
#include <functional>
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
    /// @brief The port that it listens on.
    std::uint16_t port() const;
    /// @brief Takes the connections that have come and ends to listen.
    void stopListening();
    /// @brief Closes what is accepted while @p most connections are open.
    void limitConnections(std::size_t most)
    {
        m_most = most;
    }
    /// @brief Keeps the descriptors of callers and of the @p others that their requests need below @p most together.
    void limitDescriptors(std::size_t most, std::function<std::size_t()> others);
    /// @brief Closes the connection without a request in progress that made no progress for longest, if descriptors are
    /// short. Returns false if they remain short.
    bool makeRoom();
    MemoryAccount &account()
    {
        return m_account;
    }
    const MemoryAccount &account() const
    {
        return m_account;
    }

    /// @brief Destroys @p connection after this turn.
    void discard(CallerConnection &connection);

    /// @brief Closes the connections that have been idle for @p least.
    void closeIdle(Duration least = Duration::zero());
    /// @brief Ends every connection without a word; not from within a connection's callback.
    void closeAll();
    std::size_t connections() const
    {
        return m_connections.size();
    }

private:
    void fileReady(std::uint32_t events) override;
    void acceptWaiting();
    void closeListener();
    void pause();

    EventLoop &m_loop;
    CallerHandler &m_handler;
    int m_listener = -1;
    std::size_t m_most = SIZE_MAX;
    std::size_t m_mostDescriptors = SIZE_MAX;
    std::function<std::size_t()> m_others;
    std::size_t m_discarded = 0; ///< Connections that are destroyed after this turn.
    std::uint64_t m_accepted = 0;
    EventLoop::TimerId m_pause = 0; ///< Of accepting, for lack of descriptors.
    MemoryAccount m_account;
    std::map<CallerConnection *, std::unique_ptr<CallerConnection>> m_connections;
};

} // namespace celeryroute
