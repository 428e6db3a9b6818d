#pragma once

#include <celeryroute/detail/targetlimit/coldlimit.h>
#include <celeryroute/detail/targetlimit/permitrequest.h>
#include <celeryroute/detail/targetlimit/targetlimit.h>

#include <string>
#include <vector>

namespace celeryroute {

/// What an entry knows of the limit of one target.
struct LimitNotice {
    std::string target;
    TargetLimit limit;
    bool operator==(const LimitNotice &) const = default;
};

/// What one entry tells another about targets that have limits.
struct LimitReport {
    std::vector<LimitNotice> notices;
    std::vector<PermitRequest> requests;
    std::vector<PermitGrant> grants;
    std::vector<ColdNotice> cold{}; ///< Of the targets in the requests.

    bool empty() const
    {
        return notices.empty() && requests.empty() && grants.empty() && cold.empty();
    }
    bool operator==(const LimitReport &) const = default;
};

} // namespace celeryroute
