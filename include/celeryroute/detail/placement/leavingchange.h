#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace celeryroute {

/// A target is said to be leaving, or what its agent told has ended with a lifetime.
struct LeavingChange {
    std::string target;
    std::string pool;
    std::int64_t bornMs = 0; ///< Start of the target's lifetime that is known now, in Unix milliseconds.
    bool leaving = false; ///< Whether the target counts as leaving now.
    std::string_view reason; ///< `answer` or `agent` told, or `lifetime`.
    std::string request; ///< The call whose answer told.
    bool operator==(const LeavingChange &) const = default;
};

} // namespace celeryroute
