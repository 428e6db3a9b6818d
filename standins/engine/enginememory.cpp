#include <standins/enginememory.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace celeryroute {

EngineMemory::EngineMemory(std::uint64_t memoryMb, bool ignoreFencing)
    : m_memoryMb(memoryMb)
    , m_ignoreFencing(ignoreFencing)
{}

Result<EngineMemory::Start> EngineMemory::startLoad(const LoadOrder &order)
{
    BOOST_LEAF_CHECK(checkFencing(order));
    const std::string item = order.item();
    const auto found = m_items.find(item);
    if (found != m_items.end()) {
        found->second.order.fencing = order.fencing;
        return found->second.state == State::Loading ? Start::AlreadyLoading : Start::AlreadyResident;
    }
    if (!order.adapter.empty() && !resident(order.model)) {
        return fail(ResultCode::ModelUnknown, absl::StrCat("the model of ", item, " is not resident"));
    }
    if (m_usedMb + order.memoryMb > m_memoryMb) {
        ++m_memoryRefusals;
        return fail(ResultCode::MemoryExhausted, absl::StrCat(item, " needs ", order.memoryMb, " MB"));
    }
    m_usedMb += order.memoryMb;
    m_mostUsedMb = std::max(m_mostUsedMb, m_usedMb);
    m_items[item] = Item{order, State::Loading};
    ++m_loads[item];
    return Start::Begun;
}

void EngineMemory::finishLoad(const std::string &item, bool loaded)
{
    const auto found = m_items.find(item);
    if (found == m_items.end()) {
        return;
    }
    if (loaded) {
        found->second.state = State::Resident;
        return;
    }
    m_usedMb -= found->second.order.memoryMb;
    m_items.erase(found);
}

// The adapters of a model go with it, as their weights refer to its layers.
Result<void> EngineMemory::unload(const LoadOrder &order)
{
    BOOST_LEAF_CHECK(checkFencing(order));
    const std::string item = order.item();
    for (auto it = m_items.begin(); it != m_items.end();) {
        if (it->first == item || absl::StartsWith(it->first, item + "/")) {
            m_usedMb -= it->second.order.memoryMb;
            it = m_items.erase(it);
        } else {
            ++it;
        }
    }
    return {};
}

Result<void> EngineMemory::checkFencing(const LoadOrder &order)
{
    std::uint64_t &highest = m_fencing[order.item()];
    if (!m_ignoreFencing && order.fencing < highest) {
        ++m_fencingRefusals;
        return fail(ResultCode::NotAuthorized,
                    absl::StrCat("fencing number ", order.fencing, " is older than ", highest));
    }
    highest = std::max(highest, order.fencing);
    return {};
}

bool EngineMemory::resident(const std::string &item) const
{
    const auto found = m_items.find(item);
    return found != m_items.end() && found->second.state == State::Resident;
}

const std::map<std::string, EngineMemory::Item> &EngineMemory::items() const
{
    return m_items;
}

const std::map<std::string, std::uint64_t> &EngineMemory::loads() const
{
    return m_loads;
}

std::uint64_t EngineMemory::memoryMb() const
{
    return m_memoryMb;
}

std::uint64_t EngineMemory::usedMb() const
{
    return m_usedMb;
}

std::uint64_t EngineMemory::mostUsedMb() const
{
    return m_mostUsedMb;
}

std::uint64_t EngineMemory::fencingRefusals() const
{
    return m_fencingRefusals;
}

std::uint64_t EngineMemory::memoryRefusals() const
{
    return m_memoryRefusals;
}

} // namespace celeryroute
