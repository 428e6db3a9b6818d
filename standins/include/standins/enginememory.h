#pragma once

#include <celeryroute/result.h>
#include <standins/loadorder.h>

#include <cstdint>
#include <map>
#include <string>

namespace celeryroute {

/// @brief What an engine holds in memory, its fencing numbers and what became of its orders.
class EngineMemory
{
public:
    enum class State { Loading, Resident };
    enum class Start { Begun, AlreadyLoading, AlreadyResident };
    struct Item {
        LoadOrder order;
        State state = State::Loading;
    };

    EngineMemory(std::uint64_t memoryMb, bool ignoreFencing);

    /// @brief Reserves memory. Fails with NotAuthorized (old fencing number), MemoryExhausted, or
    /// ModelUnknown (an adapter without its model).
    Result<Start> startLoad(const LoadOrder &order);
    void finishLoad(const std::string &item, bool loaded);
    /// @brief Fails with NotAuthorized.
    Result<void> unload(const LoadOrder &order);
    bool resident(const std::string &item) const;

    const std::map<std::string, Item> &items() const;
    const std::map<std::string, std::uint64_t> &loads() const;
    std::uint64_t memoryMb() const;
    std::uint64_t usedMb() const;
    std::uint64_t mostUsedMb() const;
    std::uint64_t fencingRefusals() const;
    std::uint64_t memoryRefusals() const;

private:
    Result<void> checkFencing(const LoadOrder &order);

    const std::uint64_t m_memoryMb;
    const bool m_ignoreFencing;
    std::map<std::string, Item> m_items;
    std::map<std::string, std::uint64_t> m_fencing;
    std::map<std::string, std::uint64_t> m_loads;
    std::uint64_t m_usedMb = 0;
    std::uint64_t m_mostUsedMb = 0;
    std::uint64_t m_fencingRefusals = 0;
    std::uint64_t m_memoryRefusals = 0;
};

} // namespace celeryroute
