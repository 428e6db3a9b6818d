#pragma once

#include <celeryroute/detail/queue/queueentry.h>

#include <absl/container/node_hash_map.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace celeryroute {

/// Index of waiting entries by customer that selects the entry to evict from a full queue.
class BacklogIndex
{
public:
    void insert(const QueueEntry &entry, std::uint64_t sequence);
    void erase(const QueueEntry &entry, std::uint64_t sequence);

    /// @brief Sequence of the newest entry in the least urgent class of the customer with the most queued
    /// tokens per weight. Empty if nothing waits.
    std::optional<std::uint64_t> evictionCandidate() const;

private:
    struct Backlog {
        double weight = 1.0;
        std::uint64_t tokens = 0;
        std::set<std::pair<std::size_t, std::uint64_t>> entries; ///< Class index and sequence.

        double perWeight() const
        {
            return static_cast<double>(tokens) / weight;
        }
    };

    absl::node_hash_map<std::string, Backlog> m_customers;
    std::set<std::pair<double, std::string>> m_byTokens;
};

} // namespace celeryroute
