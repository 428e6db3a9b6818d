#include <celeryroute/detail/placement/enginechooser.h>

#include <algorithm>

namespace celeryroute {

namespace {

using namespace std::chrono_literals;

constexpr Duration UnknownRetry = 1s;
constexpr Duration NeverRetry = 60s; // Only a change of the desired state can help.
constexpr double AdapterLoad = 0.01; // Seconds that a load of an adapter takes.
constexpr Duration ProbeTime = 100ms; // Time in which a probe in flight is answered.
constexpr double GainHorizon = 5; // Seconds over which the benefit of a further replica is counted.
constexpr double LoadPrice = 0.1; // Late calls that a load must prevent in addition to those that it causes.
constexpr double StoreLoadPrice = 2; // The same for a load from the weight store.
constexpr double HeldShare = 0.5; // Share of the slack that a call may be held for room.
constexpr double OverloadShare = 0.3; // Share of late calls from which on calls that cannot be in time are refused.
constexpr double BurstShare = 0.3; // Share of the remaining time that a call may be held in a burst.

bool holdsAdapter(const KnownTarget &target, const EngineAsk &ask)
{
    const ResidentModel *resident = target.model(ask.call.model, ask.now);
    return ask.call.adapter.empty()
        || std::find(resident->adapters.begin(), resident->adapters.end(), ask.call.adapter)
        != resident->adapters.end();
}

/// Whether even an empty target could not load what the call needs.
bool neverFits(const EngineAsk &ask)
{
    const EngineSpec &spec = *ask.pool.engine;
    if (ask.call.adapter.empty()) {
        return ask.model.memoryMb > spec.memoryMb;
    }
    return spec.adapterSlots == 0 || ask.model.adapters == 0
        || ask.model.memoryMb + ask.model.adapterMb > spec.memoryMb;
}

} // namespace

EngineChooser::EngineChooser(TargetBook &book, std::uint64_t seed)
    : m_book(book)
    , m_finder(book, seed)
    , m_planner(book)
{}

EngineDecision EngineChooser::choose(const EngineCall &call, TimePoint now)
{
    TargetPool *pool = m_book.pool(call.pool);
    if (pool == nullptr || pool->open.empty()) {
        return {Refuse{UnknownRetry, RefuseReason::NoTargets}, std::nullopt};
    }
    const EngineModel *model = pool->model(call.model);
    if (model == nullptr) {
        return {Refuse{UnknownRetry, RefuseReason::UnknownModel}, std::nullopt};
    }
    const EngineAsk ask(call, *pool, *model, now);
    const Holder best = m_finder.best(ask);
    if (neverFits(ask) && (best.target == nullptr || !holdsAdapter(*best.target, ask))) {
        return {Refuse{NeverRetry, RefuseReason::TooLarge}, std::nullopt};
    }
    if (!call.askedBefore) {
        pool->traffic.noteCall(call.model, ask.aim, best.wait + (best.room ? 0 : best.roomIn), now);
    }
    if (best.target == nullptr || best.grade == Holder::Grade::Bad) {
        return withoutHolder(ask, best);
    }
    if (isHopeless(ask, best)) {
        return {Refuse{fromSeconds(heldFor(ask, best)), RefuseReason::TooLate}, std::nullopt};
    }
    return best.room ? send(ask, best) : withoutRoom(ask, best);
}

// In overload, room is kept for calls that can still meet their latency goal. A call whose prefill alone takes longer
// than the goal is not refused for it.
bool EngineChooser::isHopeless(const EngineAsk &ask, const Holder &best) const
{
    const double waited = toSeconds(ask.call.waited);
    const bool others = ask.call.callsWaiting > 0 || best.target->waiting(ask.now) >= 1;
    return others && overloaded(ask) && waited + best.total > ask.aim && best.alone <= ask.aim;
}

bool EngineChooser::overloaded(const EngineAsk &ask) const
{
    return ask.pool.delays.lateShare(ask.call.priority, ask.now) > OverloadShare;
}

EngineDecision EngineChooser::send(const EngineAsk &ask, const Holder &best)
{
    EngineDecision decision;
    if (const std::optional<LoadPlan> plan = spare(ask, best)) {
        decision.want = spareWant(ask, *plan);
    }
    if (best.total > ask.remaining) {
        decision.verdict = Refuse{fromSeconds(best.wait), RefuseReason::TooLate};
    } else if (!holdsAdapter(*best.target, ask)) {
        decision.verdict = waitForAdapter(ask, best);
    } else {
        ask.pool.traffic.noteHeld(ask.call.model, toSeconds(ask.call.waited), ask.now);
        decision.verdict = SendTo{best.target->record.id};
    }
    return decision;
}

EngineVerdict EngineChooser::waitForAdapter(const EngineAsk &ask, const Holder &best) const
{
    const Duration usual = best.target->busyFor(ask.now) + fromSeconds(AdapterLoad);
    const Duration expected = best.target->loadingFor(ask.item, ask.now).value_or(usual);
    if (toSeconds(expected) + best.total > ask.remaining) {
        return Refuse{expected, RefuseReason::TooLate};
    }
    return WaitFor{ask.item, best.target->record.id, expected};
}

// A call that would be late is refused at once with a retry time instead of being held.
EngineDecision EngineChooser::withoutRoom(const EngineAsk &ask, const Holder &best)
{
    EngineDecision decision;
    const double held = heldFor(ask, best);
    if (const std::optional<LoadPlan> plan = spare(ask, best)) {
        if (plan->ready < held) {
            return waitFor(ask, *plan);
        }
        decision.want = spareWant(ask, *plan);
    }
    if (held > mostHeld(ask, best)) {
        decision.verdict = Refuse{fromSeconds(held), RefuseReason::TooLate};
    } else {
        decision.verdict = WaitForRoom{fromSeconds(best.roomIn)};
    }
    return decision;
}

// A burst ends while its calls are held, so they may wait longer. In overload, holding calls only adds to the delay.
double EngineChooser::mostHeld(const EngineAsk &ask, const Holder &best) const
{
    const double left = ask.remaining - (best.total - best.wait);
    if (ask.call.askedBefore) {
        return left;
    }
    const double most = HeldShare * std::max(ask.aim - best.alone, ask.aim / 2);
    return std::min(left, overloaded(ask) ? most : std::max(most, ask.remaining * BurstShare));
}

// The calls ahead delay this one by their prefill. The recent holding times include the delays that this estimate
// leaves out.
double EngineChooser::heldFor(const EngineAsk &ask, const Holder &best) const
{
    const TargetRing *holders = ask.pool.holdersOf(ask.call.model);
    const double replicas = holders != nullptr ? static_cast<double>(holders->size()) : 1;
    const double read = ask.pool.speed.prefill(ask.pool.uncached.value(0, ask.now));
    const double before = static_cast<double>(ask.call.callsWaiting) * read * m_book.entries() / replicas;
    return std::max(best.roomIn + before, ask.pool.traffic.held(ask.call.model, ask.now));
}

// A load from the weight store is expensive, so an unhealthy holder is tried before it.
EngineDecision EngineChooser::withoutHolder(const EngineAsk &ask, const Holder &bad)
{
    if (ask.call.weightsVersion && bad.target == nullptr) {
        return {Refuse{Duration::zero(), RefuseReason::WeightsGone}, std::nullopt};
    }
    const LoadNeed need{&ask.call.excluded, ask.remaining, ask.aim, false};
    const std::optional<LoadPlan> plan = m_planner.plan(ask.pool, ask.model, need, ask.now);
    const bool dear = !plan || (plan->source == CopyPlace::Store && !plan->underWay) || plan->ready > ask.remaining;
    if (bad.target != nullptr && dear) {
        return lastResort(ask, bad);
    }
    if (!plan) {
        return {Refuse{ask.model.diskLoad, RefuseReason::NoTargets}, std::nullopt};
    }
    return waitFor(ask, *plan);
}

// While the holder is ejected, the call waits for the next probe. Only if all targets of the
// pool are ejected may the fault lie elsewhere; then an attempt costs nothing and the holder is tried at once.
EngineDecision EngineChooser::lastResort(const EngineAsk &ask, const Holder &bad)
{
    const bool shunned = bad.target->health.standing(ask.now) == TargetHealth::Standing::Shunned;
    if (!shunned || !m_finder.anySound(ask)) {
        return {SendTo{bad.target->record.id}, std::nullopt};
    }
    const Duration probe = std::max(bad.target->health.shunnedFor(ask.now), ProbeTime);
    if (toSeconds(probe) + bad.alone > ask.remaining) {
        return {Refuse{probe, RefuseReason::TooLate}, std::nullopt};
    }
    return {WaitForRoom{probe}, std::nullopt};
}

// A replica is worth its load if it prevents more late calls than the eviction of other models causes.
std::optional<LoadPlan> EngineChooser::spare(const EngineAsk &ask, const Holder &best)
{
    const TargetRing *holders = ask.pool.holdersOf(ask.call.model);
    const double replicas = holders != nullptr ? static_cast<double>(holders->size()) : 0;
    const double wait = ask.pool.traffic.wait(ask.call.model, ask.now);
    const double slack = ask.pool.traffic.aim(ask.call.model, ask.now) - (best.total - best.wait);
    const double saved = lateShare(wait, slack) - lateShare(wait * replicas / (replicas + 1), slack);
    const double rate = ask.pool.traffic.rate(ask.call.model, ask.now) * m_book.entries();
    const double gain = rate * GainHorizon * saved;
    if (gain < LoadPrice) {
        return std::nullopt;
    }
    const LoadNeed need{&ask.call.excluded, ask.remaining, ask.aim, true};
    const std::optional<LoadPlan> plan = m_planner.plan(ask.pool, ask.model, need, ask.now);
    if (!plan || plan->underWay) {
        return plan;
    }
    const double price = plan->source == CopyPlace::Store ? StoreLoadPrice : LoadPrice;
    return plan->wait < wait / 2 && gain > plan->cost + price ? plan : std::nullopt;
}

// No call waits for this load, so the request is repeated only at intervals.
std::optional<LoadWant> EngineChooser::spareWant(const EngineAsk &ask, const LoadPlan &plan)
{
    if (!m_planner.noteAsked(ask.pool, ask.model, plan, ask.now)) {
        return std::nullopt;
    }
    return LoadWant{ask.call.model, plan.target};
}

// The load is requested even if this call cannot wait for it, so that later calls find the model resident.
EngineDecision EngineChooser::waitFor(const EngineAsk &ask, const LoadPlan &plan)
{
    const bool news = m_planner.noteAsked(ask.pool, ask.model, plan, ask.now);
    const LoadWant want{ask.call.model, plan.target};
    const Duration ready = fromSeconds(plan.ready);
    if (plan.ready + ask.pool.speed.firstEvent(ask.call.promptTokens) > ask.remaining) {
        return {Refuse{ready, RefuseReason::TooLate}, news ? std::optional(want) : std::nullopt};
    }
    return {WaitFor{want.item, want.target, ready}, std::nullopt};
}

} // namespace celeryroute
