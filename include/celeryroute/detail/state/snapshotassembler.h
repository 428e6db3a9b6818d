#pragma once

#include <celeryroute/detail/state/fleetstate.h>

#include <records.pb.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief Puts snapshots together from parts that stand between other records of the log.
class SnapshotAssembler
{
public:
    /// @brief The state, when @p part completes a snapshot that can be read.
    std::optional<FleetState> add(const proto::StateSnapshot &part);

private:
    static constexpr std::size_t MaxUnfinished = 8;

    std::map<std::string, std::vector<proto::StateSnapshot>> m_partsById;
    std::vector<std::string> m_order;
};

} // namespace celeryroute
