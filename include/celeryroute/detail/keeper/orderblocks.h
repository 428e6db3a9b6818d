#pragma once

#include <celeryroute/detail/serving/targetorder.h>
#include <celeryroute/time.h>

#include <string>
#include <unordered_map>

namespace celeryroute {

/// @brief Exponential backoff for each item, after the target did not accept an order for it.
class OrderBlocks
{
public:
    /// @brief Starts or extends the backoff after the target answered @p order with a conflict or a rejection.
    void note(const TargetOrder &order, OrderAnswer outcome, TimePoint now);

    /// @brief Ends the backoff of @p item, since the target accepted an order for it.
    void clear(const std::string &item)
    {
        m_blocks.erase(item);
    }
    void clear()
    {
        m_blocks.clear();
    }

    /// @brief Whether no order for @p item should be sent at @p now.
    bool blocked(const std::string &item, TimePoint now) const;

    /// @brief Whether the backoff of @p item follows a rejection rather than a conflict.
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
