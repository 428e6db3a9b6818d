#pragma once

#include <celeryroute/resultcode.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <variant>

namespace celeryroute {

/// Tokens set aside for the worst case of one request.
struct Reservation {
    std::uint64_t id = 0; ///< For BudgetBook::settle().
    double tokens = 0.0;
    std::uint64_t epoch = 0; ///< Rides on the request; targets' agents refuse a superseded one.
    bool operator==(const Reservation &) const = default;
};

/// Why no tokens were set aside; nothing was taken.
struct BudgetRefusal {
    ResultCode code = ResultCode::RateExceeded;
    Duration retryAfter{};
    bool loanMayHelp =
        false; ///< Other entries may hold what is missing; a loan was asked for or will be at the next tick.
    bool operator==(const BudgetRefusal &) const = default;
};

using ReserveOutcome = std::variant<Reservation, BudgetRefusal>;

} // namespace celeryroute
