#pragma once

#include <celeryroute/detail/residency/itemdemand.h>
#include <celeryroute/storelimits.h>
#include <celeryroute/time.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace celeryroute {

/// Request of a host to load an item from the weight store.
struct SlotRequest {
    std::string id; ///< Unique per load.
    bool adapter = false;
    LoadDemand demand;
    Duration expectedLoad = std::chrono::seconds(1);
    bool operator==(const SlotRequest &) const = default;
};

/// @brief Grants the load slots of one weight store, most urgent first. A copyable value type.
///
/// Models are limited in parallel loads and in loads per second, adapters in parallel loads. A slot that
/// is not returned expires after a multiple of its expected load time.
class PacingPolicy
{
public:
    explicit PacingPolicy(StoreLimits limits);

    void setLimits(StoreLimits limits);
    void request(const SlotRequest &request);
    /// @brief Withdraws a waiting request or returns its slot.
    void finish(const std::string &id);
    /// @brief Returns the ids of the requests that may load now. Drops requests past their deadline.
    std::vector<std::string> grant(TimePoint now);
    /// @brief Earliest time at which grant() may grant another slot, TimePoint::max() if nothing waits.
    TimePoint nextGrant(TimePoint now) const;
    /// @brief Number of granted slots of adapters or of models.
    std::size_t inFlight(bool adapter) const;
    std::size_t waiting() const;

private:
    struct Slot {
        bool adapter = false;
        TimePoint expires;
    };

    bool hasRoom(bool adapter, TimePoint now) const;
    void dropExpired(TimePoint now);

    StoreLimits m_limits;
    std::vector<SlotRequest> m_waiting;
    std::map<std::string, Slot> m_slots;
    TimePoint m_nextModel; ///< Earliest start of the next model load, from loads per second.
};

/// @brief Limits that each of @p agents agents applies on its own while the pacer does not answer.
StoreLimits staticShare(const StoreLimits &limits, std::size_t agents);

} // namespace celeryroute
