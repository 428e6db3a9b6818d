#pragma once

#include <celeryroute/detail/serving/targetorder.h>
#include <celeryroute/time.h>

#include <string>
#include <unordered_map>

namespace celeryroute {

/// Items for which no order is given for a while, since the target did not take the last one.
class OrderBlocks
{
public:
    /// @brief The target answered @p order with a conflict or a rejection.
    void note(const TargetOrder &order, OrderAnswer outcome, TimePoint now);

    /// @brief The target took an order for @p item.
    void clear(const std::string &item)
    {
        m_blocks.erase(item);
    }
    void clear()
    {
        m_blocks.clear();
    }

    bool blocked(const std::string &item, TimePoint now) const;

    /// @brief Blocked because the target will not have it.
    bool refused(const std::string &item, TimePoint now) const;

private:
    struct Block {
        TimePoint until;
        Duration delay{};
        bool refused = false;
    };

    std::unordered_map<std::string, Block> m_blocks;
};

} // namespace celeryroute
