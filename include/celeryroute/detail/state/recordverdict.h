#pragma once

#include <celeryroute/detail/state/refusal.h>
#include <celeryroute/error.h>

#include <cstdint>
#include <string>

namespace celeryroute {

/// What became of a record that this process wanted appended.
enum class Settlement {
    Accepted,
    PartlyAccepted, ///< Some items of an AuthorityChange were refused.
    Refused, ///< In the log, without effect.
    Recorded, ///< In the log; this process skipped it by a snapshot and did not see its effect.
    NotAppended, ///< Not in the log, and it will not be: no effect.
    Unsettled, ///< May be in the log or get there; nothing more will be found out.
};

/// The end of a record's way into the log.
struct RecordVerdict {
    std::string recordId;
    Settlement settlement = Settlement::Unsettled;
    std::uint64_t offset = 0; ///< Where it stands, when folded here.
    Refusals refusals;
    Error error; ///< Why it was not appended or not settled.
    bool operator==(const RecordVerdict &) const = default;
};

} // namespace celeryroute
