#pragma once

#include <celeryroute/detail/budget/budgetslice.h>

#include <peer.pb.h>

#include <cstdint>
#include <optional>
#include <string>

namespace celeryroute {

/// Asks another entry for a part of what it holds of a customer's budget.
struct LoanRequest {
    std::string customer;
    double tokens = 0.0; ///< Missing at the sender.
    std::uint64_t epoch = 0;
    std::uint64_t number = 0;
    double demandRate = 0.0; ///< Fraction of the customer's rate that callers ask the sender for.
    double heldRate = 0.0; ///< Fraction of the customer's rate that the sender holds.
    bool operator==(const LoanRequest &) const = default;
};

/// Identifies a loan to one taker: numbers ascend from 1 per epoch and pair of giver and taker.
struct LoanId {
    std::string giver; ///< Entry incarnation.
    std::uint64_t epoch = 0;
    std::uint64_t number = 0;
    bool operator==(const LoanId &) const = default;
};

/// A part of a customer's budget, debited at the giver before it is sent.
struct LoanTransfer {
    LoanId id;
    std::string taker; ///< The only incarnation that may credit it.
    std::string customer;
    BudgetSlice slice;
    bool operator==(const LoanTransfer &) const = default;
};

/// The taker has credited the loan, now or before.
struct LoanAck {
    LoanId id;
    bool operator==(const LoanAck &) const = default;
};

proto::LendRequest toProto(const LoanRequest &request);
proto::LendTransfer toProto(const LoanTransfer &transfer);
proto::LendAck toProto(const LoanAck &ack);

/// @brief The message as a value; empty when a number is negative or not finite.
std::optional<LoanRequest> fromProto(const proto::LendRequest &message);

/// @brief The message as a value; empty when the id or a number is malformed.
std::optional<LoanTransfer> fromProto(const proto::LendTransfer &message);

/// @brief The message as a value; empty when the id is malformed.
std::optional<LoanAck> fromProto(const proto::LendAck &message);

} // namespace celeryroute
