#include "availabilitysimulation.h"

#include <algorithm>

namespace celeryroute::simulation {

namespace {

using namespace std::chrono_literals;

constexpr Duration Step = 10ms;
constexpr int FaultySteps = 1500;
constexpr int SoundSteps = 1500;
constexpr Duration Heartbeat = 300ms;
constexpr Duration ReportInterval = 100ms;
constexpr Duration RuleBegins = 500ms; // A pause binds the entry from this time after the answer.
constexpr int MaxArrivals = 2;
constexpr TimePoint Start{std::chrono::seconds(1000)};
const std::string Pool = "pool";
const std::string Model = "model";

std::int64_t startTime(TimePoint now)
{
    return toMilliseconds(now.time_since_epoch());
}

ServingState servingState(const AvailabilityOptions &options)
{
    ServingState state;
    ServingPool pool;
    pool.name = Pool;
    if (options.engines) {
        EngineSpec spec;
        spec.slots = 8;
        spec.cacheTokens = 1'000'000;
        spec.memoryMb = 100;
        spec.models.push_back({Model, 60, 6s, 700ms, 500ms, 0, 0});
        pool.engine = spec;
    }
    state.pools.push_back(pool);
    return state;
}

} // namespace

AvailabilityReport &AvailabilityReport::operator+=(const AvailabilityReport &other)
{
    calls += other.calls;
    sent += other.sent;
    pauses += other.pauses;
    leavings += other.leavings;
    restarts += other.restarts;
    outages += other.outages;
    removals += other.removals;
    arrivalsInPauses += other.arrivalsInPauses;
    arrivalsAtLeaving += other.arrivalsAtLeaving;
    neverUsedAgain += other.neverUsedAgain;
    return *this;
}

AvailabilitySimulation::AvailabilitySimulation(std::uint64_t seed, const AvailabilityOptions &options)
    : m_options(options)
    , m_random(seed)
    , m_now(Start)
    , m_plainChooser(m_table, seed)
    , m_engineChooser(m_table, seed)
    , m_storeAwayUntil(Start)
{
    m_table.setState(servingState(options));
    const int count = 2 + static_cast<int>(below(4));
    m_targets.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
        addTarget(number);
    }
}

std::uint64_t AvailabilitySimulation::below(std::uint64_t limit)
{
    return m_random() % limit;
}

bool AvailabilitySimulation::chance(double probability)
{
    constexpr std::uint64_t Steps = 1'000'000;
    return static_cast<double>(below(Steps)) < probability * Steps;
}

Duration AvailabilitySimulation::between(Duration least, Duration most)
{
    const auto span = static_cast<std::uint64_t>((most - least).count());
    return least + Duration(static_cast<Duration::rep>(below(span + 1)));
}

void AvailabilitySimulation::after(Duration delay, Event event)
{
    m_events.emplace(m_now + delay, std::move(event));
}

void AvailabilitySimulation::addTarget(int number)
{
    Target &target = m_targets.emplace_back();
    target.record.id = "t" + std::to_string(number);
    target.record.pool = Pool;
    target.record.domain = "here";
    target.record.slots = 8;
    target.holdsModel = m_options.engines && (number == 0 || (number == 1 && chance(0.5)));
    target.bornMs = startTime(m_now);
    publish(target);
    report(target);
}

AvailabilityReport AvailabilitySimulation::run()
{
    for (int steps = 0; steps < FaultySteps + SoundSteps; ++steps) {
        m_faults = steps < FaultySteps;
        step();
    }
    checkAllUsed();
    return m_report;
}

void AvailabilitySimulation::step()
{
    m_now += Step;
    while (!m_events.empty() && m_events.begin()->first <= m_now) {
        const Event event = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        event();
    }
    if (m_table.nextResume().value_or(m_now + Step) <= m_now) {
        m_table.resumePaused(m_now);
    }
    if (m_faults && m_now >= m_storeAwayUntil && chance(0.0015)) {
        ++m_report.outages;
        m_storeAwayUntil = m_now + between(1s, 6s);
    }
    deliverRecords();
    for (Target &target : m_targets) {
        if (m_faults) {
            disturb(target);
        }
    }
    for (std::uint64_t calls = below(4); calls > 0; --calls) {
        sendCall();
    }
}

void AvailabilitySimulation::disturb(Target &target)
{
    if (!target.up) {
        return;
    }
    if (chance(0.003)) {
        target.restsUntil = m_now + between(600ms, 5s);
    }
    if (chance(0.0005)) {
        restart(target, between(100ms, 2s));
    } else if (!target.leaving && chance(0.001)) {
        target.leaving = true;
        after(between(500ms, 3s), [this, &target, born = target.bornMs] {
            if (target.up && target.bornMs == born) {
                restart(target, between(500ms, 4s));
            }
        });
    }
    if (chance(0.001)) {
        ++m_report.removals;
        m_records.emplace_back([this, id = target.record.id] { m_table.removeRecord(id, m_now); });
    }
}

void AvailabilitySimulation::restart(Target &target, Duration down)
{
    target.up = false;
    if (chance(0.5)) {
        m_records.emplace_back([this, id = target.record.id] { m_table.removeRecord(id, m_now); });
    }
    after(down, [this, &target] {
        ++m_report.restarts;
        target.up = true;
        target.leaving = false;
        target.restsUntil = m_now;
        target.bornMs = startTime(m_now);
        publish(target);
        report(target);
    });
}

// Some targets never report that they drain, so the registry shows them ready until they are gone.
void AvailabilitySimulation::publish(Target &target)
{
    TargetRecord record = target.record;
    record.bornMs = m_options.registryTellsBorn ? target.bornMs : 0;
    if (target.holdsModel) {
        record.models = {{Model, 1, {}}};
    }
    m_records.emplace_back([this, record] { m_table.setRecord(record, m_now); });
    after(Heartbeat, [this, &target, born = target.bornMs] {
        if (target.up && target.bornMs == born) {
            publish(target);
        }
    });
}

void AvailabilitySimulation::report(const Target &target)
{
    TargetView view;
    view.bornMs = target.bornMs;
    if (target.holdsModel) {
        view.models = {{Model, 1, {}}};
    }
    if (!m_faults || chance(0.8)) {
        const Duration delay = m_faults ? between(1ms, 400ms) : 1ms;
        after(delay, [this, id = target.record.id, view] { m_table.setView(id, view, m_now); });
    }
    after(ReportInterval, [this, &target, born = target.bornMs] {
        if (target.up && target.bornMs == born) {
            report(target);
        }
    });
}

void AvailabilitySimulation::deliverRecords()
{
    if (m_now < m_storeAwayUntil && m_now > Start + Step) {
        return;
    }
    for (const Event &change : std::exchange(m_records, {})) {
        change();
    }
}

std::string AvailabilitySimulation::chooseTarget()
{
    if (!m_options.engines) {
        const PlainVerdict verdict = m_plainChooser.choose({Pool, {}, true}, m_now);
        const auto *send = std::get_if<SendTo>(&verdict);
        return send == nullptr ? std::string() : send->target;
    }
    EngineCall call;
    call.pool = Pool;
    call.model = Model;
    call.promptTokens = 100;
    call.maxOutputTokens = 10;
    call.remaining = 5s;
    call.targetLatency = 1s;
    const EngineVerdict verdict = m_engineChooser.choose(call, m_now).verdict;
    const auto *send = std::get_if<SendTo>(&verdict);
    return send == nullptr ? std::string() : send->target;
}

void AvailabilitySimulation::sendCall()
{
    ++m_report.calls;
    const std::string chosen = chooseTarget();
    const auto target = std::find_if(m_targets.begin(), m_targets.end(), [&chosen](const Target &each) {
        return each.record.id == chosen;
    });
    if (target == m_targets.end()) {
        return;
    }
    ++m_report.sent;
    const CallTicket ticket = m_table.noteSent(chosen, m_now);
    if (m_faults && chance(0.02)) {
        after(400ms, [this, ticket] { m_table.noteEnded(ticket, CallEnd::Unreachable, m_now); });
        return;
    }
    after(between(1ms, chance(0.05) ? 80ms : 10ms),
          [this, &reached = *target, ticket, sentAt = m_now] { arrive(reached, ticket, sentAt); });
}

void AvailabilitySimulation::arrive(Target &target, CallTicket ticket, TimePoint sentAt)
{
    if (!target.up) {
        m_table.noteEnded(ticket, CallEnd::Unreachable, m_now);
        return;
    }
    checkArrival(target, sentAt);
    if (m_faults && chance(0.02)) {
        after(400ms, [this, ticket] { m_table.noteEnded(ticket, CallEnd::Unreachable, m_now); });
        return;
    }
    answer(target, ticket);
}

void AvailabilitySimulation::answer(Target &target, CallTicket ticket)
{
    const bool refuses = m_now < target.restsUntil;
    if (refuses) {
        m_pauses[target.record.id].push_back({m_now, target.restsUntil});
    }
    const Duration pause = target.restsUntil - m_now;
    const std::string id = target.record.id;
    const bool leaves = target.leaving;
    after(between(1ms, chance(0.05) ? 350ms : 10ms), [=, this] {
        if (leaves && m_options.heedsLeaving) {
            m_table.noteLeaving(id, {}, m_now);
        }
        if (leaves) {
            ++m_report.leavings;
            m_heardLeaving.emplace(id, m_now);
        }
        if (refuses) {
            ++m_report.pauses;
            if (m_options.heedsPauses) {
                m_table.notePause(id, m_now + pause, m_now);
            }
        }
        m_table.noteEnded(ticket, refuses ? CallEnd::Full : CallEnd::Answered, m_now);
    });
}

void AvailabilitySimulation::checkArrival(const Target &target, TimePoint sentAt)
{
    for (Pause &pause : m_pauses[target.record.id]) {
        const bool binds = m_now > pause.answered + RuleBegins && m_now < pause.until;
        if (binds && ++pause.arrivals > MaxArrivals) {
            ++m_report.arrivalsInPauses;
        }
    }
    const auto heard = m_heardLeaving.find(target.record.id);
    if (heard != m_heardLeaving.end() && sentAt > heard->second) {
        ++m_report.arrivalsAtLeaving;
    }
}

void AvailabilitySimulation::checkAllUsed()
{
    for (const Target &target : m_targets) {
        const KnownTarget *known = m_table.target(target.record.id);
        const bool isUsed = known != nullptr && known->acceptsCalls();
        const bool hasLeft = m_heardLeaving.contains(target.record.id);
        m_report.neverUsedAgain += target.up && !hasLeft && !isUsed ? 1 : 0;
    }
}

} // namespace celeryroute::simulation
