#pragma once

#include <celeryroute/detail/allowance/memberview.h>
#include <celeryroute/detail/serving/servingbounds.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace celeryroute {

/// Limits further sends of requests, for each pool, as a part of the first sends.
///
/// Over all entries no window holds more than retryRatio * first sends + retrySlack.
class RetryAllowance
{
public:
    /// @param members must outlive this
    RetryAllowance(const ServingBounds &bounds, const MemberView &members);

    /// @brief Keeps other bounds from now on; what was sent before counts as far as it is remembered.
    void useBounds(const ServingBounds &bounds);

    /// @brief Notes that a request is sent to a target of @p pool for the first time.
    void noteFirstSend(const std::string &pool, TimePoint now);

    /// @brief Takes a further send to a target of @p pool; false when none is left.
    bool take(const std::string &pool, TimePoint now);

    /// @brief Further sends to targets of @p pool that may follow at once.
    double left(const std::string &pool, TimePoint now) const;
    /// @brief The least of left() over all pools that were sent to; nothing before the first send.
    std::optional<double> leastLeft(TimePoint now) const;

private:
    /// Sends within one slice of the window.
    struct Slice {
        TimePoint start;
        TimePoint last; ///< Its last send.
        std::uint32_t first = 0;
        std::uint32_t further = 0;
    };
    /// Sends of one pool, oldest first.
    struct Sends {
        std::deque<Slice> slices;
        std::uint64_t first = 0;
        std::uint64_t further = 0;
    };

    Slice &present(Sends &sends, TimePoint now) const;
    void expire(Sends &sends, TimePoint now) const;
    double allowed(std::uint64_t firstSends) const;
    double left(Sends sends, TimePoint now) const;

    ServingBounds m_bounds;
    const MemberView &m_members;
    std::unordered_map<std::string, Sends> m_pools;
};

} // namespace celeryroute
