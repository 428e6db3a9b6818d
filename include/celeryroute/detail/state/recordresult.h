#pragma once

#include <celeryroute/detail/state/refusal.h>
#include <celeryroute/error.h>

#include <cstdint>
#include <string>

namespace celeryroute {

/// Result of submitting a record to the log.
enum class RecordStatus {
    Accepted, ///< In the log, with effect.
    PartlyAccepted, ///< Some items of an AuthorityChange were refused.
    Refused, ///< In the log, without effect.
    Recorded, ///< In the log, but its effect is unknown, e.g. if a snapshot covers it.
    NotAppended, ///< Not in the log and never will be; no effect.
    Unsettled, ///< May be in the log or still arrive there; its result stays unknown.
};

/// Final result of a submitted record.
struct RecordResult {
    std::string recordId;
    RecordStatus status = RecordStatus::Unsettled;
    std::uint64_t offset = 0; ///< Log offset of the record if this process folded it.
    Refusals refusals;
    Error error; ///< Why it was not appended or not settled.
    bool operator==(const RecordResult &) const = default;
};

} // namespace celeryroute
