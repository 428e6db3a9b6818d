#pragma once

#include <celeryroute/detail/residency/itemdemand.h>
#include <celeryroute/storelimits.h>
#include <celeryroute/time.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace celeryroute {

/// A host that wants to load an item from the weight store.
struct SlotRequest {
    std::string id; ///< Unique per load.
    bool adapter = false;
    LoadDemand demand;
    Duration expectedLoad = std::chrono::seconds(1);
    bool operator==(const SlotRequest &) const = default;
};

/// @brief Hands out the load slots of one weight store, most urgent first; a plain value.
///
/// Models are limited in loads at once and loads a second, adapters in number in flight. A slot that
/// is not given back is taken as free after a multiple of its expected load time.
class PacingPolicy
{
public:
    explicit PacingPolicy(StoreLimits limits);

    void setLimits(StoreLimits limits);
    void request(const SlotRequest &request);
    /// @brief Withdraws a waiting request or gives back its slot.
    void finish(const std::string &id);
    /// @brief The requests that may load now. Those past their deadline are dropped.
    std::vector<std::string> grant(TimePoint now);
    /// @brief When grant() can have more to give; TimePoint::max() when nothing waits.
    TimePoint nextGrant(TimePoint now) const;
    std::size_t inFlight(bool adapter) const;
    std::size_t waiting() const;

private:
    struct Slot {
        bool adapter = false;
        TimePoint lapses;
    };

    bool hasRoom(bool adapter, TimePoint now) const;
    void dropLapsed(TimePoint now);

    StoreLimits m_limits;
    std::vector<SlotRequest> m_waiting;
    std::map<std::string, Slot> m_slots;
    TimePoint m_nextModel; ///< Loads a second: the next model may start then.
};

/// @brief The limits that one of @p agents agents keeps to by itself while the pacer is silent.
StoreLimits staticShare(const StoreLimits &limits, std::size_t agents);

} // namespace celeryroute
