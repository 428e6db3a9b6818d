#include <celeryroute/detail/queue/modelwaitindex.h>

#include <algorithm>
#include <tuple>

namespace celeryroute {

std::size_t ModelWaitIndex::Model::count() const
{
    std::size_t total = 0;
    for (const auto &waiting : entries) {
        total += waiting.size();
    }
    return total;
}

void ModelWaitIndex::insert(const std::string &model, Urgency urgency, EntryKey key)
{
    m_models[model].entries[urgencyIndex(urgency)].insert(key);
}

void ModelWaitIndex::erase(const std::string &model, Urgency urgency, EntryKey key)
{
    const auto found = m_models.find(model);
    if (found == m_models.end()) {
        return;
    }
    found->second.entries[urgencyIndex(urgency)].erase(key);
    if (found->second.phase == Phase::Absent && found->second.count() == 0) {
        m_models.erase(found);
    }
}

void ModelWaitIndex::setPhase(const std::string &model, Phase phase, TimePoint expectedReady)
{
    Model &state = m_models[model];
    state.phase = phase;
    state.expectedReady = expectedReady;
    if (phase == Phase::Absent && state.count() == 0) {
        m_models.erase(model);
    }
}

bool ModelWaitIndex::isReady(const std::string &model) const
{
    if (model.empty()) {
        return true;
    }
    const auto found = m_models.find(model);
    return found != m_models.end() && found->second.phase == Phase::Ready;
}

TimePoint ModelWaitIndex::expectedReady(const std::string &model, TimePoint now) const
{
    const auto found = m_models.find(model);
    if (found == m_models.end() || found->second.phase != Phase::Loading) {
        return now;
    }
    return std::max(now, found->second.expectedReady);
}

std::vector<std::uint64_t> ModelWaitIndex::entries(const std::string &model) const
{
    return entriesBefore(model, TimePoint::max());
}

std::vector<std::uint64_t> ModelWaitIndex::entriesBefore(const std::string &model, TimePoint time) const
{
    std::vector<std::uint64_t> sequences;
    const auto found = m_models.find(model);
    if (found == m_models.end()) {
        return sequences;
    }
    for (const auto &waiting : found->second.entries) {
        for (const auto &[latestStart, sequence] : waiting) {
            if (latestStart >= time) {
                break;
            }
            sequences.push_back(sequence);
        }
    }
    return sequences;
}

std::vector<ModelDemand> ModelWaitIndex::demands() const
{
    std::vector<ModelDemand> demands;
    for (const auto &[name, model] : m_models) {
        const auto first = std::find_if(model.entries.begin(), model.entries.end(), [](const auto &waiting) {
            return !waiting.empty();
        });
        if (name.empty() || model.phase == Phase::Ready || first == model.entries.end()) {
            continue;
        }
        const Urgency urgency = AllUrgencies[static_cast<std::size_t>(first - model.entries.begin())];
        demands.push_back({name, urgency, first->begin()->first, model.count()});
    }
    std::sort(demands.begin(), demands.end(), [](const ModelDemand &left, const ModelDemand &right) {
        return std::tie(left.urgency, left.latestStart, left.model)
            < std::tie(right.urgency, right.latestStart, right.model);
    });
    return demands;
}

} // namespace celeryroute
