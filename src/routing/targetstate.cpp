#include <celeryroute/detail/routing/targetstate.h>

#include <algorithm>
#include <chrono>

namespace celeryroute {

namespace {

constexpr double DefaultTokensPerSecond = 100.0;

Duration defaultLoadTime(ModelPlace place)
{
    switch (place) {
    case ModelPlace::Resident:
        return Duration::zero();
    case ModelPlace::Loading:
        return std::chrono::seconds(5);
    case ModelPlace::HostMemory:
        return std::chrono::seconds(2);
    case ModelPlace::Disk:
        return std::chrono::seconds(8);
    case ModelPlace::Remote:
        break;
    }
    return std::chrono::seconds(30);
}

} // namespace

TargetState::TargetState(TargetInfo info)
    : m_info(std::move(info))
{}

void TargetState::setInfo(TargetInfo info)
{
    m_info = std::move(info);
}

// Attempts sent before the report was sampled are included in it or have already ended.
void TargetState::setReport(const LoadReport &report)
{
    m_report = report;
    absl::erase_if(m_unreported, [this, &report](const auto &sent) {
        const bool reported = sent.second.time <= report.sampled;
        m_unreportedTokens -= reported ? sent.second.tokens : 0;
        return reported;
    });
}

void TargetState::setPlacement(const std::string &model, ModelPlacement placement)
{
    if (placement.place == ModelPlace::Remote && placement.expectedLoad == Duration::zero()) {
        m_placements.erase(model);
        return;
    }
    m_placements[model] = placement;
}

void TargetState::noteSent(const std::string &attemptId, std::uint64_t tokens, TimePoint now)
{
    if (m_unreported.try_emplace(attemptId, Sent{now, tokens}).second) {
        m_unreportedTokens += tokens;
    }
}

void TargetState::noteEnded(const std::string &attemptId)
{
    const auto found = m_unreported.find(attemptId);
    if (found != m_unreported.end()) {
        m_unreportedTokens -= found->second.tokens;
        m_unreported.erase(found);
    }
}

bool TargetState::isWarm(const std::string &model) const
{
    if (model.empty()) {
        return true;
    }
    const auto found = m_placements.find(model);
    return found != m_placements.end()
        && (found->second.place == ModelPlace::Resident || found->second.place == ModelPlace::Loading);
}

Duration TargetState::expectedStart(const std::string &model) const
{
    const std::uint64_t occupied = m_report.running + m_unreported.size();
    const auto waiting = static_cast<double>(m_report.queuedTokens + m_unreportedTokens);
    const Duration queueWait = fromSeconds(waiting / tokensPerSecond());
    // If all slots are occupied, a request waits for a free slot even if the queue is empty. The slots are assumed
    // to become free evenly, each once a second.
    const bool full = occupied >= m_report.maxConcurrent;
    const Duration slotWait = full ? fromSeconds(1.0 / static_cast<double>(std::max(1U, m_report.maxConcurrent)))
                                   : Duration::zero();
    return std::max(loadWait(model), queueWait + slotWait);
}

double TargetState::tokensPerSecond() const
{
    return m_report.tokensPerSecond > 0.0 ? m_report.tokensPerSecond : DefaultTokensPerSecond;
}

Duration TargetState::loadWait(const std::string &model) const
{
    if (model.empty()) {
        return Duration::zero();
    }
    const auto found = m_placements.find(model);
    if (found == m_placements.end()) {
        return defaultLoadTime(ModelPlace::Remote);
    }
    const ModelPlacement &placement = found->second;
    if (placement.place == ModelPlace::Resident) {
        return Duration::zero();
    }
    return placement.expectedLoad > Duration::zero() ? placement.expectedLoad : defaultLoadTime(placement.place);
}

} // namespace celeryroute
