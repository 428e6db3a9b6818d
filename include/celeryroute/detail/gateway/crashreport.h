#pragma once

#include <celeryroute/detail/gateway/crashingparts.h>
#include <celeryroute/detail/gateway/crashmark.h>

#include <cstdint>
#include <vector>

namespace celeryroute {

/// What an entry tells another one about crashes of targets.
struct CrashReport {
    std::vector<CrashMark> marks;
    std::vector<PartAnswer> partAnswers;
    std::uint64_t number = 0; ///< Among the reports of its sender's incarnation to its receiver, from 1.
    bool operator==(const CrashReport &) const = default;
};

} // namespace celeryroute
