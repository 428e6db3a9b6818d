#pragma once

#include <string>

namespace celeryroute {

/// What a record of the operators' topic says about the evacuation of a failure domain.
enum class EvacuationReading {
    Unrelated, ///< The record is of another kind.
    Begins,
    Ends,
    Malformed, ///< The record names no failure domain, or its value is invalid.
};

/// A record that was read for evacuations.
struct EvacuationRecord {
    EvacuationReading reading = EvacuationReading::Unrelated;
    std::string domain; ///< Failure domain; for a malformed record, the key.
    bool operator==(const EvacuationRecord &) const = default;
};

} // namespace celeryroute
