#include "faultytarget.h"

#include <celeryroute/detail/net/eventloop.h>

#include <chrono>
#include <iterator>

namespace celeryroute {

using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr Duration LoadTime = 150ms;
constexpr int Events = 3;
constexpr std::size_t ModelsHeld = 1; ///< Of the two that callers ask for.

std::string ownFields(const std::string &more = {})
{
    return "X-Request-Id: {id}\r\nKeep-Alive: timeout=5\r\n" + more;
}

} // namespace

FaultyTarget::FaultyTarget(const Surroundings &surroundings,
                           std::string name,
                           std::string pool,
                           const Endpoint &endpoint)
    : m_around(surroundings)
    , m_name(std::move(name))
    , m_pool(std::move(pool))
    , m_endpoint(endpoint)
{}

void FaultyTarget::start(bool newId)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    ++m_starts;
    if (newId || m_id.empty()) {
        m_id = m_name + '-' + std::to_string(m_starts);
    }
    m_bornMs = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    m_models.clear();
    m_copies.clear();
    m_orders = 0;
    m_busy = false;
    m_server = std::make_unique<ScriptedTarget>(m_around.loop, m_endpoint);
    m_server->onRequest([this](const Request &request) { serve(request); });
    json record = {{"service", m_pool}, {"address", toString(m_endpoint)}, {"zone", "a"}, {"version", "1"}};
    record.update({{"slots", 8}, {"state", "ready"}, {"cold_remaining_ms", 0}});
    record.update(report());
    m_around.store.put("keyed.servers", m_id, record.dump());
}

void FaultyTarget::crash()
{
    for (std::size_t channel = 0; channel < m_server->channels(); ++channel) {
        m_server->reset(channel);
    }
    m_server.reset();
}

void FaultyTarget::expire(const std::string &id)
{
    m_around.store.put("keyed.servers", id, {});
}

void FaultyTarget::freeze(TimePoint until)
{
    m_frozenUntil = until;
}

void FaultyTarget::useEndpoint(const Endpoint &endpoint)
{
    m_endpoint = endpoint;
}

bool FaultyTarget::happens(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(m_around.random) < share;
}

Duration FaultyTarget::within(Duration least, Duration most)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(least.count(), most.count())(m_around.random));
}

// Whatever a lifetime had in hand ends with it.
void FaultyTarget::after(Duration delay, const std::function<void()> &action)
{
    m_around.loop.at(std::max(m_around.loop.now() + delay, m_frozenUntil), [this, action, lifetime = m_starts] {
        if (lifetime == m_starts && isUp()) {
            action();
        }
    });
}

void FaultyTarget::serve(const Request &request)
{
    if (m_around.loop.now() < m_frozenUntil) {
        after(m_frozenUntil - m_around.loop.now(), [this, request] { serveRequest(request); });
    } else {
        serveRequest(request);
    }
}

void FaultyTarget::serveRequest(const Request &request)
{
    if (const auto copy = m_copies.extract(request.channel)) {
        m_server->send(request.channel, copy.mapped());
    }
    if (request.head.target == "/api/report") {
        m_server->answer(request, httpAnswer(200, report().dump()));
    } else if (request.head.target == "/api/order") {
        order(request);
    } else if (request.field("X-Expect-Instance") != m_id
               || (isEngine() && !m_models.contains(request.field("X-Model")))) {
        refuse(request, 421);
    } else if (happens(m_around.faults.refusals)) {
        constexpr int Statuses[] = {503, 503, 429, 400};
        refuse(request, Statuses[m_around.random() % std::size(Statuses)]);
    } else {
        run(request);
    }
}

json FaultyTarget::report() const
{
    json models = json::array();
    for (const std::string &model : m_models) {
        models.push_back({{"name", model}, {"version", 3}, {"adapters", json::array()}});
    }
    return {{"stage", "combined"},
            {"models", models},
            {"busy", m_busy},
            {"sequence", m_orders},
            {"queued", 0},
            {"active", 0},
            {"kv_used", 0},
            {"kv_total", 100000},
            {"born", m_bornMs},
            {"available", {{"in_memory", json::array()}, {"on_disk", {"m1", "m2"}}}}};
}

void FaultyTarget::order(const Request &request)
{
    const json order = json::parse(request.body);
    const bool isOther = request.field("X-Expect-Instance") != m_id;
    const bool conflicts = m_busy || order.value("precondition", m_orders) != m_orders;
    const bool isLoad = order["operation"] == "load";
    const std::string model = order["model"];
    if (isOther || conflicts || (isLoad && m_models.size() >= ModelsHeld && !m_models.contains(model))) {
        m_server->answer(request, httpAnswer(isOther ? 421 : 409, {}));
        return;
    }
    ++m_orders;
    m_busy = true;
    m_server->answer(request, httpAnswer(202, "{}"));
    after(LoadTime, [this, isLoad, model] {
        m_busy = false;
        if (isLoad) {
            m_models.insert(model);
        } else {
            m_models.erase(model);
        }
    });
}

void FaultyTarget::run(const Request &request)
{
    m_around.judge.ran(request.field("X-Request-Id"), m_id);
    const bool isStream = request.head.target.starts_with("/chat/") || request.head.target.starts_with("/feed/");
    if (happens(m_around.faults.losses)) {
        after(within(1ms, 30ms), [this, request] { m_server->reset(request.channel); });
        return;
    }
    const Duration work = happens(m_around.faults.slowAnswers) ? within(200ms, 900ms) : within(2ms, 40ms);
    if (isStream) {
        after(work, [this, request] {
            m_server->answer(request,
                             "HTTP/1.1 200 OK\r\n"
                                 + ownFields("X-Server-Signature: s\r\nX-Weight-Versions: 3\r\nContent-Type: "
                                             "text/event-stream\r\nTransfer-Encoding: chunked\r\n")
                                 + "\r\n");
            runStream(request, 1);
        });
        return;
    }
    after(work, [this, request] { send(request, httpAnswer(200, "done", ownFields("X-Server-Signature: s\r\n"))); });
}

void FaultyTarget::runStream(const Request &request, int event)
{
    m_server->send(request.channel, "15\r\nid: " + std::to_string(event) + "\ndata: a token\n\n\r\n");
    after(within(5ms, 30ms), [this, request, event] {
        if (event == Events) {
            m_server->send(request.channel, "0\r\n\r\n");
        } else {
            runStream(request, event + 1);
        }
    });
}

void FaultyTarget::refuse(const Request &request, int status)
{
    send(request, httpAnswer(status, {}, ownFields("X-Not-Executed: 1\r\nX-Instance-Id: " + m_id + "\r\n")));
}

void FaultyTarget::send(const Request &request, const std::string &answer)
{
    m_server->answer(request, answer);
    if (!happens(m_around.faults.repeats)) {
        return;
    }
    std::string copy = answer;
    copy.replace(copy.find("{id}"), 4, request.field("X-Request-Id"));
    switch (m_around.random() % 4) {
    case 0:
        m_server->send(request.channel, copy);
        return;
    case 1:
        after(within(1ms, 100ms), [this, request, copy] { m_server->send(request.channel, copy); });
        return;
    default:
        m_copies[request.channel] = copy;
        return;
    }
}

} // namespace celeryroute
