#include <celeryroute/detail/claims/claimtable.h>

#include <algorithm>

namespace celeryroute {
namespace {

std::size_t shardOf(const ClaimSlot &slot)
{
    return slot.hashValue() % ClaimTable::ShardCount;
}

bool sameClaim(const ClaimTable::ClaimPtr &left, const ClaimTable::ClaimPtr &right)
{
    if (left == right) {
        return true;
    }
    return left && right && *left == *right;
}

} // namespace

std::size_t ClaimTable::shardIndex(const std::string &customer, const std::string &keyDigest)
{
    return shardOf(claimSlot(customer, keyDigest));
}

const ClaimTable::ClaimPtr *ClaimTable::lookUp(const ClaimSlot &slot) const
{
    const std::shared_ptr<Shard> &shard = m_shards[shardOf(slot)];
    if (!shard) {
        return nullptr;
    }
    const auto found = shard->find(slot);
    return found == shard->end() ? nullptr : &found->second;
}

ClaimTable::ClaimPtr ClaimTable::find(const std::string &customer, const std::string &keyDigest) const
{
    const ClaimPtr *claim = lookUp(claimSlot(customer, keyDigest));
    return claim != nullptr ? *claim : nullptr;
}

bool ClaimTable::isRetired(const std::string &customer, const std::string &keyDigest) const
{
    const ClaimPtr *claim = lookUp(claimSlot(customer, keyDigest));
    return claim != nullptr && *claim == nullptr;
}

std::vector<ClaimTable::ClaimPtr> ClaimTable::claims() const
{
    std::vector<std::pair<ClaimSlot, ClaimPtr>> found;
    found.reserve(m_claimCount);
    for (const std::shared_ptr<Shard> &shard : m_shards) {
        if (!shard) {
            continue;
        }
        std::copy_if(shard->begin(), shard->end(), std::back_inserter(found), [](const auto &item) {
            return item.second != nullptr;
        });
    }
    std::sort(found.begin(), found.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    std::vector<ClaimPtr> result;
    result.reserve(found.size());
    std::transform(found.begin(), found.end(), std::back_inserter(result), [](const auto &item) {
        return item.second;
    });
    return result;
}

std::vector<ClaimSlot> ClaimTable::retiredSlots() const
{
    std::vector<ClaimSlot> result;
    result.reserve(m_retiredCount);
    for (const std::shared_ptr<Shard> &shard : m_shards) {
        if (!shard) {
            continue;
        }
        for (const auto &[slot, claim] : *shard) {
            if (claim == nullptr) {
                result.push_back(slot);
            }
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

bool ClaimTable::operator==(const ClaimTable &other) const
{
    if (m_timeMs != other.m_timeMs || m_claimCount != other.m_claimCount || m_retiredCount != other.m_retiredCount) {
        return false;
    }
    for (std::size_t index = 0; index < ShardCount; ++index) {
        if (m_shards[index] == other.m_shards[index] || !m_shards[index]) {
            continue;
        }
        for (const auto &[slot, claim] : *m_shards[index]) {
            const ClaimPtr *counterpart = other.lookUp(slot);
            if (counterpart == nullptr || !sameClaim(claim, *counterpart)) {
                return false;
            }
        }
    }
    return true;
}

// A shard that is not shared with another table is changed in place.
ClaimTable::Shard &ClaimTable::writableShard(std::size_t index)
{
    std::shared_ptr<Shard> &shard = m_shards[index];
    if (!shard) {
        shard = std::make_shared<Shard>();
    } else if (shard.use_count() > 1) {
        shard = std::make_shared<Shard>(*shard);
    }
    return *shard;
}

void ClaimTable::subtractFromTotals(const ClaimPtr &claim)
{
    if (claim) {
        --m_claimCount;
        m_answerBytes -= claim->answer.body.size();
    } else {
        --m_retiredCount;
    }
}

void ClaimTable::put(const ClaimSlot &slot, const ClaimPtr &claim)
{
    erase(slot);
    if (claim) {
        ++m_claimCount;
        m_answerBytes += claim->answer.body.size();
    } else {
        ++m_retiredCount;
    }
    writableShard(shardOf(slot)).emplace(slot, claim);
}

void ClaimTable::erase(const ClaimSlot &slot)
{
    const ClaimPtr *claim = lookUp(slot);
    if (claim == nullptr) {
        return;
    }
    subtractFromTotals(*claim);
    writableShard(shardOf(slot)).erase(slot);
}

ClaimTable ClaimTable::with(Claim claim) &&
{
    const ClaimSlot slot = claimSlot(claim.customer, claim.keyDigest);
    put(slot, std::make_shared<const Claim>(std::move(claim)));
    return std::move(*this);
}

ClaimTable ClaimTable::withRetired(const ClaimSlot &slot) &&
{
    put(slot, nullptr);
    return std::move(*this);
}

ClaimTable ClaimTable::atTime(std::int64_t timeMs) &&
{
    m_timeMs = std::max(m_timeMs, timeMs);
    return std::move(*this);
}

// Removes the claims that are older than the horizon. The slot becomes free if the key has a creation time, since
// the key is then refused by that time, or if the call never ran. Otherwise the key would look new if it were
// sent again, so its slot is kept as retired.
ClaimTable ClaimTable::swept(std::size_t index) &&
{
    if (!m_shards[index]) {
        return std::move(*this);
    }
    std::vector<std::pair<ClaimSlot, ClaimPtr>> expired;
    for (const auto &item : *m_shards[index]) {
        if (item.second && item.second->ageBaseMs() < horizonMs()) {
            expired.push_back(item);
        }
    }
    for (const auto &[slot, claim] : expired) {
        erase(slot);
        if (claim->keyTimeMs == 0 && claim->phase != ClaimPhase::Tombstoned) {
            put(slot, nullptr);
        }
    }
    return std::move(*this);
}

} // namespace celeryroute
