#include "claimsimulation.h"

#include <celeryroute/detail/claims/claimfold.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace celeryroute {
namespace {

constexpr std::size_t EntryCount = 3;
constexpr std::size_t AgentCount = 2;
constexpr int KeyCount = 12;
constexpr Duration Step = std::chrono::milliseconds(20);
constexpr std::int64_t WallStart = 1'790'000'000'000;

} // namespace

ClaimSimulation::ClaimSimulation(unsigned seed, ClaimFault fault)
    : m_random(seed)
    , m_fault(fault)
    , m_log(1)
    , m_entries(EntryCount)
    , m_agents(AgentCount)
{
    for (std::size_t index = 0; index < EntryCount; ++index) {
        replaceEntry(index);
    }
}

ClaimSimulationReport ClaimSimulation::run(int steps)
{
    for (int step = 0; step < steps; ++step) {
        m_now += Step;
        // The last steps have no faults, so that every call must finish.
        m_faultFree = step > steps - 600;
        injectFaults();
        if (!m_faultFree && chance(40)) {
            newCall();
        }
        stepAppends();
        stepDispatches();
        for (Agent &agent : m_agents) {
            stepAgent(agent);
        }
        for (std::size_t index = 0; index < EntryCount; ++index) {
            stepEntry(index);
        }
    }
    finish();
    return m_report;
}

bool ClaimSimulation::chance(int percent)
{
    return static_cast<int>(m_random() % 100) < percent;
}

ClockReading ClaimSimulation::now() const
{
    return {m_now, WallStart + toMilliseconds(m_now.time_since_epoch())};
}

void ClaimSimulation::replaceEntry(std::size_t index)
{
    Entry entry;
    entry.incarnation = absl::StrCat("entry-", index, "-", ++m_incarnations);
    entry.coordinator = std::make_unique<ClaimCoordinator>(entry.incarnation);
    m_entries[index] = std::move(entry);
}

void ClaimSimulation::injectFaults()
{
    if (m_faultFree) {
        m_logDown = false;
        return;
    }
    if (chance(1)) {
        m_logDown = !m_logDown;
        m_report.outages += m_logDown ? 1 : 0;
    }
    Entry &entry = m_entries[m_random() % EntryCount];
    if (chance(2)) {
        entry.pausedSteps = static_cast<int>(m_random() % 300);
        for (auto &[id, call] : entry.calls) {
            call.wasPaused = true;
        }
        ++m_report.pauses;
    } else if (chance(1)) {
        replaceEntry(m_random() % EntryCount);
        ++m_report.crashes;
    } else if (chance(1)) {
        m_agents[m_random() % AgentCount] = {};
        ++m_report.crashes;
    }
}

void ClaimSimulation::newCall()
{
    const std::size_t index = m_random() % EntryCount;
    Entry &entry = m_entries[index];
    if (entry.pausedSteps > 0) {
        return;
    }
    Call call;
    call.id = absl::StrCat("call-", ++m_report.calls);
    // Callers reuse recent keys.
    call.key = absl::StrCat("key-", m_report.calls / 20 + static_cast<int>(m_random() % KeyCount));
    call.deadline = m_now + Step * (20 + m_random() % 200);
    const ClaimRequest request{"mti", "couriers", {call.key, 0}, call.key};
    entry.calls.emplace(call.id, call);
    entry.coordinator->startClaim(call.id, request, call.deadline, now());
    takeNotices(index);
}

void ClaimSimulation::stepEntry(std::size_t index)
{
    Entry &entry = m_entries[index];
    if (entry.pausedSteps > 0 && !m_faultFree) {
        --entry.pausedSteps;
        return;
    }
    if (!m_logDown && entry.shown + 1 < m_log.size()) {
        entry.shown += 1 + m_random() % (m_log.size() - entry.shown - 1);
        entry.coordinator->updateTable(m_log[entry.shown], entry.shown, now());
    }
    takeNotices(index);
    entry.coordinator->tick(now());
    takeNotices(index);
    settleCalls(index);
    sendBatches(index);
}

void ClaimSimulation::sendBatches(std::size_t index)
{
    Entry &entry = m_entries[index];
    while (std::optional<PendingBatch> batch = entry.coordinator->takeBatch(m_now)) {
        if (m_logDown && chance(50)) {
            entry.coordinator->completeBatch(batch->number, BatchOutcome::NotAppended, 0, now());
            continue;
        }
        const bool lost = !m_faultFree && chance(25);
        m_report.lostAnswers += lost ? 1 : 0;
        const int delay = lost ? static_cast<int>(m_random() % 400) : static_cast<int>(m_random() % 3);
        m_appends.push_back({index, entry.incarnation, std::move(*batch), delay, lost});
    }
}

void ClaimSimulation::stepAppends()
{
    for (Append &append : m_appends) {
        --append.delay;
    }
    const auto due = [this](const Append &append) { return append.delay < 0 && !m_logDown; };
    for (const Append &append : m_appends) {
        Entry &entry = m_entries[append.entry];
        const bool alive = entry.incarnation == append.incarnation;
        if (!due(append)) {
            continue;
        }
        const bool dropped = append.answerLost && chance(30);
        if (!dropped) {
            m_log.push_back(foldClaimBatch(m_log.back(), append.batch.batch, m_log.size() - 1));
        }
        if (alive && append.answerLost) {
            entry.coordinator->completeBatch(append.batch.number, BatchOutcome::InDoubt, 0, now());
        } else if (alive) {
            entry.coordinator->completeBatch(append.batch.number, BatchOutcome::Appended, m_log.size() - 2, now());
        }
        if (alive && m_fault == ClaimFault::DispatchesWithoutTableCheck) {
            for (auto &[id, call] : entry.calls) {
                call.claimId = call.claimId.empty() ? absl::StrCat(id, "/early") : call.claimId;
                dispatch(append.entry, call);
            }
        }
    }
    m_appends.erase(std::remove_if(m_appends.begin(), m_appends.end(), due), m_appends.end());
}

void ClaimSimulation::takeNotices(std::size_t index)
{
    Entry &entry = m_entries[index];
    for (const ClaimNotification &notification : entry.coordinator->takeNotifications()) {
        if (const auto *won = std::get_if<ClaimWon>(&notification.result)) {
            if (entry.calls.count(notification.callId) == 0) {
                ++m_report.wrongAnswers;
                continue;
            }
            Call &call = entry.calls.at(notification.callId);
            call.claimId = won->claimId;
            if (m_now >= call.deadline) {
                entry.coordinator->recordNotRun(notification.callId, now());
                answer(entry, notification.callId, RunState::NotRun, "");
            } else {
                dispatch(index, call);
            }
        } else if (const auto *repeat = std::get_if<ClaimReplay>(&notification.result)) {
            ++m_report.repeats;
            answer(entry, notification.callId, RunState::Ran, repeat->answer.body);
        } else {
            answer(entry, notification.callId, std::get<ClaimDenied>(notification.result).run, "");
        }
    }
}

void ClaimSimulation::dispatch(std::size_t index, Call &call)
{
    if (call.dispatched) {
        return;
    }
    call.dispatched = true;
    const int delay = m_faultFree ? 0 : static_cast<int>(m_random() % 60);
    m_dispatches.push_back({index, call.id, call.claimId, call.key, delay});
    if (m_fault == ClaimFault::AgentForgetsClaims) {
        m_dispatches.push_back({index, call.id, call.claimId, call.key, delay + 5});
    }
}

// Settles dispatched calls whose deadline passed without a reply.
void ClaimSimulation::settleCalls(std::size_t index)
{
    Entry &entry = m_entries[index];
    std::vector<std::string> late;
    for (auto &[id, call] : entry.calls) {
        if (call.dispatched && m_now >= call.deadline) {
            late.push_back(id);
        }
    }
    for (const std::string &id : late) {
        Call &call = entry.calls.at(id);
        if (m_fault == ClaimFault::TreatsTimeoutAsNotRun) {
            entry.coordinator->recordNotRun(id, now());
            answer(entry, id, RunState::NotRun, "");
            continue;
        }
        if (m_fault == ClaimFault::RedispatchesOnTimeout) {
            call.dispatched = false;
            dispatch(index, call);
        }
        entry.coordinator->recordInDoubt(id, now());
        answer(entry, id, RunState::Unknown, "");
    }
}

void ClaimSimulation::stepDispatches()
{
    std::vector<Dispatch> due;
    for (Dispatch &message : m_dispatches) {
        if (--message.delay < 0) {
            due.push_back(message);
        }
    }
    m_dispatches.erase(std::remove_if(m_dispatches.begin(),
                                      m_dispatches.end(),
                                      [](const Dispatch &message) { return message.delay < 0; }),
                       m_dispatches.end());
    for (const Dispatch &message : due) {
        Agent &agent = m_agents[m_random() % AgentCount];
        const bool known = !agent.knownClaimIds.insert(message.claimId).second;
        if (known && m_fault != ClaimFault::AgentForgetsClaims) {
            continue;
        }
        if (!m_faultFree && chance(10)) {
            reply(message, false);
        } else if (m_faultFree || !chance(5)) {
            start(agent, message);
        }
    }
}

void ClaimSimulation::start(Agent &agent, const Dispatch &message)
{
    ++m_report.executions;
    const bool first = m_executedClaimOfKey.emplace(message.key, message.claimId).second;
    m_report.doubleRuns += first ? 0 : 1;
    m_report.falseNotRun += static_cast<int>(m_notRunClaims.count(message.claimId));
    m_executedClaims.insert(message.claimId);
    agent.running.push_back(message);
    agent.running.back().delay = static_cast<int>(m_random() % 30);
}

void ClaimSimulation::stepAgent(Agent &agent)
{
    std::vector<Dispatch> kept;
    for (Dispatch &message : agent.running) {
        if (--message.delay >= 0) {
            kept.push_back(message);
        } else if (m_faultFree || !chance(5)) {
            reply(message, true);
        }
    }
    agent.running = std::move(kept);
}

void ClaimSimulation::reply(const Dispatch &message, bool ran)
{
    Entry &entry = m_entries[message.entry];
    if (entry.calls.count(message.callId) == 0 || entry.pausedSteps > 0) {
        return;
    }
    if (ran) {
        entry.coordinator->recordOutcome(message.callId, toRecordedAnswer(200, "text/plain", message.claimId), now());
        answer(entry, message.callId, RunState::Ran, message.claimId);
    } else {
        entry.coordinator->recordNotRun(message.callId, now());
        answer(entry, message.callId, RunState::NotRun, "");
    }
}

void ClaimSimulation::answer(Entry &entry, const std::string &callId, RunState run, const std::string &body)
{
    const auto found = entry.calls.find(callId);
    if (found == entry.calls.end()) {
        ++m_report.wrongAnswers; // A second answer to one call.
        return;
    }
    const Call call = found->second;
    entry.calls.erase(found);
    ++m_report.answered;
    m_report.late += !call.wasPaused && m_now > call.deadline + Step ? 1 : 0;
    if (run == RunState::NotRun && !call.claimId.empty()) {
        m_report.falseNotRun += static_cast<int>(m_executedClaims.count(call.claimId));
        m_notRunClaims.insert(call.claimId);
    }
    if (run == RunState::Ran) {
        const auto executed = m_executedClaimOfKey.find(call.key);
        m_report.wrongAnswers += executed == m_executedClaimOfKey.end() || executed->second != body ? 1 : 0;
    }
}

void ClaimSimulation::finish()
{
    for (const Entry &entry : m_entries) {
        m_report.unanswered += static_cast<int>(entry.calls.size());
    }
}

} // namespace celeryroute
