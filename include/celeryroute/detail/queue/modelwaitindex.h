#pragma once

#include <celeryroute/detail/queue/urgencyclasses.h>
#include <celeryroute/time.h>

#include <absl/container/node_hash_map.h>

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace celeryroute {

/// A model that is not resident and that waiting entries need.
struct ModelDemand {
    std::string model;
    Urgency urgency = Urgency::Bulk; ///< The most urgent class of its waiting entries.
    TimePoint latestStart{}; ///< The earliest of the latest starts in that class.
    std::size_t waiting = 0; ///< Number of waiting entries.
    bool operator==(const ModelDemand &) const = default;
};

/// Tracks which models are resident at a target and which waiting entries need them.
class ModelWaitIndex
{
public:
    enum class Phase {
        Absent,
        Loading,
        Ready,
    };
    using EntryKey = std::pair<TimePoint, std::uint64_t>; ///< Latest start and sequence.

    void insert(const std::string &model, Urgency urgency, EntryKey key);
    void erase(const std::string &model, Urgency urgency, EntryKey key);

    void setPhase(const std::string &model, Phase phase, TimePoint expectedReady);

    /// @brief Whether entries of @p model may start. Always true for the empty name, which needs no model.
    bool isReady(const std::string &model) const;

    /// @brief Time at which @p model is expected to be resident. Returns @p now unless it is loading.
    TimePoint expectedReady(const std::string &model, TimePoint now) const;

    /// @brief Sequences of all entries of @p model.
    std::vector<std::uint64_t> entries(const std::string &model) const;

    /// @brief Sequences of the entries of @p model whose latest start is before @p time.
    std::vector<std::uint64_t> entriesBefore(const std::string &model, TimePoint time) const;

    /// @brief Models that are not resident and have waiting entries, the most urgent first.
    std::vector<ModelDemand> demands() const;

private:
    struct Model {
        Phase phase = Phase::Absent;
        TimePoint expectedReady{};
        std::array<std::set<EntryKey>, AllUrgencies.size()> entries;

        std::size_t count() const;
    };

    absl::node_hash_map<std::string, Model> m_models;
};

} // namespace celeryroute
