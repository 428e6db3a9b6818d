#include <celeryroute/detail/agent/attemptrunner.h>

// AttemptRunner's handling of changes in the target's memory.

namespace celeryroute {

void AttemptRunner::itemReady(const std::string &item, TimePoint now)
{
    for (const auto &[id, attempt] : m_attempts) {
        if (attempt->waitsForLoad && attempt->submit().model() == item) {
            attempt->waitsForLoad = false;
            attempt->pinned = true;
            attempt->loadWait = now - attempt->arrivedAt;
            m_dependencies.residency.beginUse(item, now);
        }
    }
    m_queue->setModelReady(item);
}

void AttemptRunner::itemFailed(const std::string &item, const Error &error, TimePoint now)
{
    std::vector<AttemptPointer> failed;
    for (const auto &[id, attempt] : m_attempts) {
        if (attempt->waitsForLoad && attempt->submit().model() == item) {
            failed.push_back(attempt);
        }
    }
    for (const AttemptPointer &attempt : failed) {
        attempt->waitsForLoad = false;
        finish(attempt, Outcome{error}, now);
    }
    itemAbsent(item);
}

void AttemptRunner::targetLost(TimePoint now)
{
    std::vector<AttemptPointer> queued;
    for (const auto &[id, attempt] : m_attempts) {
        if (attempt->phase == AttemptPhase::Queued && attempt->pinned) {
            queued.push_back(attempt);
        }
    }
    for (const AttemptPointer &attempt : queued) {
        attempt->pinned = false;
        m_dependencies.residency.endUse(attempt->submit().model(), now);
        admitModel(attempt, now);
    }
}

void AttemptRunner::itemLoading(const std::string &item, TimePoint expectedReady, TimePoint now)
{
    if (m_queue) {
        refuseAll(m_queue->setModelLoading(item, expectedReady, now), now);
    }
}

void AttemptRunner::itemAbsent(const std::string &item)
{
    if (m_queue) {
        m_queue->setModelAbsent(item);
    }
}

} // namespace celeryroute
