#pragma once

#include <celeryroute/detail/net/endpoint.h>
#include <celeryroute/result.h>
#include <celeryroute/time.h>

namespace celeryroute {

/// @brief A non-blocking socket that listens for connections; error 105 names the address.
Result<int> listenTcp(const Endpoint &endpoint);

/// @brief The port that @p socket is bound to.
std::uint16_t boundPort(int socket);

/// @brief A non-blocking datagram socket bound to @p endpoint; error 105 names the address.
Result<int> bindUdp(const Endpoint &endpoint);

/// @brief Begins a connection; -1 when none can be made. Writable once it is established.
int beginConnect(const Endpoint &endpoint);

/// @brief Accepts one connection, non-blocking; -1 when none waits.
int acceptTcp(int listener);

/// @brief The IPv4 address of the peer of @p socket; 0 if it is not connected.
std::uint32_t peerIp(int socket);

/// @brief Ends a connection whose peer has acknowledged nothing, or not answered probes, for about
/// @p silence.
void limitSilence(int socket, Duration silence);

/// @brief Takes the error that is pending at a connection, also at one that was begun; 0 if there is none.
int takePendingError(int socket);

} // namespace celeryroute
