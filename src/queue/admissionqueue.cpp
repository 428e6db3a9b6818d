#include <celeryroute/detail/queue/admissionqueue.h>

#include <algorithm>

namespace celeryroute {

namespace {

TimePoint latestStart(const QueueEntry &entry)
{
    return entry.deadline - entry.serviceTime;
}

} // namespace

AdmissionQueue::AdmissionQueue(QueueLimits limits)
    : m_limits(limits)
    , m_classes{ClassQueue(limits.burstCredit), ClassQueue(limits.burstCredit), ClassQueue(limits.burstCredit)}
{}

// A repeated message must not take a second slot. It cannot be refused either, because the refusal would
// apply to the attempt that is already waiting or running.
std::vector<RefusedEntry> AdmissionQueue::submit(QueueEntry entry, TimePoint now)
{
    if (m_sequences.contains(entry.attemptId) || m_running.contains(entry.attemptId)) {
        return {};
    }
    const Duration wait = estimatedWait(entry, now);
    if (latestStart(entry) < now + wait) {
        return {{std::move(entry), ResultCode::DeadlineUnreachable, wait}};
    }
    if (entry.bytes > m_limits.maxBytes) {
        return {{std::move(entry), ResultCode::QueueFull, wait}};
    }
    insert(std::move(entry));
    std::vector<RefusedEntry> refused;
    while (m_waiting.size() > m_limits.maxQueued || m_bytes > m_limits.maxBytes) {
        refused.push_back(refuse(*m_backlog.evictionCandidate(), ResultCode::QueueFull, now));
    }
    return refused;
}

// While all slots are occupied, no entry can start before the earliest expected end.
std::vector<RefusedEntry> AdmissionQueue::expire(TimePoint now)
{
    const TimePoint earliestStart = m_running.expectedFreeSlot(m_limits.maxRunning, now);
    std::vector<RefusedEntry> refused;
    while (!m_byLatestStart.empty() && m_byLatestStart.begin()->first < earliestStart) {
        refused.push_back(refuse(m_byLatestStart.begin()->second, ResultCode::DeadlineUnreachable, now));
    }
    return refused;
}

// A suspect at the front blocks all other entries until the target is idle. Otherwise it could starve,
// because a busy target would never become idle.
StartDecision AdmissionQueue::start(TimePoint now)
{
    StartDecision decision;
    decision.refused = expire(now);
    const std::optional<std::size_t> index = nextClass();
    if (!index || m_running.isSuspectRunning() || m_running.size() >= m_limits.maxRunning) {
        return decision;
    }
    const std::uint64_t sequence = *m_classes[*index].front();
    const QueueEntry &front = m_waiting.at(sequence);
    if (front.suspect && m_running.size() > 0) {
        return decision;
    }
    m_classes[*index].popFront(front, sequence);
    chargeClass(*index, front.tokens);
    decision.started = remove(sequence);
    m_running.insert(*decision.started, now);
    return decision;
}

void AdmissionQueue::finish(const std::string &attemptId, std::uint64_t tokensUsed)
{
    const std::optional<QueueEntry> entry = m_running.erase(attemptId);
    if (!entry) {
        return;
    }
    const double correction = static_cast<double>(tokensUsed) - static_cast<double>(entry->tokens);
    m_classes[urgencyIndex(entry->urgency)].correctCharge(entry->customer, correction);
}

std::optional<QueueEntry> AdmissionQueue::cancel(const std::string &attemptId)
{
    const auto found = m_sequences.find(attemptId);
    if (found == m_sequences.end()) {
        return std::nullopt;
    }
    return remove(found->second);
}

void AdmissionQueue::markSuspect(const std::string &attemptId)
{
    const auto found = m_sequences.find(attemptId);
    if (found != m_sequences.end()) {
        m_waiting.at(found->second).suspect = true;
    }
}

void AdmissionQueue::setModelReady(const std::string &model)
{
    setModelPhase(model, ModelWaitIndex::Phase::Ready, {});
}

std::vector<RefusedEntry>
AdmissionQueue::setModelLoading(const std::string &model, TimePoint expectedReady, TimePoint now)
{
    setModelPhase(model, ModelWaitIndex::Phase::Loading, expectedReady);
    return refuseEach(m_models.entriesBefore(model, expectedReady), ResultCode::DeadlineUnreachable, now);
}

void AdmissionQueue::setModelAbsent(const std::string &model)
{
    setModelPhase(model, ModelWaitIndex::Phase::Absent, {});
}

std::vector<RefusedEntry> AdmissionQueue::refuseModel(const std::string &model, ResultCode code, TimePoint now)
{
    return refuseEach(m_models.entries(model), code, now);
}

std::vector<RefusedEntry> AdmissionQueue::refuseAll(ResultCode code, TimePoint now)
{
    std::vector<RefusedEntry> refused;
    while (!m_byLatestStart.empty()) {
        refused.push_back(refuse(m_byLatestStart.begin()->second, code, now));
    }
    return refused;
}

std::vector<ModelDemand> AdmissionQueue::modelDemands() const
{
    return m_models.demands();
}

Duration AdmissionQueue::estimatedWait(const QueueEntry &entry, TimePoint now) const
{
    const std::size_t own = urgencyIndex(entry.urgency);
    Duration ahead = m_classes[own].serviceAhead(entry);
    for (std::size_t index = 0; index < own; ++index) {
        ahead += m_classes[index].totalService();
    }
    const Duration slotWait = m_running.expectedFreeSlot(m_limits.maxRunning, now) - now;
    const Duration queueWait = slotWait
        + ahead / static_cast<Duration::rep>(std::max<std::size_t>(1, m_limits.maxRunning));
    return std::max(queueWait, m_models.expectedReady(entry.model, now) - now);
}

std::optional<TimePoint> AdmissionQueue::nextExpiry() const
{
    if (m_byLatestStart.empty()) {
        return std::nullopt;
    }
    return m_byLatestStart.begin()->first;
}

void AdmissionQueue::insert(QueueEntry entry)
{
    const std::uint64_t sequence = m_nextSequence++;
    const TimePoint latest = latestStart(entry);
    m_sequences.emplace(entry.attemptId, sequence);
    m_byLatestStart.emplace(latest, sequence);
    m_models.insert(entry.model, entry.urgency, {latest, sequence});
    m_backlog.insert(entry, sequence);
    m_bytes += entry.bytes;
    m_tokens += entry.tokens;
    if (m_models.isReady(entry.model)) {
        m_classes[urgencyIndex(entry.urgency)].insert(entry, sequence);
    }
    m_waiting.emplace(sequence, std::move(entry));
}

QueueEntry AdmissionQueue::remove(std::uint64_t sequence)
{
    const auto found = m_waiting.find(sequence);
    QueueEntry entry = std::move(found->second);
    m_waiting.erase(found);
    const TimePoint latest = latestStart(entry);
    m_classes[urgencyIndex(entry.urgency)].erase(entry, sequence);
    m_sequences.erase(entry.attemptId);
    m_byLatestStart.erase({latest, sequence});
    m_models.erase(entry.model, entry.urgency, {latest, sequence});
    m_backlog.erase(entry, sequence);
    m_bytes -= entry.bytes;
    m_tokens -= entry.tokens;
    return entry;
}

RefusedEntry AdmissionQueue::refuse(std::uint64_t sequence, ResultCode code, TimePoint now)
{
    QueueEntry entry = remove(sequence);
    const Duration retryAfter = estimatedWait(entry, now);
    return {std::move(entry), code, retryAfter};
}

std::vector<RefusedEntry>
AdmissionQueue::refuseEach(const std::vector<std::uint64_t> &sequences, ResultCode code, TimePoint now)
{
    std::vector<RefusedEntry> refused;
    refused.reserve(sequences.size());
    for (const std::uint64_t sequence : sequences) {
        refused.push_back(refuse(sequence, code, now));
    }
    return refused;
}

void AdmissionQueue::setModelPhase(const std::string &model, ModelWaitIndex::Phase phase, TimePoint expectedReady)
{
    const bool wasReady = m_models.isReady(model);
    m_models.setPhase(model, phase, expectedReady);
    const bool isReady = m_models.isReady(model);
    if (wasReady == isReady) {
        return;
    }
    for (const std::uint64_t sequence : m_models.entries(model)) {
        const QueueEntry &entry = m_waiting.at(sequence);
        ClassQueue &queue = m_classes[urgencyIndex(entry.urgency)];
        if (isReady) {
            queue.insert(entry, sequence);
        } else {
            queue.erase(entry, sequence);
        }
    }
}

// Classes that have accumulated enough guaranteed share go first, starting with the least urgent one.
// Otherwise the most urgent class goes first.
std::optional<std::size_t> AdmissionQueue::nextClass() const
{
    for (std::size_t index = m_classes.size(); index > 0; --index) {
        if (hasEarnedShare(index - 1)) {
            return index - 1;
        }
    }
    for (std::size_t index = 0; index < m_classes.size(); ++index) {
        if (!m_classes[index].empty()) {
            return index;
        }
    }
    return std::nullopt;
}

bool AdmissionQueue::hasEarnedShare(std::size_t index) const
{
    const std::optional<std::uint64_t> front = m_classes[index].front();
    if (!front || m_limits.guaranteedShare[index] <= 0.0) {
        return false;
    }
    return m_shareCredits[index] >= static_cast<double>(m_waiting.at(*front).tokens);
}

// A waiting class accumulates its guaranteed share of the tokens started by more urgent classes. Its front
// entry of c tokens therefore starts after at most c / share tokens of more urgent work.
void AdmissionQueue::chargeClass(std::size_t served, std::uint64_t tokens)
{
    const auto cost = static_cast<double>(tokens);
    m_shareCredits[served] = std::max(0.0, m_shareCredits[served] - cost);
    for (std::size_t index = served + 1; index < m_classes.size(); ++index) {
        if (m_classes[index].empty()) {
            m_shareCredits[index] = 0.0;
        } else {
            m_shareCredits[index] += cost * m_limits.guaranteedShare[index];
        }
    }
}

} // namespace celeryroute
