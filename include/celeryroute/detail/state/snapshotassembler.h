#pragma once

#include <celeryroute/detail/state/fleetstate.h>

#include <records.pb.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief Assembles snapshots from parts that are interleaved with other log records.
class SnapshotAssembler
{
public:
    /// @brief Returns the state if @p part completes a valid snapshot.
    std::optional<FleetState> add(const proto::StateSnapshot &part);

private:
    static constexpr std::size_t MaxUnfinished = 8;

    std::map<std::string, std::vector<proto::StateSnapshot>> m_partsById;
    std::vector<std::string> m_order;
};

} // namespace celeryroute
