#pragma once

#include <celeryroute/detail/gateway/gateway.h>
#include <celeryroute/detail/net/endpoint.h>
#include <celeryroute/detail/net/eventloop.h>

#include "servingtarget.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief Turns @p loop until @p condition holds; false when it never does.
bool turnUntil(EventLoop &loop, const std::function<bool()> &condition);

/// @brief Turns @p loop often enough for everything that is under way on loopback to arrive.
void settle(EventLoop &loop);

/// A caller that writes bytes and reads what comes.
class RawCaller
{
public:
    /// @param receiveBuffer bytes that the system takes in for it; 0 for the usual
    RawCaller(EventLoop &loop, const Endpoint &endpoint, int receiveBuffer = 0);
    ~RawCaller();
    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    void send(const std::string &bytes);
    void close();
    /// @brief All bytes that came so far.
    const std::string &received();
    /// @brief Whether the other side has ended the connection.
    bool ended();
    bool wasReset();
    /// @brief Turns until @p text came.
    bool waitFor(const std::string &text);
    bool waitForEnd();

private:
    void drain();

    EventLoop &m_loop;
    int m_socket;
    bool m_ended = false;
    bool m_reset = false;
    std::string m_received;
};

/// @brief What @p text holds between the empty line after the head and the end.
std::string bodyOf(const std::string &text);

/// @brief How often @p part is in @p text.
std::size_t countOf(const std::string &text, const std::string &part);

} // namespace celeryroute
