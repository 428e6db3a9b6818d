#include <celeryroute/detail/keeper/orderblocks.h>

#include <celeryroute/detail/keeper/itemname.h>

#include <algorithm>

namespace celeryroute {

namespace {

using namespace std::chrono_literals;

constexpr Duration FirstConflict = 10ms;
constexpr Duration LongestConflict = 150ms;
constexpr Duration FirstRefusal = 250ms;
constexpr Duration LongestRefusal = 4s;
constexpr Duration Memory = 1s; ///< A failure within this time after a backoff doubles the delay.

} // namespace

void OrderBlocks::note(const TargetOrder &order, OrderAnswer outcome, TimePoint now)
{
    Block &block = m_blocks[toString(itemOf(order))];
    const bool refused = outcome == OrderAnswer::Rejected;
    const bool again = refused == block.refused && now - block.until < Memory;
    if (again) {
        block.delay = std::min(2 * block.delay, refused ? LongestRefusal : LongestConflict);
    } else {
        block.delay = refused ? FirstRefusal : FirstConflict;
    }
    block.refused = refused;
    block.until = now + block.delay;
}

bool OrderBlocks::blocked(const std::string &item, TimePoint now) const
{
    const auto found = m_blocks.find(item);
    return found != m_blocks.end() && now < found->second.until;
}

bool OrderBlocks::refused(const std::string &item, TimePoint now) const
{
    return blocked(item, now) && m_blocks.at(item).refused;
}

} // namespace celeryroute
