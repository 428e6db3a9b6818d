#pragma once

#include <celeryroute/detail/residency/itemphase.h>

#include <cstdint>
#include <map>
#include <string>

namespace celeryroute {

/// What the ledger holds for one item.
struct LedgerItem {
    ItemPhase phase = ItemPhase::Absent;
    std::uint32_t memoryMb = 0;
    std::uint32_t version = 0;
    std::uint64_t fencing = 0; ///< Of the order that loaded it.
    bool operator==(const LedgerItem &) const = default;
};

/// @brief Accounts for the memory of one target; a plain value.
///
/// Memory is reserved before a load order goes out and freed only by a confirmation.
class MemoryLedger
{
public:
    explicit MemoryLedger(std::uint32_t capacityMb);

    std::uint32_t capacityMb() const;
    std::uint32_t usedMb() const;
    std::uint32_t freeMb() const; ///< 0 when more is in use than the capacity.
    std::uint32_t unloadingMb() const; ///< Part of usedMb() that unload orders will free.
    ItemPhase phase(const std::string &item) const;
    LedgerItem item(const std::string &item) const;
    const std::map<std::string, LedgerItem> &items() const;

    void setCapacity(std::uint32_t capacityMb);
    /// @brief Reserves memory for a load; false when the item is not absent or does not fit.
    bool reserve(const std::string &item, const LedgerItem &wanted);
    /// @brief Marks a resident item as being unloaded; false when it is not resident.
    bool beginUnload(const std::string &item);
    void confirmResident(const std::string &item);
    void confirmAbsent(const std::string &item);
    /// @brief Keeps the memory of an item whose order is in doubt.
    void markUnknown(const std::string &item);
    /// @brief Counts an item that the target reports although no order of ours loaded it.
    void adopt(const std::string &item, const LedgerItem &reported);

    bool operator==(const MemoryLedger &) const = default;

private:
    std::uint32_t m_capacityMb = 0;
    std::uint32_t m_usedMb = 0;
    std::map<std::string, LedgerItem> m_items;
};

} // namespace celeryroute
