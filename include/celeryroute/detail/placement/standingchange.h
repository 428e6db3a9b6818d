#pragma once

#include <celeryroute/time.h>

#include <string>
#include <string_view>

namespace celeryroute {

/// A target gets no requests for a time, or gets them again.
struct StandingChange {
    std::string target;
    bool shunned = false;
    std::string_view reason;
    Duration span{}; ///< Shunned: until the next probe. Restored: how long it was shunned.
    bool operator==(const StandingChange &) const = default;
};

} // namespace celeryroute
