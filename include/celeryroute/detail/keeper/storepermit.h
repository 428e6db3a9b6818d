#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <optional>

namespace celeryroute {

/// @brief The permit of an agent for its next load from the weight store, and the request for it.
///
/// Its validity counts from the request, on the agent's own clock. So neither the way of the messages nor a suspension
/// of either process can extend it. At most one request is open.
class StorePermit
{
public:
    /// @brief Begins a request and returns its number. Earlier ones become void.
    std::uint64_t request(TimePoint now);

    /// @brief Notes that request @p number was granted.
    /// @return false if it is not the open request, or was granted too late, so that the permit cannot be used
    bool noteGranted(std::uint64_t number, TimePoint now);

    /// @brief Whether a load may begin.
    bool isUsable(TimePoint now) const;

    /// @brief Uses the permit up and returns its number.
    std::uint64_t use();

private:
    bool isValid(TimePoint now) const;

    std::uint64_t m_number = 0;
    std::optional<TimePoint> m_requestedAt; ///< Empty if no request is open.
    bool m_granted = false;
};

} // namespace celeryroute
