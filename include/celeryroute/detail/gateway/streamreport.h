#pragma once

#include <celeryroute/detail/gateway/streamorigin.h>
#include <celeryroute/detail/placement/poolversions.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <vector>

namespace celeryroute {

/// A stream that a caller may take up again.
struct StreamRecord {
    std::uint64_t stream = 0; ///< streamDigest() of it.
    StreamOrigin origin;
    TimePoint noted; ///< When a target last began to send events of it.
    bool operator==(const StreamRecord &) const = default;
};

/// What an entry tells the other entries about streams while several software versions serve.
struct StreamReport {
    std::vector<VersionSighting> versions;
    std::vector<StreamRecord> streams;
    bool operator==(const StreamReport &) const = default;
};

} // namespace celeryroute
