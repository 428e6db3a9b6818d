#pragma once

#include "childprocess.h"
#include "deploymentspec.h"

#include <celeryroute/detail/http/httpmessage.h>
#include <celeryroute/detail/platform/hostentry.h>
#include <celeryroute/detail/transport/curvekeys.h>

#include <memory>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief A whole deployment of real processes on loopback; its destructor kills them all.
class Deployment
{
public:
    struct Worker {
        HostEntry host;
        std::string targetUrl;
        std::string adminUrl;
        std::unique_ptr<ChildProcess> target;
        std::unique_ptr<ChildProcess> agent;
    };
    struct Entry {
        HostEntry host;
        std::string url;
        std::unique_ptr<ChildProcess> process;
    };

    /// @brief Starts all processes and registers their hosts; declares nothing.
    explicit Deployment(DeploymentSpec spec);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /// @brief Runs `celeryctl` with the log's URL and @p arguments; returns its standard output, or
    /// empty text after a failure, which is printed.
    std::string celeryctl(const std::vector<std::string> &arguments) const;
    /// @brief Applies declarations; false when they are refused.
    bool apply(const std::vector<std::string> &files) const;
    /// @brief Grants a key to @p customer and returns it.
    std::string grantKey(const std::string &customer) const;
    /// @brief Waits until every entry and agent answers 200 on /readyz; false after the hang guard.
    bool waitUntilReady() const;

    /// @brief Ends a worker's agent by @p signal and starts another in its place.
    void replaceAgent(Worker &worker, int signal);
    /// @brief Starts a worker's target again on the port that it had.
    void restartTarget(Worker &worker);
    void registerHost(const HostEntry &entry) const;
    void removeHost(const std::string &host) const;

    const std::string &logUrl() const;
    const std::string &hostsUrl() const;
    const std::string &weightsUrl() const;
    std::vector<Worker> &workers();
    std::vector<Entry> &entries();
    ChildProcess &log();

private:
    const PoolDeployment &poolOf(const Worker &worker) const;
    std::string startPlatform(std::unique_ptr<ChildProcess> &process,
                              const std::string &program,
                              const std::vector<std::string> &arguments) const;
    void startWorker(const PoolDeployment &pool, unsigned number);
    void startTarget(Worker &worker, const std::string &listen) const;
    void startAgent(Worker &worker) const;
    void startEntry(unsigned number);
    std::vector<std::string> daemonArguments(const HostEntry &host, const std::string &role) const;
    const std::string &domain(unsigned number) const;

    DeploymentSpec m_spec;
    CurveKeys m_keys;
    std::unique_ptr<ChildProcess> m_log;
    std::unique_ptr<ChildProcess> m_hosts;
    std::unique_ptr<ChildProcess> m_weights;
    std::string m_logUrl;
    std::string m_hostsUrl;
    std::string m_weightsUrl;
    std::vector<Worker> m_workers;
    std::vector<Entry> m_entries;
};

} // namespace celeryroute
