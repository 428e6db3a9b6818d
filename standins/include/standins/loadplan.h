#pragma once

#include <standins/loadsettings.h>

#include <cstddef>
#include <string>
#include <vector>

namespace celeryroute {

enum class LoadKind { Stream, Whole, Booking };

/// One call of the plan.
struct PlannedCall {
    Duration start; ///< After the start of the run.
    LoadKind kind = LoadKind::Stream;
    std::size_t customer = 0; ///< Index of the key.
    std::size_t entry = 0; ///< Index of the URL.
    std::string model;
    std::string text; ///< Prompt or parcel, unique in the run.
    bool operator==(const PlannedCall &) const = default;
};

/// @brief All calls in order of time; equal settings give equal plans.
///
/// Arrivals are a Poisson process, independent of the answers.
std::vector<PlannedCall> planLoad(const LoadSettings &settings);

} // namespace celeryroute
