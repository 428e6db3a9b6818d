#pragma once

#include <celeryroute/detail/allowance/entrymembership.h>
#include <celeryroute/detail/serving/servingbounds.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace celeryroute {

/// @brief Limits the retries of requests for each pool in proportion to the first sends.
///
/// No window holds more than retryRatio * first sends + retrySlack retries over all entries.
class RetryLimiter
{
public:
    /// @param members must outlive this
    RetryLimiter(const ServingBounds &bounds, const EntryMembership &members);

    /// @brief Applies other bounds from now on. Earlier sends count as far as they are still stored.
    void useBounds(const ServingBounds &bounds);

    /// @brief Notes that a request is sent to a target of @p pool for the first time.
    void noteFirstSend(const std::string &pool, TimePoint now);

    /// @brief Takes a retry to a target of @p pool from the budget.
    /// @return false if the budget is exhausted
    bool tryTake(const std::string &pool, TimePoint now);

    /// @brief Number of retries to targets of @p pool that are allowed at present.
    double remaining(const std::string &pool, TimePoint now) const;
    /// @brief The least of remaining() over all pools that have received requests, or nothing before the first send.
    std::optional<double> leastRemaining(TimePoint now) const;

private:
    /// Sends within one slice of the window.
    struct Slice {
        TimePoint start;
        TimePoint lastSend;
        std::uint32_t firstSends = 0;
        std::uint32_t retries = 0;
    };
    /// Sends to one pool within the window, oldest first.
    struct Sends {
        std::deque<Slice> slices;
        std::uint64_t firstSends = 0;
        std::uint64_t retries = 0;
    };

    Slice &currentSlice(Sends &sends, TimePoint now) const;
    void expire(Sends &sends, TimePoint now) const;
    double allowedRetries(std::uint64_t firstSends) const;
    double remainingRetries(Sends sends, TimePoint now) const;

    ServingBounds m_bounds;
    const EntryMembership &m_members;
    std::unordered_map<std::string, Sends> m_pools;
};

} // namespace celeryroute
