#pragma once

#include <celeryroute/detail/gateway/streamorigin.h>

#include <string_view>
#include <variant>

namespace celeryroute {

/// The stream may go on at targets of its origin only.
struct ContinueStream {
    StreamOrigin origin;
    std::string_view evidence; ///< How the origin is known.
    bool operator==(const ContinueStream &) const = default;
};

/// No target of the pool is known, so no version either.
struct NoVersionServes {
    bool operator==(const NoVersionServes &) const = default;
};

/// Several versions may have begun the stream. The caller has to begin anew.
struct BeginAnew {
    bool operator==(const BeginAnew &) const = default;
};

using Resumption = std::variant<ContinueStream, NoVersionServes, BeginAnew>;

} // namespace celeryroute
