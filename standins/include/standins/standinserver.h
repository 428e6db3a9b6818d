#pragma once

#include <celeryroute/detail/http/httpserver.h>
#include <standins/faultstate.h>
#include <standins/receivedbytes.h>
#include <standins/timer.h>

#include <atomic>
#include <memory>
#include <string>

namespace celeryroute {

/// @brief The HTTP side that all stand-ins share: faults, controls and the record of what came in.
class StandinServer
{
public:
    StandinServer(HttpServerSettings settings, Timer &timer, HttpHandler handler);
    ~StandinServer();
    StandinServer(const StandinServer &) = delete;
    StandinServer &operator=(const StandinServer &) = delete;

    Result<void> start();
    std::uint16_t port() const;
    void stop();

private:
    void receive(HttpRequest request, std::shared_ptr<HttpResponder> responder);
    void handleWithFaults(HttpRequest request, std::shared_ptr<HttpResponder> responder);
    bool handleControl(const HttpRequest &request, HttpResponder &responder);
    void changeFaults(const HttpRequest &request, HttpResponder &responder);

    Timer &m_timer;
    HttpHandler m_handler;
    std::shared_ptr<FaultState> m_faults;
    ReceivedBytes m_received;
    std::atomic<std::uint64_t> m_lastConnection = 0;
    HttpServer m_server;
};

/// @brief An answer with a JSON body.
HttpResponse jsonResponse(int status, const std::string &body);

} // namespace celeryroute
