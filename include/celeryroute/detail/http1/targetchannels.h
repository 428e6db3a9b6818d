#pragma once

#include <celeryroute/detail/http1/targetconnection.h>

#include <map>
#include <memory>
#include <vector>

namespace celeryroute {

/// Kept channels to targets and other servers.
class TargetChannels
{
public:
    TargetChannels(EventLoop &loop, TargetConnection::Conventions conventions);
    ~TargetChannels();
    TargetChannels(const TargetChannels &) = delete;
    TargetChannels &operator=(const TargetChannels &) = delete;

    /// @brief Begins an exchange with @p endpoint over a kept or a new channel.
    TargetConnection &start(const Endpoint &endpoint, TargetRequest request, ExchangeUser &user);

    /// @brief Closes the idle channels to @p endpoint.
    void closeIdle(const Endpoint &endpoint);

    /// @brief Channels that exist, idle or not.
    std::size_t size() const
    {
        return m_connections.size();
    }
    /// @brief Channels opened since the start.
    std::uint64_t opened() const
    {
        return m_opened;
    }

private:
    /// @brief Takes the most recently used idle connection that may carry a request with this id.
    TargetConnection *takeIdle(const Endpoint &endpoint, const std::string &requestId);
    TargetConnection &open(const Endpoint &endpoint);
    void becameIdle(TargetConnection &connection);
    void ended(TargetConnection &connection);
    void discard(TargetConnection *connection);
    void scheduleSweep();
    void sweep();

    EventLoop &m_loop;
    const TargetConnection::Conventions m_conventions;
    std::map<TargetConnection *, std::unique_ptr<TargetConnection>> m_connections;
    std::map<Endpoint, std::vector<TargetConnection *>> m_idle; ///< The most recently used last.
    std::uint64_t m_opened = 0;
    EventLoop::TimerId m_sweepTimer = 0;
};

} // namespace celeryroute
