#pragma once

#include <celeryroute/detail/residency/itemphase.h>

#include <cstdint>
#include <map>
#include <string>

namespace celeryroute {

/// Entry of the ledger for one item.
struct LedgerItem {
    ItemPhase phase = ItemPhase::Absent;
    std::uint32_t memoryMb = 0;
    std::uint32_t version = 0;
    std::uint64_t fencing = 0; ///< Fencing number of the order that loaded the item.
    bool operator==(const LedgerItem &) const = default;
};

/// @brief Accounts for the memory of one target. A copyable value type.
///
/// Memory is reserved before a load order is sent and freed only when its absence is confirmed.
class MemoryLedger
{
public:
    explicit MemoryLedger(std::uint32_t capacityMb);

    std::uint32_t capacityMb() const;
    std::uint32_t usedMb() const;
    std::uint32_t freeMb() const; ///< 0 if usage exceeds the capacity.
    std::uint32_t unloadingMb() const; ///< Part of usedMb() that pending unload orders will free.
    ItemPhase phase(const std::string &item) const;
    LedgerItem item(const std::string &item) const;
    const std::map<std::string, LedgerItem> &items() const;

    void setCapacity(std::uint32_t capacityMb);
    /// @brief Reserves memory for a load. Returns false if the item is already present or does not fit.
    bool reserve(const std::string &item, const LedgerItem &wanted);
    /// @brief Marks a resident item as being unloaded. Returns false if it is not resident.
    bool beginUnload(const std::string &item);
    void confirmResident(const std::string &item);
    void confirmAbsent(const std::string &item);
    /// @brief Keeps the memory of an item reserved because the outcome of its order is unknown.
    void markUnknown(const std::string &item);
    /// @brief Sets the entry of an item as reported by the target, also if this process did not load it.
    void setReported(const std::string &item, const LedgerItem &reported);

    bool operator==(const MemoryLedger &) const = default;

private:
    std::uint32_t m_capacityMb = 0;
    std::uint32_t m_usedMb = 0;
    std::map<std::string, LedgerItem> m_items;
};

} // namespace celeryroute
