#include <celeryroute/detail/transport/transportcontext.h>

#include "zapauthenticator.h"

#include <zmq.h>

namespace celeryroute {

class TransportContext::Private
{
public:
    explicit Private(CurveKeys keys)
        : keys(std::move(keys))
        , context(zmq_ctx_new())
    {
        if (this->keys.enabled()) {
            authenticator = std::make_unique<ZapAuthenticator>(context, this->keys.publicKey);
        }
    }

    ~Private()
    {
        zmq_ctx_shutdown(context);
        authenticator.reset();
        zmq_ctx_term(context);
    }

    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    CurveKeys keys;
    void *context;
    std::unique_ptr<ZapAuthenticator> authenticator;
};

TransportContext::TransportContext(CurveKeys keys)
    : m_private(std::make_unique<Private>(std::move(keys)))
{}

TransportContext::~TransportContext() = default;

const CurveKeys &TransportContext::keys() const
{
    return m_private->keys;
}

void *TransportContext::handle() const
{
    return m_private->context;
}

} // namespace celeryroute
