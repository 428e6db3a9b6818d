#include <celeryroute/detail/residency/memoryledger.h>

namespace celeryroute {

MemoryLedger::MemoryLedger(std::uint32_t capacityMb)
    : m_capacityMb(capacityMb)
{}

std::uint32_t MemoryLedger::capacityMb() const
{
    return m_capacityMb;
}

std::uint32_t MemoryLedger::usedMb() const
{
    return m_usedMb;
}

std::uint32_t MemoryLedger::freeMb() const
{
    return m_usedMb >= m_capacityMb ? 0 : m_capacityMb - m_usedMb;
}

std::uint32_t MemoryLedger::unloadingMb() const
{
    std::uint32_t sum = 0;
    for (const auto &[name, entry] : m_items) {
        if (entry.phase == ItemPhase::Unloading) {
            sum += entry.memoryMb;
        }
    }
    return sum;
}

ItemPhase MemoryLedger::phase(const std::string &item) const
{
    const auto found = m_items.find(item);
    return found == m_items.end() ? ItemPhase::Absent : found->second.phase;
}

LedgerItem MemoryLedger::item(const std::string &item) const
{
    const auto found = m_items.find(item);
    return found == m_items.end() ? LedgerItem{} : found->second;
}

const std::map<std::string, LedgerItem> &MemoryLedger::items() const
{
    return m_items;
}

void MemoryLedger::setCapacity(std::uint32_t capacityMb)
{
    m_capacityMb = capacityMb;
}

bool MemoryLedger::reserve(const std::string &item, const LedgerItem &wanted)
{
    if (m_items.contains(item) || wanted.memoryMb > freeMb()) {
        return false;
    }
    LedgerItem entry = wanted;
    entry.phase = ItemPhase::Loading;
    m_usedMb += entry.memoryMb;
    m_items.emplace(item, entry);
    return true;
}

bool MemoryLedger::beginUnload(const std::string &item)
{
    const auto found = m_items.find(item);
    if (found == m_items.end() || found->second.phase != ItemPhase::Resident) {
        return false;
    }
    found->second.phase = ItemPhase::Unloading;
    return true;
}

void MemoryLedger::confirmResident(const std::string &item)
{
    const auto found = m_items.find(item);
    if (found != m_items.end()) {
        found->second.phase = ItemPhase::Resident;
    }
}

void MemoryLedger::confirmAbsent(const std::string &item)
{
    const auto found = m_items.find(item);
    if (found == m_items.end()) {
        return;
    }
    m_usedMb -= found->second.memoryMb;
    m_items.erase(found);
}

void MemoryLedger::markUnknown(const std::string &item)
{
    const auto found = m_items.find(item);
    if (found != m_items.end()) {
        found->second.phase = ItemPhase::Unknown;
    }
}

void MemoryLedger::setReported(const std::string &item, const LedgerItem &reported)
{
    confirmAbsent(item);
    m_usedMb += reported.memoryMb;
    m_items[item] = reported;
}

} // namespace celeryroute
