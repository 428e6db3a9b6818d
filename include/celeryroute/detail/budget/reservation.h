#pragma once

#include <celeryroute/resultcode.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <variant>

namespace celeryroute {

/// Tokens reserved for the worst case of one request.
struct Reservation {
    std::uint64_t id = 0; ///< Argument of BudgetTable::settle().
    double tokens = 0.0;
    std::uint64_t epoch = 0; ///< Sent with the request. Agents refuse a superseded epoch.
    bool operator==(const Reservation &) const = default;
};

/// Reason why no tokens were reserved.
struct BudgetRefusal {
    ResultCode code = ResultCode::RateExceeded;
    Duration retryAfter{};
    /// Whether other entries may hold the missing tokens. If so, a loan has been requested or will be
    /// requested at the next BudgetTable::tick().
    bool loanMayHelp = false;
    bool operator==(const BudgetRefusal &) const = default;
};

using ReserveOutcome = std::variant<Reservation, BudgetRefusal>;

} // namespace celeryroute
