#pragma once

#include <celeryroute/detail/serving/targetorder.h>
#include <celeryroute/time.h>

#include <string>
#include <unordered_map>

namespace celeryroute {

/// @brief Exponential backoff for each item, after the target did not accept an order for it.
class OrderBackoff
{
public:
    /// @brief Starts or extends the backoff after the target answered @p order with a conflict or a rejection.
    void noteFailure(const TargetOrder &order, OrderAnswer outcome, TimePoint now);

    /// @brief Ends the backoff of @p item, since the target accepted an order for it.
    void clear(const std::string &item)
    {
        m_backoffs.erase(item);
    }
    void clear()
    {
        m_backoffs.clear();
    }

    /// @brief Whether no order for @p item should be sent at @p now.
    bool isBlocked(const std::string &item, TimePoint now) const;

    /// @brief Whether the backoff of @p item follows a rejection rather than a conflict.
    bool isRejected(const std::string &item, TimePoint now) const;

private:
    struct Backoff {
        TimePoint until;
        Duration delay{};
        bool rejected = false;
    };

    std::unordered_map<std::string, Backoff> m_backoffs;
};

} // namespace celeryroute
