#include <celeryroute/detail/gateway/gateway.h>

#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/gateway/callfields.h>
#include <celeryroute/detail/gateway/httpstatus.h>
#include <celeryroute/detail/net/clock.h>
#include <celeryroute/detail/placement/pauserequest.h>
#include <celeryroute/detail/targetlimit/readlimit.h>
#include <celeryroute/detail/telemetry/reasonnames.h>
#include <celeryroute/resultcode.h>

#include <algorithm>
#include <set>

namespace celeryroute {

namespace {

constexpr Duration NoStateRetryAfter = std::chrono::milliseconds(300);
constexpr Duration StaleKeysRetryAfter = std::chrono::milliseconds(500);
constexpr Duration QueueInterval = std::chrono::milliseconds(50);
/// At a stop, a connection is closed only after it has been idle for this long. Callers are most likely to send their
/// next request right after they have connected or got an answer.
constexpr Duration ReuseTime = std::chrono::milliseconds(500);
/// Time for which loads that replace those of evacuated targets are requested. One target makes them in turn.
constexpr Duration ReplacementLifetime = std::chrono::seconds(3);
constexpr std::size_t MaxReconsidered = 64; ///< Waiting calls that are reconsidered at once.

/// @brief The logged reason for a request that was rejected with @p status before it became a call.
std::string_view rejectionReason(int status)
{
    switch (status) {
    case HttpStatus::RequestTimeout:
        return reasons::CallerSlow;
    case HttpStatus::ContentTooLarge:
    case HttpStatus::HeaderTooLarge:
        return reasons::TooLarge;
    case HttpStatus::ServiceUnavailable:
        return reasons::CallerEvicted;
    default:
        return reasons::Malformed;
    }
}

} // namespace

Gateway::Gateway(const Dependencies &dependencies, std::uint64_t seed, DemandChanged demandChanged)
    : m_dependencies(dependencies)
    , m_demandChanged(std::move(demandChanged))
    , m_server(dependencies.loop, *this)
    , m_channels(dependencies.loop, {dependencies.names.requestId, dependencies.names.notRun})
    , m_plainChooser(dependencies.targetTable, seed)
    , m_engineChooser(dependencies.targetTable, seed)
{
    m_dependencies.targetTable.onHealthChange([this](const HealthChange &change) { standingChanged(change); });
    m_dependencies.targetTable.onLeavingChange([this](const LeavingChange &change) { leavingChanged(change); });
    m_dependencies.targetTable.onColdChange([this](const ColdChange &change) { logCold(change); });
}

Gateway::~Gateway()
{
    m_dependencies.targetTable.onHealthChange({});
    m_dependencies.targetTable.onLeavingChange({});
    m_dependencies.targetTable.onColdChange({});
    m_dependencies.loop.cancel(m_resumeTimer);
    m_dependencies.loop.cancel(m_allowanceTimer);
}

void Gateway::standingChanged(const HealthChange &change)
{
    m_dependencies.log.write(change.ejected ? DecisionEvent::TargetShunned : DecisionEvent::TargetRestored,
                             m_dependencies.loop.now(),
                             {{fieldnames::Target, change.target},
                              {fieldnames::Reason, change.reason},
                              {change.ejected ? "for_ms" : "shunned_ms", change.span}});
}

void Gateway::leavingChanged(const LeavingChange &change)
{
    m_dependencies.log.write(DecisionEvent::TargetLeaving,
                             m_dependencies.loop.now(),
                             change.request,
                             {{fieldnames::Target, change.target},
                              {"pool", change.pool},
                              {"born_ms", change.bornMs},
                              {fieldnames::Reason, change.reason},
                              {"outcome", change.leaving ? "excluded" : "in_use"}});
}

void Gateway::logCold(const ColdChange &change)
{
    m_dependencies.log.write(DecisionEvent::TargetCold,
                             m_dependencies.loop.now(),
                             {{fieldnames::Target, change.target},
                              {"pool", change.pool},
                              {"remaining_ms", change.remaining},
                              {"per_second", change.perSecond},
                              {"source", change.source}});
}

void Gateway::useMaxTargetPause(Duration longest)
{
    m_maxTargetPause = longest;
}

void Gateway::useAllowanceWait(double share)
{
    m_allowanceWait = share;
}

void Gateway::useRankedGap(Duration gap)
{
    m_rankedGap = gap;
}

void Gateway::processAllowanceQueue()
{
    constexpr Duration LeastInterval = std::chrono::milliseconds(1);
    const TimePoint now = m_dependencies.loop.now();
    for (const std::uint64_t number : m_allowanceQueue.due(now)) {
        const auto call = m_calls.find(number);
        if (call != m_calls.end()) {
            call->second->retryCharge();
        }
    }
    m_dependencies.loop.cancel(m_allowanceTimer);
    m_allowanceTimer = 0;
    if (const std::optional<TimePoint> due = m_allowanceQueue.nextDue()) {
        m_allowanceTimer = m_dependencies.loop.at(std::max(*due, now + LeastInterval), [this] {
            m_allowanceTimer = 0;
            processAllowanceQueue();
        });
    }
}

void Gateway::notePause(const std::string &target, const std::string &asked)
{
    const TimePoint now = m_dependencies.loop.now();
    const std::optional<PauseRequest> pause = readPause(asked, m_maxTargetPause);
    const std::string_view outcome = !pause ? "ignored" : pause->bounded ? "bounded" : "taken";
    m_dependencies.metrics.countPause(outcome);
    m_dependencies.log.write(DecisionEvent::TargetPaused,
                             now,
                             {{fieldnames::Target, target},
                              {"asked", asked},
                              {"outcome", outcome},
                              {"for_ms", pause ? pause->length : Duration::zero()}});
    if (pause) {
        m_dependencies.targetTable.notePause(target, now + pause->length, now);
        scheduleResume();
    }
}

void Gateway::scheduleResume()
{
    m_dependencies.loop.cancel(m_resumeTimer);
    m_resumeTimer = 0;
    if (const auto due = m_dependencies.targetTable.nextResume()) {
        m_resumeTimer = m_dependencies.loop.at(*due, [this] {
            m_resumeTimer = 0;
            targetsChanged(m_dependencies.targetTable.resumePaused(m_dependencies.loop.now()));
            scheduleResume();
        });
    }
}

void Gateway::noteLimit(const AttemptDestination &destination, const std::vector<std::string_view> &named)
{
    constexpr std::size_t MaxLoggedText = 40;
    const TimePoint now = m_dependencies.loop.now();
    const ReadLimit read = readTargetLimit(named);
    if (!named.empty()) {
        m_dependencies.metrics.countLimit(labelValue(read.reading));
    }
    LimitChange change = LimitChange::None;
    if (read.reading == LimitReading::None) {
        change = m_dependencies.targetTable.limits().noteAnswer(destination.target,
                                                                {destination.bornMs, std::nullopt, destination.sentAt});
    } else if (read.reading != LimitReading::Malformed) {
        change = m_dependencies.targetTable.limits().noteAnswer(destination.target,
                                                                {destination.bornMs, read.perSecond, now});
    }
    if (change == LimitChange::None && read.reading != LimitReading::Malformed) {
        return;
    }
    if (change != LimitChange::None && m_advanceLimits) {
        m_advanceLimits();
    }
    const KnownTarget *known = m_dependencies.targetTable.target(destination.target);
    m_dependencies.log.write(DecisionEvent::TargetLimited,
                             now,
                             {{fieldnames::Target, destination.target},
                              {"pool", known == nullptr ? std::string_view() : known->record.pool},
                              {"change", labelValue(change)},
                              {"per_second", m_dependencies.targetTable.limits().perSecond(destination.target)},
                              {"asked", named.empty() ? std::string_view() : named.front().substr(0, MaxLoggedText)},
                              {"outcome", labelValue(read.reading)},
                              {"born_ms", destination.bornMs},
                              {fieldnames::Message, nextMessage()}});
}

void Gateway::targetDied(const std::string &target)
{
    for (const CrashSuspects::Suspicion &suspicion : m_suspects.targetDied(target, m_dependencies.loop.now())) {
        logSuspected(suspicion, target);
    }
}

void Gateway::noteUnanswered(const UnansweredSend &send)
{
    if (const auto suspicion = m_suspects.noteUnanswered(send, m_dependencies.loop.now())) {
        logSuspected(*suspicion, send.target);
    }
}

std::optional<std::uint64_t> Gateway::crashingPart(const std::vector<std::uint64_t> &parts)
{
    const TimePoint now = m_dependencies.loop.now();
    const std::optional<std::uint64_t> found = m_suspects.parts().find(parts, now);
    for (const PartChange &change : m_suspects.parts().takeChanges()) {
        m_dependencies.log.write(change.crashing ? DecisionEvent::PartSuspected : DecisionEvent::PartCleared,
                                 now,
                                 {{"part", change.part},
                                  {"crashes", change.crashing ? std::optional(change.crashes) : std::nullopt},
                                  {"answered_before", change.answeredBefore}});
    }
    return found;
}

void Gateway::logSuspected(const CrashSuspects::Suspicion &suspicion, const std::string &target)
{
    m_dependencies.log.write(DecisionEvent::RequestSuspected,
                             m_dependencies.loop.now(),
                             suspicion.id,
                             {{fieldnames::Target, target},
                              {"digest", suspicion.request},
                              {"crashes", suspicion.crashes},
                              {"parts", joinDigests(suspicion.parts)},
                              {fieldnames::Message, nextMessage()}});
}

Result<void> Gateway::listen(const Endpoint &endpoint)
{
    return m_server.listen(endpoint);
}

void Gateway::useMessageNumbers(std::function<std::uint64_t()> next)
{
    m_nextMessage = std::move(next);
}

std::optional<std::uint64_t> Gateway::nextMessage() const
{
    return m_nextMessage ? std::optional(m_nextMessage()) : std::nullopt;
}

void Gateway::setState(const ServingStatePtr &state)
{
    m_table = std::make_shared<const RouteTable>(state, m_rankedGap);
    m_limits = state->limits;
    m_dependencies.targetTable.setState(*state);
}

void Gateway::callerRequest(CallerConnection &connection, CallerRequest request)
{
    // Its target may need a descriptor.
    if (!m_server.makeRoom()) {
        const WholeAnswer answer = rejection(HttpStatus::ServiceUnavailable);
        requestRejected(answer.head.status);
        connection.answer(answer.head, answer.body);
        return;
    }
    addCall(connection, std::move(request)).begin();
}

Call &Gateway::addCall(CallerConnection &connection, CallerRequest request)
{
    const std::uint64_t number = m_nextCall++;
    m_unsentAnswers.erase(&connection);
    auto call = std::make_unique<Call>(*this, number, connection, std::move(request));
    Call &added = *call;
    m_calls.emplace(number, std::move(call));
    m_callsByCaller[&connection] = &added;
    return added;
}

Admittance Gateway::admittance(const MessageHead &head, const std::optional<std::string> &key, bool wasAuthorized) const
{
    Admittance admitted;
    admitted.table = m_table;
    if (admitted.table == nullptr) {
        admitted.refusal = AdmittanceRefusal{HttpStatus::ServiceUnavailable, reasons::NoState, NoStateRetryAfter};
        return admitted;
    }
    const std::string *host = head.field("Host");
    admitted.route = host == nullptr ? nullptr : admitted.table->route(*host, head.target);
    if (admitted.route == nullptr) {
        admitted.refusal = AdmittanceRefusal{HttpStatus::NotFound, reasons::RouteUnknown};
        return admitted;
    }
    if (!admitted.table->needsKeys() || (admitted.route->open && !key)) {
        return admitted;
    }
    if (!m_dependencies.admission.areKeysFresh(bootTimeNow())) {
        admitted.refusal = AdmittanceRefusal{HttpStatus::ServiceUnavailable, reasons::KeysStale, StaleKeysRetryAfter};
        return admitted;
    }
    admitted.customer = key ? admitted.table->customer(*key) : nullptr;
    if (admitted.customer == nullptr) {
        admitted.refusal = AdmittanceRefusal{HttpStatus::Unauthorized,
                                             !key                ? reasons::KeyMissing
                                                 : wasAuthorized ? reasons::KeyWithdrawn
                                                                 : reasons::KeyUnknown};
    }
    return admitted;
}

bool Gateway::refusesHead(CallerConnection &connection, const MessageHead &head)
{
    const CallFields fields = readCallFields(head, m_dependencies.names);
    const Admittance admitted = admittance(head, fields.key, false);
    // What the process lacks may have come when the body is complete.
    if (admitted.refusal) {
        return admitted.refusal->status != HttpStatus::ServiceUnavailable;
    }
    if (admitted.customer == nullptr) {
        return false;
    }
    const ServingCustomer &customer = *admitted.customer;
    connection.useCustomer(customer.name);
    if (customer.ratePerSecond <= 0) {
        return false;
    }
    // A call may wait for what is filled meanwhile, once it is complete.
    const double share = m_dependencies.admission.inputs(customer.name, bootTimeNow()).share;
    const double filled = customer.ratePerSecond * share * toSeconds(admitted.route->targetLatency) * m_allowanceWait;
    return !m_dependencies.admission.canSpend(customer.name,
                                              std::max(0.0, costOf(fields, customer) - filled),
                                              m_dependencies.loop.now());
}

void Gateway::refuseRequest(CallerConnection &connection, CallerRequest request)
{
    addCall(connection, std::move(request)).refuseFromHead();
}

void Gateway::connectionEvicted(CallerConnection &, const Eviction &eviction)
{
    m_dependencies.log.write(DecisionEvent::CallerEvicted,
                             m_dependencies.loop.now(),
                             {{fieldnames::Reason, labelValue(eviction.reason)},
                              {"held_bytes", eviction.bytes},
                              {"total_bytes", eviction.total},
                              {"limit_bytes", m_server.account().limit()},
                              {"idle_ms", eviction.idle},
                              {"code", static_cast<int>(ResultCode::CallerEvicted)}});
    m_dependencies.metrics.countEviction(eviction.reason);
}

WholeAnswer Gateway::rejection(int status) const
{
    WholeAnswer answer{{status, {}, {}}, {}};
    if (status == HttpStatus::ServiceUnavailable) {
        answer.head.fields.push_back({"Retry-After", "1"});
    }
    return answer;
}

void Gateway::limitCallers(std::size_t memoryBytes, std::size_t descriptors)
{
    m_server.account().setLimit(memoryBytes);
    m_server.limitDescriptors(descriptors, [this] { return m_channels.size(); });
}

void Gateway::callerLeft(CallerConnection &connection)
{
    const auto found = m_callsByCaller.find(&connection);
    if (found != m_callsByCaller.end()) {
        found->second->callerLeft();
    }
}

void Gateway::callerDrained(CallerConnection &connection)
{
    const auto found = m_callsByCaller.find(&connection);
    if (found != m_callsByCaller.end()) {
        found->second->callerDrained();
    }
}

void Gateway::requestRejected(int status)
{
    const std::string_view reason = rejectionReason(status);
    m_dependencies.log.write(DecisionEvent::RequestRefused,
                             m_dependencies.loop.now(),
                             {{"status", status}, {fieldnames::Reason, reason}});
    m_dependencies.metrics.countRefusal(reason);
    m_dependencies.metrics.countRequest(CallKind::Idempotent, RequestOutcome::Refused);
}

void Gateway::noteUnsentAnswer(CallerConnection &connection, const std::string &request)
{
    m_unsentAnswers[&connection] = request;
}

void Gateway::answerDropped(CallerConnection &connection, std::size_t unsent)
{
    const auto found = m_unsentAnswers.find(&connection);
    m_dependencies.log.write(DecisionEvent::AnswerDropped,
                             m_dependencies.loop.now(),
                             found == m_unsentAnswers.end() ? std::string() : found->second,
                             {{"unsent_bytes", unsent}, {"idle_limit_ms", m_limits.idleTimeout}});
    m_dependencies.metrics.countAnswerDropped();
}

void Gateway::connectionEnded(CallerConnection &connection)
{
    m_unsentAnswers.erase(&connection);
    m_callsByCaller.erase(&connection);
    m_server.discard(connection);
}

const CallerLimits &Gateway::callerLimits() const
{
    return m_limits;
}

void Gateway::finished(Call &call)
{
    const auto entry = m_callsByCaller.find(call.connection());
    if (entry != m_callsByCaller.end() && entry->second == &call) {
        m_callsByCaller.erase(entry);
    }
    m_dependencies.loop.defer([this, number = call.number()] { m_calls.erase(number); });
}

void Gateway::enqueue(const WaitingCall &call)
{
    const WaitingCall *before = m_queue.find(call.call);
    const std::string previous = before == nullptr ? std::string() : before->loadTarget;
    m_queue.put(call);
    if (!previous.empty() && previous != call.loadTarget) {
        noteDemand(previous, false);
    }
    if (!call.loadTarget.empty() && previous != call.loadTarget) {
        noteDemand(call.loadTarget, true);
    }
    if (!call.permitTarget.empty() && m_advanceLimits) {
        m_advanceLimits();
    }
    scheduleQueueProcessing();
}

void Gateway::permitsArrived(const std::vector<std::string> &targets)
{
    const TimePoint now = m_dependencies.loop.now();
    for (const std::string &target : targets) {
        const std::uint32_t permits = m_dependencies.targetTable.limits().permits(target, now);
        for (const std::uint64_t call : m_queue.waitingForPermit(target, permits)) {
            reconsider(call);
        }
    }
}

void Gateway::requestSpareReplica(const LoadRequest &want)
{
    m_spareReplicas[want.target] = SpareReplica{want.item, m_dependencies.loop.now()};
    noteDemand(want.target, true);
}

std::size_t Gateway::replaceEvacuated()
{
    const TimePoint now = m_dependencies.loop.now();
    // What an evacuation shortly before has requested may still wait at its target for other loads.
    for (auto &[target, replacements] : m_replacements) {
        const KnownTarget *known = m_dependencies.targetTable.target(target);
        const bool isUsable = known != nullptr && known->acceptsCalls();
        std::erase_if(replacements, [now, isUsable](const SpareReplica &replacement) {
            return !isUsable || now - replacement.since >= ReplacementLifetime;
        });
    }
    std::erase_if(m_replacements, [](const auto &replacements) { return replacements.second.empty(); });
    const std::vector<LoadRequest> requests = m_engineChooser.replaceEvacuated(now);
    std::set<std::string> asked;
    for (const LoadRequest &request : requests) {
        m_replacements[request.target].push_back({request.item, now});
        asked.insert(request.target);
    }
    for (const std::string &target : asked) {
        noteDemand(target, true);
    }
    return requests.size();
}

std::vector<DemandedItem> Gateway::demandAt(const std::string &target) const
{
    constexpr Duration SpareLifetime = std::chrono::seconds(1);
    constexpr std::uint32_t SparePriority = 9;
    constexpr std::uint32_t ReplacementPriority = 8; // Calls that wait go first.
    std::vector<DemandedItem> wants = m_queue.demandAt(target);
    const auto spare = m_spareReplicas.find(target);
    if (spare != m_spareReplicas.end() && m_dependencies.loop.now() - spare->second.since < SpareLifetime) {
        wants.push_back({spare->second.item, 1, SparePriority, spare->second.since});
    }
    const auto replacements = m_replacements.find(target);
    if (replacements != m_replacements.end()) {
        for (const SpareReplica &replacement : replacements->second) {
            const bool isWanted = std::any_of(wants.begin(), wants.end(), [&replacement](const DemandedItem &want) {
                return want.item == replacement.item;
            });
            if (!isWanted && m_dependencies.loop.now() - replacement.since < ReplacementLifetime) {
                wants.push_back({replacement.item, 1, ReplacementPriority, replacement.since});
            }
        }
    }
    return wants;
}

void Gateway::noteDemand(const std::string &target, bool urgent)
{
    m_demandChanged(target, urgent);
}

void Gateway::targetsChanged(const ChangedModels &models)
{
    if (m_table == nullptr || m_queue.size() == 0) {
        return;
    }
    const std::shared_ptr<const RouteTable> table = m_table;
    for (const std::string &model : models) {
        for (const ServingPool &pool : table->state().pools) {
            for (const std::uint64_t call : m_queue.waitingFor(pool.name, model, MaxReconsidered)) {
                reconsider(call);
            }
        }
    }
}

void Gateway::reconsider(std::uint64_t call)
{
    const auto found = m_calls.find(call);
    if (found != m_calls.end()) {
        found->second->reconsider();
    }
}

void Gateway::scheduleQueueProcessing()
{
    if (m_queueTimer == 0 && m_queue.size() > 0) {
        m_queueTimer = m_dependencies.loop.at(m_dependencies.loop.now() + QueueInterval, [this] {
            m_queueTimer = 0;
            processQueue();
        });
    }
}

// Capacity may become free and targets may recover without any message, so waiting calls are polled.
void Gateway::processQueue()
{
    for (const WaitingCall &expired : m_queue.takeExpired(m_dependencies.loop.now())) {
        const auto found = m_calls.find(expired.call);
        if (found != m_calls.end()) {
            found->second->endIfWaiting(reasons::Timeout);
        }
    }
    for (const std::uint64_t call : m_queue.inOrder(MaxReconsidered)) {
        reconsider(call);
    }
    scheduleQueueProcessing();
}

void Gateway::beginStop(TimePoint callsEnd)
{
    m_stopping = true;
    m_callsEnd = callsEnd;
}

void Gateway::endWaitingCalls()
{
    for (const auto &[number, call] : m_calls) {
        call->endIfWaiting(reasons::Stopping);
    }
}

void Gateway::endAllCalls()
{
    for (const auto &[number, call] : m_calls) {
        call->endNow(reasons::Stopping);
    }
}

void Gateway::stopAccepting()
{
    m_accepting = false;
    m_server.stopListening();
    m_server.closeIdle(ReuseTime);
}

} // namespace celeryroute
