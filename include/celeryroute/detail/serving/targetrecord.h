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
    std::uint64_t version = 0; ///< Version of its weights.
    std::vector<std::string> adapters; ///< Resident adapters, named without the model.
    bool operator==(const ResidentModel &) const = default;
};

/// Copies of weights that a target can load without the weight store.
struct LocalCopies {
    std::vector<std::string> inMemory;
    std::vector<std::string> onDisk;
    bool operator==(const LocalCopies &) const = default;
};

/// Registry record of a target, for one lifetime of its process.
struct TargetRecord {
    std::string id; ///< Instance id. It may stay the same over a restart; bornMs tells the lifetimes apart.
    std::string pool;
    std::string address; ///< `IP:PORT`
    std::string domain;
    std::string softwareVersion; ///< Version of the target's software, not of weights; empty if unknown.
    std::uint32_t slots = 0;
    bool draining = false;
    std::optional<Duration> remaining; ///< Time until the host is removed.
    std::int64_t bornMs = 0; ///< Start of the target in Unix milliseconds; 0 if unknown.
    std::uint64_t sequence = 0; ///< Number of accepted orders.
    std::vector<ResidentModel> models;
    LocalCopies copies;
    Duration coldRemaining{}; ///< Time for which the target is still cold.
    bool operator==(const TargetRecord &) const = default;
};

} // namespace celeryroute
