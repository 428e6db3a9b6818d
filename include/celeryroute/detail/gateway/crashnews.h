#pragma once

#include <celeryroute/detail/gateway/crashingparts.h>
#include <celeryroute/detail/gateway/crashmark.h>

#include <cstddef>
#include <cstdint>
#include <variant>

namespace celeryroute {

/// A mark or an answer that other entries may need.
struct CrashNews {
    std::uint64_t number = 0; ///< Rises with each mark and answer that this process learns of.
    std::variant<CrashMark, PartAnswer> body;
    std::size_t crashes = 0; ///< Crashes of the request that count here, a pending one included.
    bool own = true; ///< Seen by this entry itself.
    bool operator==(const CrashNews &) const = default;
};

} // namespace celeryroute
