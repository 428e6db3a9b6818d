#include <celeryroute/detail/gateway/call.h>

#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/gateway/gateway.h>
#include <celeryroute/detail/gateway/httpstatus.h>
#include <celeryroute/detail/net/clock.h>
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
    , m_connection(&caller)
    , m_caller(&caller)
    , m_request(std::move(request))
    , m_fields(readCallFields(m_request.head, gateway.names()))
    , m_limit(m_request.received + UnlimitedCall)
    , m_events(gateway.names().weightsVersion)
    , m_lastProgress(m_request.received)
    , m_heardAt(m_request.received)
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

TimePoint Call::silenceLimit() const
{
    const Duration patience = m_route->callerPatience;
    return patience > Duration::zero() ? std::min(m_limit, m_heardAt + patience) : m_limit;
}

void Call::begin()
{
    if (!stateHolds()) {
        return;
    }
    m_digest = stableHash(m_customerName + '\n' + m_request.head.target + '\n' + m_request.body);
    if (heldBack()) {
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

// A quarantined request, one that repeatedly crashed its targets, is not sent to another target.
bool Call::heldBack()
{
    const bool held = m_gateway.suspects().quarantined(m_digest, m_gateway.loop().now());
    if (held) {
        refuse(HttpStatus::ServiceUnavailable, reasons::Suspect, QuarantineRetryAfter);
    }
    return held;
}

// Checked again before each send, because routes and keys may change while the call waits.
bool Call::stateHolds()
{
    const std::shared_ptr<const RouteTable> &table = m_gateway.table();
    if (table == nullptr) {
        refuse(HttpStatus::ServiceUnavailable, reasons::NoState, NoStateRetryAfter);
        return false;
    }
    return findRoute(table) && findCustomer();
}

// When the route no longer exists, the previous one is kept: a call that has run is finished by its rules.
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
        const bool held = !m_customerName.empty();
        refuse(HttpStatus::Unauthorized,
               !m_fields.key ? reasons::KeyMissing
                   : held    ? reasons::KeyWithdrawn
                             : reasons::KeyUnknown,
               {});
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
    // Both counts come from the caller. Adding them as doubles can't overflow.
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
    const Spending spending = m_gateway.admission().spend(m_customerName, m_cost, m_gateway.loop().now());
    if (spending.retryAfter) {
        const bool possible = m_cost <= m_customer->burst;
        refuse(HttpStatus::TooManyRequests, possible ? reasons::Allowance : reasons::BeyondBurst, *spending.retryAfter);
        return false;
    }
    m_charged = true;
    m_spendingStep = spending.step;
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

void Call::callerDrained()
{
    if (m_held && m_exchange != nullptr) {
        m_held = false;
        m_lastProgress = m_gateway.loop().now();
        m_exchange->setReading(true);
        armStall();
    }
}

} // namespace celeryroute
