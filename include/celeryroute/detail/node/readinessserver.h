#pragma once

#include <celeryroute/detail/http1/callerserver.h>

#include <functional>
#include <string>

namespace celeryroute {

/// @brief Answers the load balancer's readiness checks and serves the metrics.
class ReadinessServer final : private CallerHandler
{
public:
    /// @brief Returns the body of the answer for another path; empty for 404.
    using OtherPath = std::function<std::optional<std::string>(const std::string &path)>;

    ReadinessServer(EventLoop &loop, std::string path, std::function<bool()> ready, OtherPath otherPath);

    Result<void> listen(const Endpoint &endpoint);

private:
    void callerRequest(CallerConnection &connection, CallerRequest request) override;
    void callerLeft(CallerConnection &) override {}
    void callerDrained(CallerConnection &) override {}
    void requestRejected(int) override {}
    void connectionEnded(CallerConnection &connection) override;
    const CallerLimits &callerLimits() const override
    {
        return m_limits;
    }
    bool stopping() const override
    {
        return false;
    }

    std::string m_path;
    std::function<bool()> m_ready;
    OtherPath m_otherPath;
    CallerLimits m_limits;
    CallerServer m_server;
};

} // namespace celeryroute
