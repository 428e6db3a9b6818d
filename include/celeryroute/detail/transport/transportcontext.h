#pragma once

#include <celeryroute/detail/transport/curvekeys.h>

#include <memory>

namespace celeryroute {

/// @brief The ZeroMQ context of a process, with an authenticator that admits only CurveKeys' owners.
///
/// Create it before and destroy it after every PeerServer and PeerLink that uses it.
class TransportContext
{
public:
    explicit TransportContext(CurveKeys keys);
    ~TransportContext();
    TransportContext(const TransportContext &) = delete;
    TransportContext &operator=(const TransportContext &) = delete;

    const CurveKeys &keys() const;
    void *handle() const; ///< The `zmq_ctx`.

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace celeryroute
