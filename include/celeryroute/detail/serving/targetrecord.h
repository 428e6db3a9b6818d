#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace celeryroute {

/// A model in a target's memory.
struct ResidentModel {
    std::string name;
    std::uint64_t version = 0; ///< Of its weights.
    std::vector<std::string> adapters; ///< Names without the model's.
    bool operator==(const ResidentModel &) const = default;
};

/// Copies of weights that a target can load without the weight store.
struct LocalCopies {
    std::vector<std::string> inMemory;
    std::vector<std::string> onDisk;
    bool operator==(const LocalCopies &) const = default;
};

/// What the registry says about one lifetime of a target.
struct TargetRecord {
    std::string id; ///< Instance; a restart may keep it, see born.
    std::string pool;
    std::string address; ///< `IP:PORT`
    std::string domain;
    std::uint32_t slots = 0;
    bool draining = false;
    std::optional<Duration> remaining; ///< Until the host is taken away.
    std::int64_t bornMs = 0; ///< Unix time of the target's start; 0 when it is not said.
    std::uint64_t sequence = 0; ///< Orders accepted.
    std::vector<ResidentModel> models;
    LocalCopies copies;
    bool operator==(const TargetRecord &) const = default;
};

} // namespace celeryroute
