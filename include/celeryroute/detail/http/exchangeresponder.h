#pragma once

#include <celeryroute/detail/http/httpexchange.h>
#include <celeryroute/detail/http/httpserver.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace celeryroute {

/// Hands the calls of the answering side to the exchange; its destruction gives an answer up.
class ExchangeResponder : public HttpResponder
{
public:
    explicit ExchangeResponder(std::shared_ptr<HttpExchange> exchange)
        : m_exchange(std::move(exchange))
    {}
    ~ExchangeResponder() override
    {
        m_exchange->abandon();
    }
    ExchangeResponder(const ExchangeResponder &) = delete;
    ExchangeResponder &operator=(const ExchangeResponder &) = delete;

    void respond(HttpResponse response) override
    {
        m_exchange->respond(std::move(response));
    }
    void begin(int status, HttpFields headers) override
    {
        m_exchange->begin(status, std::move(headers));
    }
    void write(std::string data) override
    {
        m_exchange->write(data);
    }
    void end(bool complete) override
    {
        m_exchange->end(complete);
    }
    std::size_t pendingBytes() const override
    {
        return m_exchange->pendingBytes();
    }
    bool closed() const override
    {
        return m_exchange->closed();
    }
    void onClosed(std::function<void()> callback) override
    {
        m_exchange->onClosed(std::move(callback));
    }

private:
    std::shared_ptr<HttpExchange> m_exchange;
};

} // namespace celeryroute
