#pragma once

#include <array>
#include <cstdint>
#include <cstring>
#include <string>

namespace celeryroute {

/// Identifies an idempotency key in the claim table: 128 bits of a digest of customer and key.
struct ClaimSlot {
    static constexpr std::size_t Size = 16;
    std::array<char, Size> bytes{};
    bool operator==(const ClaimSlot &) const = default;
    bool operator<(const ClaimSlot &other) const
    {
        return bytes < other.bytes;
    }

    /// @brief Hash value; uniformly distributed because the slot is part of a SHA-256 digest.
    std::uint64_t hashValue() const
    {
        std::uint64_t value = 0;
        std::memcpy(&value, bytes.data(), sizeof value);
        return value;
    }
};

/// Hash function for hash tables within one shard.
struct ClaimSlotHash {
    std::size_t operator()(const ClaimSlot &slot) const
    {
        return slot.hashValue() / 1024; // The low bits select the shard and are equal within it.
    }
};

/// @brief Returns the slot of the key with digest @p keyDigest of @p customer.
ClaimSlot claimSlot(const std::string &customer, const std::string &keyDigest);

} // namespace celeryroute
