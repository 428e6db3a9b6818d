#include <celeryroute/detail/gateway/call.h>

#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/gateway/gateway.h>
#include <celeryroute/detail/gateway/httpstatus.h>
#include <celeryroute/detail/net/clock.h>
#include <celeryroute/detail/telemetry/reasonnames.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace celeryroute {

namespace {

constexpr Duration MaxCallDuration = std::chrono::minutes(10);
constexpr Duration QuarantineRetryAfter = std::chrono::seconds(5);

} // namespace

Call::Call(Gateway &gateway, std::uint64_t number, CallerConnection &caller, CallerRequest request)
    : m_gateway(gateway)
    , m_number(number)
    , m_connection(&caller)
    , m_caller(&caller)
    , m_request(std::move(request))
    , m_body(std::make_shared<const std::string>(std::move(m_request.body)))
    , m_fields(readCallFields(m_request.head, gateway.names()))
    , m_deadline(m_request.received + MaxCallDuration)
    , m_splitter(gateway.names().weightsVersion)
    , m_callerIdleSince(m_request.received)
{}

Call::~Call()
{
    m_gateway.loop().cancel(m_deadlineTimer);
    m_gateway.loop().cancel(m_stallTimer);
}

Duration Call::remaining() const
{
    return m_deadline - m_gateway.loop().now();
}

TimePoint Call::callerDeadline() const
{
    const Duration idleTimeout = m_route->callerIdleTimeout;
    return idleTimeout > Duration::zero() ? std::min(m_deadline, m_callerIdleSince + idleTimeout) : m_deadline;
}

void Call::begin()
{
    if (!resolveRouteAndCustomer()) {
        return;
    }
    m_requestDigest = stableHash(m_customerName + '\n' + m_request.head.target + '\n' + *m_body);
    m_sharedParts = sharedPartDigests(m_fields);
    if (refuseIfQuarantined()) {
        return;
    }
    const Duration deadline = m_fields.deadline.value_or(MaxCallDuration);
    const Duration timeout = m_route->timeout > Duration::zero() ? m_route->timeout : MaxCallDuration;
    m_deadline = m_request.received + std::min(deadline, timeout);
    if (m_gateway.mayBeCutByStop(m_deadline)) {
        refuse(HttpStatus::ServiceUnavailable, reasons::Stopping, DefaultRetryAfter);
        return;
    }
    if (chargeAllowance()) {
        admit();
    }
}

void Call::admit()
{
    selectPool();
    if (!pinSoftwareVersion()) {
        return;
    }
    m_deadlineTimer = m_gateway.loop().at(m_deadline, [this] {
        m_deadlineTimer = 0;
        deadlineReached();
    });
    chooseTarget();
}

// Nothing is charged, since the gateway has found that the allowance does not suffice. The attempt to spend tells the
// caller when it will.
void Call::refuseFromHead()
{
    m_isComplete = false;
    if (!resolveRouteAndCustomer()) {
        return;
    }
    if (chargeAllowance()) {
        refuse(HttpStatus::TooManyRequests, reasons::Allowance, DefaultRetryAfter); // Returns what was charged.
    }
}

// A request that repeatedly crashed its targets, or has a prompt part that does, is not sent to another target.
bool Call::refuseIfQuarantined()
{
    const bool quarantined = m_gateway.suspects().isQuarantined(m_requestDigest, m_gateway.loop().now());
    if (quarantined) {
        refuse(HttpStatus::ServiceUnavailable, reasons::Suspect, QuarantineRetryAfter);
        return true;
    }
    m_crashingPart = m_gateway.crashingPart(m_sharedParts);
    if (m_crashingPart) {
        refuse(HttpStatus::ServiceUnavailable, reasons::SuspectPart, QuarantineRetryAfter);
    }
    return m_crashingPart.has_value();
}

// Checked again before each send, because routes and keys may change while the call waits. If the route no longer
// exists, the previous one is kept, so that a call that has run ends by the rules it began with.
bool Call::resolveRouteAndCustomer()
{
    Admittance admitted = admittance();
    if (admitted.route != nullptr) {
        m_table = std::move(admitted.table);
        m_route = admitted.route;
        m_customer = admitted.customer;
    }
    if (admitted.refusal) {
        refuse(admitted.refusal->status, admitted.refusal->reason, admitted.refusal->retryAfter);
        return false;
    }
    m_customerName = m_customer == nullptr ? std::string() : m_customer->name;
    if (m_caller != nullptr) {
        m_caller->useCustomer(m_customerName);
    }
    return true;
}

Admittance Call::admittance() const
{
    return m_gateway.admittance(m_request.head, m_fields.key, !m_customerName.empty());
}

double Call::cost() const
{
    return costOf(m_fields, *m_customer);
}

bool Call::chargeAllowance()
{
    if (m_customer == nullptr || m_customer->ratePerSecond <= 0) {
        return true;
    }
    m_cost = cost();
    const TimePoint now = m_gateway.loop().now();
    AllowanceQueue &queue = m_gateway.allowanceQueue();
    const double share = m_gateway.admission().inputs(m_customerName, bootTimeNow()).share;
    AllowanceCall waiting{m_number,
                          m_cost,
                          Duration::zero(),
                          longestAllowanceWait(),
                          m_customer->ratePerSecond * share,
                          priority(),
                          {}};
    SpendResult result{Duration::zero(), 0};
    if (m_waitsForAllowance || !queue.isWaiting(m_customerName, waiting, now)) {
        result = m_gateway.admission().spend(m_customerName, m_cost, now);
    }
    if (!result.retryAfter) {
        leaveAllowanceQueue();
        m_charged = true;
        m_chargeStep = result.step;
        return true;
    }
    waiting.missing = *result.retryAfter;
    const bool fitsBurst = m_cost <= m_customer->burst;
    if (m_waitsForAllowance && *result.retryAfter <= waiting.longest) {
        queue.postpone(m_customerName, *result.retryAfter, now);
        return false;
    }
    const bool mayWait = m_isComplete && fitsBurst && m_gateway.allowanceWait() > 0;
    if (mayWait && !m_waitsForAllowance && queue.add(m_customerName, waiting, now)) {
        m_waitsForAllowance = true;
        logAllowanceWait(waiting);
        m_gateway.processAllowanceQueue();
        return false;
    }
    const Duration turn = m_waitsForAllowance ? *result.retryAfter : queue.expectedWait(m_customerName, waiting, now);
    leaveAllowanceQueue();
    refuse(HttpStatus::TooManyRequests, fitsBurst ? reasons::Allowance : reasons::BeyondBurst, turn);
    return false;
}

// A call is held for a part of the time in which its caller wants the answer, so that it can still be in time.
Duration Call::longestAllowanceWait() const
{
    constexpr int RemainingParts = 4; // Bounds the wait where the route has no latency goal.
    const Duration most = remaining() / RemainingParts;
    const Duration goal = m_route->targetLatency > Duration::zero() ? m_route->targetLatency : most;
    const Duration held = m_gateway.loop().now() - m_request.received;
    return std::min(most, fromSeconds(toSeconds(goal) * m_gateway.allowanceWait()) - held);
}

void Call::logAllowanceWait(const AllowanceCall &waiting)
{
    const TimePoint now = m_gateway.loop().now();
    m_gateway.log().write(DecisionEvent::RequestQueued,
                          now,
                          m_fields.requestId,
                          {{fieldnames::Reason, "allowance"},
                           {"expected_ms", waiting.missing},
                           {"limit_ms", waiting.longest},
                           {fieldnames::StateVersion, stateVersion()}});
}

void Call::leaveAllowanceQueue()
{
    if (std::exchange(m_waitsForAllowance, false)) {
        m_gateway.allowanceQueue().remove(m_customerName, m_number);
    }
}

void Call::retryCharge()
{
    const std::string customer = m_customerName;
    if (!resolveRouteAndCustomer()) {
        return;
    }
    if (m_customerName != customer) {
        // The key belongs to another customer now.
        m_gateway.allowanceQueue().remove(customer, m_number);
        m_waitsForAllowance = false;
    }
    if (chargeAllowance()) {
        admit();
    }
}

void Call::selectPool()
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
    if (m_readingPaused && isAttemptInProgress()) {
        m_readingPaused = false;
        m_current->noteProgress(m_gateway.loop().now());
        m_current->setReading(true);
        startStallTimer();
    }
}

} // namespace celeryroute
