#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace celeryroute {

/// One change of a prefix cache.
struct CacheEvent {
    std::uint64_t sequence = 0;
    std::string prefix; ///< Digest of model and leading text.
    bool stored = false; ///< False when the prefix was evicted.
    bool operator==(const CacheEvent &) const = default;
};

/// @brief Prompt prefixes in least-recently-used order, with events of which some are lost.
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t capacity);

    /// @brief Uses a prompt's prefix; true when it was cached.
    bool use(const std::string &model, const std::string &prompt);
    /// @brief Events with a sequence number from @p from on, as far as they are kept.
    std::vector<CacheEvent> events(std::uint64_t from) const;

private:
    void publish(const std::string &prefix, bool stored);

    const std::size_t m_capacity;
    std::list<std::string> m_order;
    std::unordered_map<std::string, std::list<std::string>::iterator> m_positions;
    std::uint64_t m_nextSequence = 0;
    std::deque<CacheEvent> m_events;
};

} // namespace celeryroute
