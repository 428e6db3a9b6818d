#pragma once

#include <celeryroute/detail/queue/queueentry.h>

#include <absl/container/node_hash_map.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace celeryroute {

/// Finds the entry to evict when a queue is full.
class BacklogIndex
{
public:
    void insert(const QueueEntry &entry, std::uint64_t sequence);
    void erase(const QueueEntry &entry, std::uint64_t sequence);

    /// @brief The newest of the least urgent entries of the customer with the most queued tokens
    /// per weight; empty when nothing waits.
    std::optional<std::uint64_t> victim() const;

private:
    struct Backlog {
        double weight = 1.0;
        std::uint64_t tokens = 0;
        std::set<std::pair<std::size_t, std::uint64_t>> entries; ///< Class and sequence.

        double perWeight() const
        {
            return static_cast<double>(tokens) / weight;
        }
    };

    absl::node_hash_map<std::string, Backlog> m_customers;
    std::set<std::pair<double, std::string>> m_byTokens;
};

} // namespace celeryroute
