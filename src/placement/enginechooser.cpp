#include <celeryroute/detail/placement/enginechooser.h>

#include <celeryroute/detail/placement/evacuationplanner.h>

#include <algorithm>

namespace celeryroute {

namespace {

using namespace std::chrono_literals;

constexpr Duration DefaultRetryDelay = 1s;
constexpr Duration TooLargeRetryDelay = 60s; // Only a change of the desired state can help.
constexpr double AdapterLoadTime = 0.01; // Seconds that a load of an adapter takes.
constexpr Duration ProbeDuration = 100ms; // Shortest time for which a call waits for a probe in flight.
constexpr double GainHorizon = 5; // Seconds over which the benefit of a further replica is counted.
constexpr double MinLoadGain = 0.1; // Late calls that a load must prevent in addition to those that it causes.
constexpr double MinStoreLoadGain = 2; // The same limit for loads from the weight store.
constexpr double HoldSlackShare = 0.5; // Share of the slack that a call may be held for room.
constexpr double OverloadLateShare = 0.3; // Share of late calls from which on calls that cannot be in time are refused.
constexpr double BurstHoldShare = 0.3; // Share of the remaining time that a call may be held in a burst.

bool holdsAdapter(const KnownTarget &target, const EngineCallContext &context)
{
    const ResidentModel *resident = target.model(context.call.model, context.now);
    return context.call.adapter.empty()
        || std::find(resident->adapters.begin(), resident->adapters.end(), context.call.adapter)
        != resident->adapters.end();
}

/// Whether even an empty target could not load what the call needs.
bool neverFits(const EngineCallContext &context)
{
    const EngineSpec &spec = *context.pool.engine;
    if (context.call.adapter.empty()) {
        return context.model.memoryMb > spec.memoryMb;
    }
    return spec.adapterSlots == 0 || context.model.adapters == 0
        || context.model.memoryMb + context.model.adapterMb > spec.memoryMb;
}

} // namespace

EngineChooser::EngineChooser(TargetTable &table, std::uint64_t seed)
    : m_table(table)
    , m_finder(table, seed)
    , m_planner(table)
{}

EngineDecision EngineChooser::choose(const EngineCall &call, TimePoint now)
{
    TargetPool *pool = m_table.pool(call.pool);
    if (pool == nullptr || pool->accepting.empty()) {
        return {Refuse{DefaultRetryDelay, RefuseReason::NoTargets}, std::nullopt};
    }
    const EngineModel *model = pool->model(call.model);
    if (model == nullptr) {
        return {Refuse{DefaultRetryDelay, RefuseReason::UnknownModel}, std::nullopt};
    }
    const EngineCallContext context(call, *pool, *model, now);
    const Holder best = m_finder.best(context);
    if (neverFits(context) && (best.target == nullptr || !holdsAdapter(*best.target, context))) {
        return {Refuse{TooLargeRetryDelay, RefuseReason::TooLarge}, std::nullopt};
    }
    if (!call.decidedBefore) {
        pool->traffic.noteCall(call.model,
                               context.latencyGoal,
                               best.queueDelay + (best.hasRoom ? 0 : best.roomDelay),
                               now);
    }
    if (best.target == nullptr || best.grade == Holder::Grade::Unhealthy) {
        return decideWithoutHolder(context, best);
    }
    if (cannotMeetGoal(context, best)) {
        return {Refuse{fromSeconds(expectedHoldTime(context, best)), RefuseReason::TooLate}, std::nullopt};
    }
    return best.hasRoom ? decideWithRoom(context, best) : decideWithoutRoom(context, best);
}

std::vector<LoadRequest> EngineChooser::replaceEvacuated(TimePoint now)
{
    std::vector<LoadRequest> requests;
    const std::vector<std::string> excluded;
    for (const auto &[name, models] : m_table.evacuatedModels()) {
        TargetPool *pool = m_table.pool(name);
        if (pool == nullptr || !pool->engine) {
            continue;
        }
        for (const std::string &model : EvacuationPlanner::modelsToLoad(*pool, models, now)) {
            const EngineModel &known = *pool->model(model);
            const double goal = pool->traffic.latencyGoal(model, now);
            const LoadConditions conditions{&excluded, toSeconds(known.storeLoad) * 2, goal, false};
            const std::optional<LoadPlan> plan = m_planner.plan(*pool, known, conditions, now);
            if (plan && m_planner.noteRequested(*pool, known, *plan, now)) {
                requests.push_back({model, plan->target});
            }
        }
    }
    return requests;
}

// In overload, room is kept for calls that can still meet their latency goal. A call whose prefill alone takes longer
// than the goal is not refused for it.
bool EngineChooser::cannotMeetGoal(const EngineCallContext &context, const Holder &best) const
{
    const double waited = toSeconds(context.call.waited);
    const bool others = context.call.callsWaiting > 0 || best.target->waiting(context.now) >= 1;
    return others && isOverloaded(context) && waited + best.firstEventDelay > context.latencyGoal
        && best.unloadedDelay <= context.latencyGoal;
}

bool EngineChooser::isOverloaded(const EngineCallContext &context) const
{
    return context.pool.delays.lateShare(context.call.priority, context.now) > OverloadLateShare;
}

EngineDecision EngineChooser::decideWithRoom(const EngineCallContext &context, const Holder &best)
{
    EngineDecision decision;
    if (const std::optional<LoadPlan> plan = planReplica(context, best)) {
        decision.extraLoad = requestReplica(context, *plan);
    }
    if (best.firstEventDelay > context.remaining) {
        decision.verdict = Refuse{fromSeconds(best.queueDelay), RefuseReason::TooLate};
    } else if (!holdsAdapter(*best.target, context)) {
        decision.verdict = waitForAdapter(context, best);
    } else {
        context.pool.traffic.noteHeld(context.call.model, toSeconds(context.call.waited), context.now);
        decision.verdict = SendTo{best.target->record.id};
    }
    return decision;
}

EngineVerdict EngineChooser::waitForAdapter(const EngineCallContext &context, const Holder &best) const
{
    const Duration usual = best.target->busyFor(context.now) + fromSeconds(AdapterLoadTime);
    const Duration expected = best.target->loadingFor(context.item, context.now).value_or(usual);
    if (toSeconds(expected) + best.firstEventDelay > context.remaining) {
        return Refuse{expected, RefuseReason::TooLate};
    }
    return WaitForLoad{context.item, best.target->record.id, expected};
}

// A call that would be late is refused at once with a retry time instead of being held.
EngineDecision EngineChooser::decideWithoutRoom(const EngineCallContext &context, const Holder &best)
{
    EngineDecision decision;
    const double held = expectedHoldTime(context, best);
    if (const std::optional<LoadPlan> plan = planReplica(context, best)) {
        if (plan->readySeconds < held) {
            return waitForModel(context, *plan);
        }
        decision.extraLoad = requestReplica(context, *plan);
    }
    const std::string permitTarget = best.needsPermit ? best.target->record.id : std::string();
    if (held > maxHoldTime(context, best)) {
        const RefuseReason reason = best.needsPermit ? RefuseReason::TargetLimit : RefuseReason::TooLate;
        decision.verdict = Refuse{fromSeconds(held), reason, permitTarget};
    } else {
        decision.verdict = WaitForRoom{fromSeconds(best.roomDelay), permitTarget};
    }
    return decision;
}

// Without overload, waiting calls are a burst that soon ends, so they may be held longer. In overload, holding calls
// only adds to the delay.
double EngineChooser::maxHoldTime(const EngineCallContext &context, const Holder &best) const
{
    const double left = context.remaining - (best.firstEventDelay - best.queueDelay);
    if (context.call.decidedBefore) {
        return left;
    }
    const double most = HoldSlackShare * std::max(context.latencyGoal - best.unloadedDelay, context.latencyGoal / 2);
    return std::min(left, isOverloaded(context) ? most : std::max(most, context.remaining * BurstHoldShare));
}

// The calls ahead delay this one by their prefill. The recent holding times include the delays that this estimate
// leaves out.
double EngineChooser::expectedHoldTime(const EngineCallContext &context, const Holder &best) const
{
    const TargetRing *holders = context.pool.holdersOf(context.call.model);
    const double replicas = holders != nullptr ? static_cast<double>(holders->size()) : 1;
    const double prefillTime = context.pool.speed.prefill(context.pool.uncached.value(0, context.now));
    const double before = static_cast<double>(context.call.callsWaiting) * prefillTime * m_table.entries() / replicas;
    return std::max(best.roomDelay + before, context.pool.traffic.held(context.call.model, context.now));
}

// A load from the weight store is expensive, so an unhealthy holder is tried before it.
EngineDecision EngineChooser::decideWithoutHolder(const EngineCallContext &context, const Holder &bad)
{
    const bool continues = context.call.weightsVersion || context.call.softwareVersion;
    if (continues && bad.target == nullptr) {
        return {Refuse{Duration::zero(), RefuseReason::VersionUnavailable}, std::nullopt};
    }
    const LoadConditions conditions{&context.call.excluded, context.remaining, context.latencyGoal, false};
    const std::optional<LoadPlan> plan = m_planner.plan(context.pool, context.model, conditions, context.now);
    const bool isExpensive = !plan || (plan->source == CopySource::Store && !plan->isUnderWay)
        || plan->readySeconds > context.remaining;
    if (bad.target != nullptr && isExpensive) {
        return decideWithUnhealthyHolder(context, bad);
    }
    if (!plan) {
        return {Refuse{context.model.diskLoad, RefuseReason::NoTargets}, std::nullopt};
    }
    return waitForModel(context, *plan);
}

// While the holder is ejected, the call waits for the next probe. Only if all targets of the pool are ejected may the
// cause lie elsewhere; then the holder is tried at once, because an attempt costs nothing.
EngineDecision EngineChooser::decideWithUnhealthyHolder(const EngineCallContext &context, const Holder &bad)
{
    const bool ejected = bad.target->health.state(context.now) == TargetHealth::State::Ejected;
    if (!ejected || !m_finder.anyHealthy(context)) {
        return {SendTo{bad.target->record.id}, std::nullopt};
    }
    const Duration probe = std::max(bad.target->health.ejectedFor(context.now), ProbeDuration);
    if (toSeconds(probe) + bad.unloadedDelay > context.remaining) {
        return {Refuse{probe, RefuseReason::TooLate}, std::nullopt};
    }
    return {WaitForRoom{probe}, std::nullopt};
}

// A replica is worth its load if it prevents more late calls than the eviction of other models causes.
std::optional<LoadPlan> EngineChooser::planReplica(const EngineCallContext &context, const Holder &best)
{
    const TargetRing *holders = context.pool.holdersOf(context.call.model);
    const double replicas = holders != nullptr ? static_cast<double>(holders->size()) : 0;
    const double wait = context.pool.traffic.wait(context.call.model, context.now);
    const double slack = context.pool.traffic.latencyGoal(context.call.model, context.now)
        - (best.firstEventDelay - best.queueDelay);
    const double saved = lateShare(wait, slack) - lateShare(wait * replicas / (replicas + 1), slack);
    const double rate = context.pool.traffic.rate(context.call.model, context.now) * m_table.entries();
    const double gain = rate * GainHorizon * saved;
    if (gain < MinLoadGain) {
        return std::nullopt;
    }
    const LoadConditions conditions{&context.call.excluded, context.remaining, context.latencyGoal, true};
    const std::optional<LoadPlan> plan = m_planner.plan(context.pool, context.model, conditions, context.now);
    if (!plan || plan->isUnderWay) {
        return plan;
    }
    const double price = plan->source == CopySource::Store ? MinStoreLoadGain : MinLoadGain;
    return plan->queueDelay < wait / 2 && gain > plan->cost + price ? plan : std::nullopt;
}

// No call waits for this load, so the request is repeated only at intervals.
std::optional<LoadRequest> EngineChooser::requestReplica(const EngineCallContext &context, const LoadPlan &plan)
{
    if (!m_planner.noteRequested(context.pool, context.model, plan, context.now)) {
        return std::nullopt;
    }
    return LoadRequest{context.call.model, plan.target};
}

// The load is requested even if this call cannot wait for it, so that later calls find the model resident.
EngineDecision EngineChooser::waitForModel(const EngineCallContext &context, const LoadPlan &plan)
{
    const bool isNew = m_planner.noteRequested(context.pool, context.model, plan, context.now);
    const LoadRequest request{context.call.model, plan.target};
    const Duration ready = fromSeconds(plan.readySeconds);
    if (plan.readySeconds + context.pool.speed.firstEvent(context.call.promptTokens) > context.remaining) {
        return {Refuse{ready, RefuseReason::TooLate}, isNew ? std::optional(request) : std::nullopt};
    }
    return {WaitForLoad{request.item, request.target, ready}, std::nullopt};
}

} // namespace celeryroute
