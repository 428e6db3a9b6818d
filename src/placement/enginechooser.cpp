#include <celeryroute/detail/placement/enginechooser.h>

#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/placement/itemkey.h>
#include <celeryroute/detail/placement/prefixguess.h>

#include <algorithm>

namespace celeryroute {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t SampleSize = 32; // Holders that are compared for one call.
constexpr double SlotQueue = 1.0 / 16; // Of its slots that a target is believed to queue.
constexpr double HomeWeight = 0.5; // Of the reading of the shared parts, for a target away from home.
constexpr double AdapterLoad = 0.01; // Seconds.
constexpr double AdapterSpread = 0.1; // Seconds; keeps an adapter on few targets.
constexpr double AdapterFull = 0.05; // Seconds; of a target whose adapter places are taken.
constexpr double OtherDomain = 0.001; // Seconds; bytes between domains are priced.
constexpr double CrowdedShare = 0.25; // Of the wanted latency that may go into waiting.
constexpr double HeldShare = 0.25; // Of the remaining time that a call may be held for room.
constexpr double UrgentReserve = 0.1; // Of a target, that is kept for more urgent calls.
constexpr double CrowdingWeight = 0.3;
constexpr Duration CrowdingMemory = 5s;
constexpr double UnknownAim = 1; // Seconds.
constexpr double GainHorizon = 5; // Seconds over which a further replica has to pay.
constexpr double DoubtfulTrust = 0.3; // Below which a target counts as bad.
constexpr double UnknownDuration = 1; // Seconds of a call.
constexpr double LeastSlowness = 0.5;
constexpr double MostSlowness = 20;

bool contains(const std::vector<std::string> &list, const std::string &name)
{
    return std::find(list.begin(), list.end(), name) != list.end();
}

} // namespace

struct EngineChooser::Ask {
    const EngineCall &call;
    TargetPool &pool;
    const EngineModel &model;
    TimePoint now;
    std::string item;
    PrefixChain chain;
    PrefixGuess guess;
    double remaining = 0;
    double aim = 0;
    double crowding = 0; ///< Seconds that calls for the model have waited lately.
    bool otherVersion = false; ///< A holder has other weights than the call needs.

    Ask(const EngineCall &asked, TargetPool &itsPool, const EngineModel &itsModel, TimePoint at)
        : call(asked)
        , pool(itsPool)
        , model(itsModel)
        , now(at)
        , item(itemKey(asked.model, asked.adapter))
        , chain(prefixChain(asked))
        , guess(itsPool.prefixes, chain)
        , remaining(toSeconds(asked.remaining))
        , aim(asked.targetLatency > Duration::zero() ? toSeconds(asked.targetLatency) : UnknownAim)
    {}
};

bool EngineChooser::Candidate::betterThan(const Candidate &other) const
{
    if (grade != other.grade) {
        return grade < other.grade;
    }
    if (room != other.room) {
        return room;
    }
    return room ? cost < other.cost : roomIn < other.roomIn;
}

EngineChooser::EngineChooser(TargetBook &book, std::uint64_t seed)
    : m_book(book)
    , m_planner(book)
    , m_random(seed)
{}

EngineDecision EngineChooser::choose(const EngineCall &call, TimePoint now)
{
    TargetPool *pool = m_book.pool(call.pool);
    if (pool == nullptr || pool->open.empty()) {
        return {Refuse{1s, RefuseReason::NoTargets}, std::nullopt};
    }
    const EngineModel *model = pool->engine ? pool->engine->model(call.model) : nullptr;
    if (model == nullptr) {
        return {Refuse{1s, RefuseReason::UnknownModel}, std::nullopt};
    }
    if (!call.askedBefore) {
        pool->demand.note(call.model, now);
    }
    Ask ask(call, *pool, *model, now);
    const Candidate best = bestHolder(ask);
    ask.crowding = crowding(ask, best);
    if (best.target == nullptr || best.grade == Candidate::Bad) {
        return withoutHolder(ask, best);
    }
    return best.room ? send(ask, best) : withoutRoom(ask, best);
}

EngineChooser::Candidate EngineChooser::bestHolder(Ask &ask)
{
    Candidate best;
    const TargetRing *ring = ask.pool.holdersOf(ask.call.model);
    if (ring == nullptr) {
        return best;
    }
    const int rounds = ring->size() > SampleSize ? 3 : 1;
    for (int round = 0; round < rounds; ++round) {
        const std::uint64_t home = mixBits(ask.chain.home + static_cast<std::uint64_t>(round));
        ring->sample(home, random(), SampleSize, m_sample);
        for (KnownTarget *target : m_sample) {
            const Candidate candidate = assess(ask, *target);
            if (candidate.target != nullptr && (best.target == nullptr || candidate.betterThan(best))) {
                best = candidate;
            }
        }
        if (best.target != nullptr && best.grade == Candidate::Sound && best.room) {
            break;
        }
    }
    return best;
}

EngineChooser::Candidate EngineChooser::assess(Ask &ask, KnownTarget &target)
{
    const ResidentModel *resident = target.model(ask.call.model, ask.now);
    if (resident == nullptr || contains(ask.call.excluded, target.record.id)) {
        return {};
    }
    if (ask.call.weightsVersion && resident->version != *ask.call.weightsVersion) {
        ask.otherVersion = true;
        return {};
    }
    Candidate candidate;
    candidate.target = &target;
    candidate.grade = grade(ask, target);
    estimate(ask, target, candidate);
    candidate.cost += adapterCost(ask, *resident, target);
    candidate.cost += target.record.domain == m_book.domain() ? 0 : OtherDomain;
    return candidate;
}

EngineChooser::Candidate::Grade EngineChooser::grade(const Ask &ask, const KnownTarget &target)
{
    const TargetHealth::Standing standing = target.health.standing(ask.now);
    if (standing == TargetHealth::Standing::Shunned || (target.viewFresh(ask.now) && !target.view->reachable)) {
        return Candidate::Bad;
    }
    const double trust = target.health.trust(ask.pool.failures.value(0, ask.now), ask.now);
    if (trust >= 1 || static_cast<double>(random() % 1024) < trust * 1024) {
        return Candidate::Sound;
    }
    return trust < DoubtfulTrust ? Candidate::Bad : Candidate::Doubtful;
}

void EngineChooser::estimate(const Ask &ask, const KnownTarget &target, Candidate &candidate) const
{
    const EngineSpec &spec = *ask.pool.engine;
    const EngineSpeed &speed = ask.pool.speed;
    const double slots = std::max(1U, target.slots > 0 ? target.slots : spec.slots);
    const double running = target.running(ask.now);
    const double waiting = target.waiting(ask.now);
    const std::uint64_t kept = ask.guess.keptTokens(target, spec.cacheTokens, m_book.entries());
    const std::uint64_t uncached = ask.call.promptTokens - std::min(kept, ask.call.promptTokens);
    const double ahead = ask.pool.tokensAhead(target, ask.call.priority, ask.now);
    const double usual = ask.pool.slowness.value(1, ask.now);
    const double slowness = std::clamp(target.latency.value(usual, ask.now) / usual, LeastSlowness, MostSlowness);
    const double stretch = slowness * (1 + running / slots);
    candidate.wait = speed.prefill(ahead) * stretch;
    candidate.total = candidate.wait + speed.firstEvent(uncached) * stretch;
    candidate.cost = candidate.total;
    if (kept < ask.chain.sharedTokens) {
        const auto unknown = static_cast<double>(ask.chain.sharedTokens - kept);
        candidate.cost += HomeWeight * speed.prefill(unknown) * (1 - unitRank(ask.chain.home, target));
    }
    const double urgent = ask.call.priority == 0 ? 0 : ask.pool.urgency.upTo(ask.call.priority - 1);
    const double open = urgent > 0 ? 1 - UrgentReserve : 1;
    const double calls = running + waiting;
    const std::uint64_t reported = target.view && target.view->cacheTotal > 0 ? target.view->cacheTotal
                                                                              : spec.cacheTokens;
    const auto total = static_cast<double>(reported);
    const auto need = static_cast<double>(ask.call.promptTokens + ask.call.expectedOutput());
    const bool fits = calls < 1 || total == 0 || target.cacheTokens(ask.now) + need <= total * open;
    const bool free = fits && calls < slots * (open + SlotQueue);
    const double most = CrowdedShare * ask.aim;
    candidate.room = ask.now >= target.fullUntil && free && (candidate.wait <= most || target.waiting(ask.now) < 1);
    const double next = ask.pool.duration.value(UnknownDuration, ask.now) / std::max(1.0, calls);
    candidate.roomIn = std::max({free ? 0.0 : next, candidate.wait - most, toSeconds(target.fullUntil - ask.now)});
}

// All entries prefer the same targets for an adapter, unless these are loaded.
double EngineChooser::adapterCost(const Ask &ask, const ResidentModel &resident, const KnownTarget &target) const
{
    if (ask.call.adapter.empty() || contains(resident.adapters, ask.call.adapter)) {
        return 0;
    }
    std::size_t held = 0;
    for (const ResidentModel &model : target.models(ask.now)) {
        held += model.adapters.size();
    }
    const std::optional<Duration> loading = target.loadingFor(ask.item, ask.now);
    const double full = held >= ask.pool.engine->adapterSlots ? AdapterFull : 0;
    const std::uint64_t key = stableHash(ask.item);
    return AdapterLoad + (loading ? 0 : AdapterSpread * (1 - unitRank(key, target)) + full)
        + (target.declines(ask.item, ask.now) ? 1 : 0);
}

EngineDecision EngineChooser::send(const Ask &ask, const Candidate &best)
{
    EngineDecision decision;
    if (const std::optional<LoadPlan> plan = spare(ask)) {
        decision.want = wantOf(ask, *plan);
    }
    if (best.total > ask.remaining) {
        decision.verdict = Refuse{fromSeconds(best.wait), RefuseReason::TooLate};
        return decision;
    }
    const ResidentModel *resident = best.target->model(ask.call.model, ask.now);
    if (!ask.call.adapter.empty() && !contains(resident->adapters, ask.call.adapter)) {
        const std::optional<Duration> loading = best.target->loadingFor(ask.item, ask.now);
        decision.verdict = WaitFor{ask.item, best.target->record.id, loading.value_or(fromSeconds(AdapterLoad))};
        return decision;
    }
    decision.verdict = SendTo{best.target->record.id};
    return decision;
}

EngineDecision EngineChooser::withoutRoom(const Ask &ask, const Candidate &best)
{
    EngineDecision decision;
    const double wait = best.roomIn + queueWait(ask);
    if (const std::optional<LoadPlan> plan = spare(ask)) {
        if (plan->ready < wait) {
            return waitFor(ask, *plan);
        }
        decision.want = wantOf(ask, *plan);
    }
    const double left = ask.remaining - (best.total - best.wait);
    const double most = ask.call.askedBefore ? left : std::min(left, std::max(ask.aim, ask.remaining * HeldShare));
    if (wait > most) {
        decision.verdict = Refuse{fromSeconds(wait), RefuseReason::TooLate};
    } else {
        decision.verdict = WaitForRoom{fromSeconds(best.roomIn)};
    }
    return decision;
}

// A burst that is over before a replica is there needs none, so the wait is smoothed.
double EngineChooser::crowding(const Ask &ask, const Candidate &best)
{
    const double wait = best.wait + (best.room ? 0 : best.roomIn);
    const std::string key = ask.pool.name + '\n' + ask.model.name;
    RelaxingMean &mean = m_crowding.try_emplace(key, CrowdingWeight, CrowdingMemory).first->second;
    if (!ask.call.askedBefore && best.target != nullptr) {
        mean.add(wait, 0, ask.now);
    }
    return mean.value(0, ask.now);
}

// Calls that go first take the holders' time.
double EngineChooser::queueWait(const Ask &ask) const
{
    const TargetRing *holders = ask.pool.holdersOf(ask.call.model);
    const double replicas = holders != nullptr ? static_cast<double>(holders->size()) : 1;
    const double read = ask.pool.speed.prefill(ask.pool.uncached.value(0, ask.now));
    return static_cast<double>(ask.call.callsBefore) * read * m_book.entries() / replicas;
}

// A load from the weight store is dear, so a holder in bad standing is tried before it.
EngineDecision EngineChooser::withoutHolder(const Ask &ask, const Candidate &bad)
{
    if (ask.call.weightsVersion && ask.otherVersion && bad.target == nullptr) {
        return {Refuse{Duration::zero(), RefuseReason::WeightsGone}, std::nullopt};
    }
    const LoadNeed need{&ask.call.excluded, ask.remaining, false};
    const std::optional<LoadPlan> plan = m_planner.plan(ask.pool, ask.model, need, ask.now);
    const bool dear = !plan || (plan->source == CopyPlace::Store && !plan->underWay) || plan->ready > ask.remaining;
    if (bad.target != nullptr && dear) {
        return {SendTo{bad.target->record.id}, std::nullopt};
    }
    if (!plan) {
        return {Refuse{ask.model.diskLoad, RefuseReason::NoTargets}, std::nullopt};
    }
    return waitFor(ask, *plan);
}

std::optional<LoadPlan> EngineChooser::spare(const Ask &ask)
{
    if (ask.crowding < CrowdedShare * ask.aim / 2) {
        return std::nullopt;
    }
    const LoadNeed need{&ask.call.excluded, ask.remaining, true};
    const std::optional<LoadPlan> plan = m_planner.plan(ask.pool, ask.model, need, ask.now);
    if (!plan || plan->underWay) {
        return plan;
    }
    if (plan->wait > ask.crowding / 2) {
        return std::nullopt;
    }
    const double rate = ask.pool.demand.rate(ask.call.model, ask.now) * m_book.entries();
    return rate * ask.crowding * GainHorizon > plan->ready + plan->cost ? plan : std::nullopt;
}

LoadWant EngineChooser::wantOf(const Ask &ask, const LoadPlan &plan)
{
    m_planner.noteAsked(ask.pool, ask.model, plan, ask.now);
    return {ask.call.model, plan.target};
}

// The load is wanted also when this call cannot wait for it: the next one shall find it.
EngineDecision EngineChooser::waitFor(const Ask &ask, const LoadPlan &plan)
{
    const LoadWant want = wantOf(ask, plan);
    const Duration ready = fromSeconds(plan.ready);
    if (plan.ready + ask.pool.speed.firstEvent(ask.call.promptTokens) > ask.remaining) {
        return {Refuse{ready, RefuseReason::TooLate}, want};
    }
    return {WaitFor{want.item, want.target, ready}, std::nullopt};
}

std::uint64_t EngineChooser::random()
{
    m_random += 1;
    return mixBits(m_random);
}

} // namespace celeryroute
