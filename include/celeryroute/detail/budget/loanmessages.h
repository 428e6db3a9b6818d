#pragma once

#include <celeryroute/detail/budget/budgetslice.h>

#include <peer.pb.h>

#include <cstdint>
#include <optional>
#include <string>

namespace celeryroute {

/// Request to another entry to lend a part of its share of a customer's budget.
struct LoanRequest {
    std::string customer;
    double tokens = 0.0; ///< Token deficit of the sender.
    std::uint64_t epoch = 0;
    std::uint64_t number = 0;
    double demandRate = 0.0; ///< Demand at the sender as a fraction of the customer's rate.
    double heldRate = 0.0; ///< Fraction of the customer's rate that the sender holds.
    bool operator==(const LoanRequest &) const = default;
};

/// Identifies a loan to one taker. Numbers start from 1 for each epoch and pair of giver and taker.
struct LoanId {
    std::string giver; ///< Incarnation of the entry that gives the loan.
    std::uint64_t epoch = 0;
    std::uint64_t number = 0;
    bool operator==(const LoanId &) const = default;
};

/// A loan of a part of a customer's budget. The giver debits it before sending.
struct LoanTransfer {
    LoanId id;
    std::string taker; ///< The only incarnation that may credit it.
    std::string customer;
    BudgetSlice slice;
    bool operator==(const LoanTransfer &) const = default;
};

/// Acknowledges that the taker has credited the loan.
struct LoanAck {
    LoanId id;
    bool operator==(const LoanAck &) const = default;
};

proto::LendRequest toProto(const LoanRequest &request);
proto::LendTransfer toProto(const LoanTransfer &transfer);
proto::LendAck toProto(const LoanAck &ack);

/// @brief Converts the message. Returns nothing if a number is negative or not finite.
std::optional<LoanRequest> fromProto(const proto::LendRequest &message);

/// @brief Converts the message. Returns nothing if the id or a number is malformed.
std::optional<LoanTransfer> fromProto(const proto::LendTransfer &message);

/// @brief Converts the message. Returns nothing if the id is malformed.
std::optional<LoanAck> fromProto(const proto::LendAck &message);

} // namespace celeryroute
