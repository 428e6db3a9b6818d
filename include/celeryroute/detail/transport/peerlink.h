#pragma once

#include <celeryroute/detail/transport/transportcontext.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace celeryroute {

namespace proto {
class Envelope;
}

/// @brief A link to one other process; used by one thread.
///
/// Connects in the background. It never waits on a silent connection: the owner watches
/// lastReceived() and calls reconnect(), which opens a new connection and forgets what was queued.
class PeerLink
{
public:
    PeerLink(TransportContext &context, std::string endpoint, TimePoint now);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    const std::string &endpoint() const;
    void *socket() const; ///< The ZeroMQ socket, for zmq_poll.
    bool send(const proto::Envelope &envelope);
    std::shared_ptr<const proto::Envelope> receive(TimePoint now);
    TimePoint lastReceived() const;
    void reconnect(TimePoint now);

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace celeryroute
