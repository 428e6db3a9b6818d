#include <celeryroute/detail/node/asynchttpclient.h>

#include <celeryroute/detail/base/compactbuffer.h>
#include <celeryroute/detail/http1/messagewriter.h>

#include <vector>

namespace celeryroute {

class AsyncHttpClient::Exchange final : public ExchangeUser
{
public:
    Exchange(AsyncHttpClient &owner, Answered answered)
        : m_owner(owner)
        , m_answered(std::move(answered))
    {}
    ~Exchange() override
    {
        m_owner.m_loop.cancel(m_timer);
    }

    void start(TargetRequest request, Duration timeout)
    {
        m_timer = m_owner.m_loop.at(m_owner.m_loop.now() + timeout, [this] { abort(); });
        m_connection = &m_owner.m_channels.start(m_owner.m_server, std::move(request), *this);
    }

    /// @brief Ends the call without an answer, if it is still in progress.
    void abort()
    {
        if (m_timer == 0) {
            return;
        }
        m_connection->abandon();
        m_head = {};
        finish();
    }

    void exchangeHead(MessageHead head) override
    {
        m_head = std::move(head);
    }
    void exchangeBody(std::string &body) override
    {
        appendCompactly(m_body, body);
        release(body);
        if (m_body.size() > MaxAnswerBytes) {
            release(m_body);
            abort();
        }
    }
    void exchangeComplete() override
    {
        finish();
    }
    void exchangeFailed(ExchangeFailure) override
    {
        m_head = {};
        finish();
    }

private:
    void finish()
    {
        // The answer and the timeout may both be due in the same event loop iteration.
        m_owner.m_loop.cancel(m_timer);
        m_timer = 0;
        const Answered answered = std::move(m_answered);
        const std::string body = std::move(m_body);
        m_owner.finish(this);
        answered(m_head, body);
    }

    AsyncHttpClient &m_owner;
    Answered m_answered;
    TargetConnection *m_connection = nullptr;
    EventLoop::TimerId m_timer = 0;
    MessageHead m_head;
    std::string m_body;
};

AsyncHttpClient::AsyncHttpClient(EventLoop &loop, const Endpoint &server)
    : m_loop(loop)
    , m_server(server)
    , m_host(toString(server))
    , m_channels(loop, {})
{}

AsyncHttpClient::~AsyncHttpClient() = default;

void AsyncHttpClient::call(const OutgoingRequest &call, Duration timeout, Answered answered, Connection connection)
{
    TargetRequest request;
    request.single = connection == Connection::Own;
    appendRequestLine(request.head, call.method, call.target);
    appendField(request.head, "Host", m_host);
    for (const HeaderField &field : call.fields) {
        appendField(request.head, field.name, field.value);
    }
    if (!call.contentType.empty()) {
        appendField(request.head, "Content-Type", call.contentType);
        appendField(request.head, "Content-Length", std::to_string(call.body.size()));
    }
    request.head.append("\r\n");
    request.body = call.body;
    auto exchange = std::make_unique<Exchange>(*this, std::move(answered));
    Exchange *begun = exchange.get();
    m_exchanges.emplace(begun, std::move(exchange));
    begun->start(std::move(request), timeout);
}

void AsyncHttpClient::useServer(const Endpoint &server)
{
    if (server == m_server) {
        return;
    }
    m_server = server;
    m_host = toString(server);
    std::vector<Exchange *> inWork;
    for (const auto &[exchange, owner] : m_exchanges) {
        inWork.push_back(exchange);
    }
    for (Exchange *exchange : inWork) {
        exchange->abort();
    }
}

void AsyncHttpClient::finish(Exchange *exchange)
{
    m_loop.defer([this, exchange] { m_exchanges.erase(exchange); });
}

} // namespace celeryroute
