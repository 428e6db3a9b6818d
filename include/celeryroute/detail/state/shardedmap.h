#pragma once

#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/state/copyonwrite.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief A map with string keys; copies are cheap, and an edit copies only one shard.
template <typename Value>
class ShardedMap
{
public:
    using Shard = std::map<std::string, Value>;
    static constexpr std::size_t ShardCount = 512;

    /// @brief Returns the value of @p key or nullptr; valid until this map is edited or destroyed.
    const Value *find(const std::string &key) const
    {
        const Shard &shard = *(*m_shards)[shardOf(key)];
        const auto found = shard.find(key);
        return found == shard.end() ? nullptr : &found->second;
    }

    void insertOrAssign(const std::string &key, Value value)
    {
        shardForEdit(key).insert_or_assign(key, std::move(value));
    }

    void erase(const std::string &key)
    {
        if (find(key) != nullptr) {
            shardForEdit(key).erase(key);
        }
    }

    /// @brief Returns the shard that contains @p key, for editing several entries at once.
    Shard &shardForEdit(const std::string &key)
    {
        return m_shards.edit()[shardOf(key)].edit();
    }

    std::size_t size() const
    {
        std::size_t total = 0;
        for (const CopyOnWrite<Shard> &shard : *m_shards) {
            total += shard->size();
        }
        return total;
    }

    /// @brief Calls @p visit(key, value) for each entry, in unspecified order.
    template <typename Visitor>
    void forEach(Visitor visit) const
    {
        for (const CopyOnWrite<Shard> &shard : *m_shards) {
            for (const auto &[key, value] : *shard) {
                visit(key, value);
            }
        }
    }

    /// @brief All keys in ascending order.
    std::vector<std::string> sortedKeys() const
    {
        std::vector<std::string> keys;
        keys.reserve(size());
        forEach([&keys](const std::string &key, const Value &) { keys.push_back(key); });
        std::sort(keys.begin(), keys.end());
        return keys;
    }

    bool operator==(const ShardedMap &) const = default;

private:
    static std::size_t shardOf(const std::string &key)
    {
        return stableHash(key) % ShardCount;
    }

    using Shards = std::array<CopyOnWrite<Shard>, ShardCount>;

    // All empty maps share one empty shard.
    static const CopyOnWrite<Shards> &emptyShards()
    {
        static const CopyOnWrite<Shards> Empty = [] {
            const CopyOnWrite<Shard> shard{Shard()};
            const std::vector<CopyOnWrite<Shard>> copies(ShardCount, shard);
            Shards shards{copies[0]};
            std::copy(copies.begin(), copies.end(), shards.begin());
            return CopyOnWrite<Shards>(std::move(shards));
        }();
        return Empty;
    }

    CopyOnWrite<Shards> m_shards = emptyShards();
};

} // namespace celeryroute
