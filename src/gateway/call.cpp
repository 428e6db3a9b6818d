#include <celeryroute/detail/gateway/call.h>

#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/gateway/gateway.h>
#include <celeryroute/detail/gateway/httpstatus.h>
#include <celeryroute/detail/http1/messagewriter.h>
#include <celeryroute/detail/net/clock.h>
#include <celeryroute/detail/placement/itemkey.h>
#include <celeryroute/detail/telemetry/reasonnames.h>

#include <algorithm>
#include <numeric>

namespace celeryroute {

namespace {

constexpr Duration UnlimitedCall = std::chrono::minutes(10);
constexpr Duration NoStateRetryAfter = std::chrono::milliseconds(300);
constexpr Duration QuarantineRetryAfter = std::chrono::seconds(5);
constexpr Duration StaleKeysRetryAfter = std::chrono::milliseconds(500);

} // namespace

Call::Call(Gateway &gateway, std::uint64_t number, CallerConnection &caller, CallerRequest request)
    : m_gateway(gateway)
    , m_number(number)
    , m_caller(&caller)
    , m_request(std::move(request))
    , m_fields(readCallFields(m_request.head, gateway.names()))
    , m_limit(m_request.received + UnlimitedCall)
    , m_events(gateway.names().weightsVersion)
    , m_lastProgress(m_request.received)
{}

Call::~Call()
{
    m_gateway.loop().cancel(m_limitTimer);
    m_gateway.loop().cancel(m_stallTimer);
}

Duration Call::remaining() const
{
    return m_limit - m_gateway.loop().now();
}

void Call::begin()
{
    if (!stateHolds()) {
        return;
    }
    if (m_gateway.suspects().quarantined(digest(), m_gateway.loop().now())) {
        refuse(HttpStatus::ServiceUnavailable, reasons::Suspect, QuarantineRetryAfter);
        return;
    }
    const Duration deadline = m_fields.deadline.value_or(UnlimitedCall);
    const Duration timeout = m_route->timeout > Duration::zero() ? m_route->timeout : UnlimitedCall;
    m_limit = m_request.received + std::min(deadline, timeout);
    if (!takeAllowance()) {
        return;
    }
    pickPool();
    m_limitTimer = m_gateway.loop().at(m_limit, [this] {
        m_limitTimer = 0;
        limitReached();
    });
    attempt();
}

std::uint64_t Call::digest() const
{
    return stableHash(m_request.head.target + '\n' + m_request.body);
}

// Asked again before each send: routes and keys may have changed while the call waited.
bool Call::stateHolds()
{
    const std::shared_ptr<const RouteTable> &table = m_gateway.table();
    if (table == nullptr) {
        refuse(HttpStatus::ServiceUnavailable, reasons::NoState, NoStateRetryAfter);
        return false;
    }
    return findRoute(table) && findCustomer();
}

// A route that was found before stays until there is another: what has run is ended by its rules.
bool Call::findRoute(const std::shared_ptr<const RouteTable> &table)
{
    const std::string *host = m_request.head.field("Host");
    const ServingRoute *route = host == nullptr ? nullptr : table->route(*host, m_request.head.target);
    if (route != nullptr || m_route == nullptr) {
        m_table = table;
        m_route = route;
    }
    if (route == nullptr) {
        refuse(HttpStatus::NotFound, reasons::RouteUnknown, {});
    }
    return route != nullptr;
}

bool Call::findCustomer()
{
    m_customer = nullptr;
    if (!m_table->needsKeys() || (m_route->open && !m_fields.key)) {
        return true;
    }
    if (!m_gateway.admission().keysFresh(bootTimeNow())) {
        refuse(HttpStatus::ServiceUnavailable, reasons::KeysStale, StaleKeysRetryAfter);
        return false;
    }
    m_customer = m_fields.key ? m_table->customer(*m_fields.key) : nullptr;
    if (m_customer == nullptr) {
        refuse(HttpStatus::Unauthorized, m_fields.key ? reasons::KeyUnknown : reasons::KeyMissing, {});
        return false;
    }
    m_customerName = m_customer == nullptr ? std::string() : m_customer->name;
    return true;
}

double Call::cost() const
{
    if (!m_customer->countsTokens) {
        return 1;
    }
    // Added as numbers that cannot wrap: the caller chooses both.
    return m_fields.countsTokens
        ? static_cast<double>(m_fields.promptTokens) + static_cast<double>(m_fields.maxOutputTokens)
        : m_customer->plainCost;
}

bool Call::takeAllowance()
{
    if (m_customer == nullptr || m_customer->ratePerSecond <= 0) {
        return true;
    }
    m_cost = cost();
    const auto retryAfter = m_gateway.admission().spend(m_customerName, m_cost, m_gateway.loop().now());
    if (retryAfter) {
        refuse(HttpStatus::TooManyRequests, reasons::Allowance, *retryAfter);
        return false;
    }
    m_charged = true;
    return true;
}

void Call::pickPool()
{
    const std::uint64_t total = std::accumulate(m_route->pools.begin(),
                                                m_route->pools.end(),
                                                std::uint64_t{0},
                                                [](auto sum, const auto &pool) { return sum + pool.weight; });
    m_pool = m_route->pools.empty() ? std::string() : m_route->pools.front().pool;
    if (m_route->pools.size() < 2 || total == 0) {
        return;
    }
    std::uint64_t draw = stableHash(m_fields.requestId) % total;
    for (const PoolWeight &pool : m_route->pools) {
        if (draw < pool.weight) {
            m_pool = pool.pool;
            return;
        }
        draw -= pool.weight;
    }
}

void Call::callerLeft()
{
    m_caller = nullptr;
    // What may run once and has been sent goes on: breaking it off would leave its outcome in doubt.
    if (m_route != nullptr && m_route->kind == CallKind::AtMostOnce && m_exchange != nullptr && m_exchange->sentAny()) {
        return;
    }
    m_gateway.log().write(DecisionEvent::RequestAbandoned,
                          m_gateway.loop().now(),
                          m_fields.requestId,
                          {{fieldnames::Target, m_target},
                           {fieldnames::Attempt, m_sends},
                           {"total_ms", toMilliseconds(m_gateway.loop().now() - m_request.received)}});
    m_gateway.metrics().countRequest(m_route == nullptr ? CallKind::Idempotent : m_route->kind,
                                     RequestOutcome::Abandoned);
    endAttempt(CallEnd::Abandoned);
    done();
}

void Call::callerDrained()
{
    if (m_held && m_exchange != nullptr) {
        m_held = false;
        m_exchange->setReading(true);
    }
}

void Call::refuse(int status, std::string_view reason, Duration retryAfter)
{
    if (m_runs > 0) {
        failFinally(reason); // A refusal would say that it did not run.
        return;
    }
    const TimePoint now = m_gateway.loop().now();
    m_gateway.log().write(DecisionEvent::RequestRefused,
                          now,
                          m_fields.requestId,
                          {{"status", status},
                           {fieldnames::Reason, reason},
                           {"kind", m_route == nullptr ? std::string_view() : labelValue(m_route->kind)},
                           {fieldnames::Customer, m_customerName},
                           {"route", m_route == nullptr ? std::string_view() : std::string_view(m_route->name)},
                           {fieldnames::StateVersion, m_table == nullptr ? 0 : m_table->state().version},
                           {"retry_after_ms", toMilliseconds(retryAfter)},
                           {"held_ms", toMilliseconds(now - m_request.received)},
                           {"cost", m_cost},
                           {fieldnames::Item, itemKey(m_fields.model, m_fields.adapter)},
                           {fieldnames::Target, m_target}});
    m_gateway.metrics().countRefusal(reason);
    m_gateway.metrics().countRequest(m_route == nullptr ? CallKind::Idempotent : m_route->kind,
                                     RequestOutcome::Refused);
    const bool promise = status == HttpStatus::ServiceUnavailable || status == HttpStatus::TooManyRequests;
    answerOwn(status, promise ? std::optional(retryAfter) : std::nullopt);
}

void Call::answerOwn(int status, std::optional<Duration> retryAfter)
{
    constexpr double MsPerSecond = 1000;
    AnswerHead head{status, {}, {}};
    if (!m_fields.requestId.empty()) {
        head.fields.push_back({m_gateway.names().requestId, m_fields.requestId});
    }
    if (retryAfter) {
        const double seconds = std::max(0.05, static_cast<double>(toMilliseconds(*retryAfter)) / MsPerSecond); // NOLINT
        std::string text = std::to_string(seconds);
        text.resize(text.find('.') + 4);
        head.fields.push_back({"Retry-After", std::move(text)});
    }
    if (m_charged && m_runs == 0) {
        m_gateway.admission().refund(m_customerName, m_cost, m_request.received, m_gateway.loop().now());
        m_charged = false;
    }
    answerCaller(head, {});
}

void Call::answerCaller(const AnswerHead &head, std::string_view body)
{
    if (m_caller != nullptr) {
        m_caller->answer(head, body);
    }
    done();
}

void Call::done()
{
    m_phase = Phase::Done;
    m_gateway.queue().remove(m_number);
    m_gateway.loop().cancel(m_limitTimer);
    m_limitTimer = 0;
    m_gateway.loop().cancel(m_stallTimer);
    m_stallTimer = 0;
    m_caller = nullptr;
    m_gateway.finished(*this);
}

} // namespace celeryroute
