#pragma once

#include <cstdint>
#include <string>

namespace celeryroute {

/// @brief A plain TCP connection to a loopback port, for bytes that no client library would send.
class RawConnection
{
public:
    explicit RawConnection(std::uint16_t port);
    ~RawConnection();
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    bool connected() const;
    bool send(const std::string &bytes) const;
    /// @brief Reads until @p text has arrived, the peer closes, or the hang guard fires.
    std::string receiveUntil(const std::string &text);
    /// @brief Reads until the peer closes; false when the hang guard fired first.
    bool closedByPeer();
    /// @brief Whether bytes or the peer's close wait to be read.
    bool readable() const;
    void closeNow();

private:
    int m_socket = -1;
};

} // namespace celeryroute
