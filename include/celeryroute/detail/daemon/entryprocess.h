#pragma once

#include <celeryroute/detail/daemon/peeranswers.h>
#include <celeryroute/detail/daemon/process.h>
#include <celeryroute/detail/entry/dispatcher.h>
#include <celeryroute/detail/entry/entryapi.h>
#include <celeryroute/detail/http/httpserver.h>

#include <atomic>
#include <memory>

namespace celeryroute {

/// @brief The daemon in the role of an entry.
class EntryProcess
{
public:
    explicit EntryProcess(DaemonSettings settings);
    ~EntryProcess();
    EntryProcess(const EntryProcess &) = delete;
    EntryProcess &operator=(const EntryProcess &) = delete;

    /// @brief Opens the ports and serves. Fails with PortUnavailable.
    Result<void> start();
    /// @brief Begins a planned stop: readiness fails first, then new calls are refused.
    void requestStop(TimePoint now);
    /// @brief Advances a planned stop; whether it is complete.
    bool advanceStop(TimePoint now);
    std::string listenEndpoint() const;
    std::string peerEndpoint() const;

private:
    bool isReady() const;
    std::string statusJson() const;
    EntryApiHooks apiHooks();
    DispatcherHooks dispatcherHooks();

    Process m_process;
    PeerAnswers m_answers;
    Dispatcher m_dispatcher;
    EntryApi m_api;
    std::unique_ptr<HttpServer> m_server;
    std::atomic<bool> m_stopping{false};
    TimePoint m_stopRequested;
    bool m_refusingNew = false;
};

} // namespace celeryroute
