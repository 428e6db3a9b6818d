#pragma once

#include <string>
#include <thread>

namespace celeryroute {

/// @brief Admits only connections that prove possession of one CURVE key pair.
///
/// Answers ZeroMQ's authentication requests (RFC 27) on a thread until the context shuts down.
class ZapAuthenticator
{
public:
    /// @param publicKey Z85 text of the admitted public key.
    ZapAuthenticator(void *context, const std::string &publicKey);
    /// @brief Joins the thread; the context must be shut down before.
    ~ZapAuthenticator();
    ZapAuthenticator(const ZapAuthenticator &) = delete;
    ZapAuthenticator &operator=(const ZapAuthenticator &) = delete;

private:
    void run();

    void *m_socket;
    std::string m_admittedKey; ///< 32 bytes.
    std::thread m_thread;
};

} // namespace celeryroute
