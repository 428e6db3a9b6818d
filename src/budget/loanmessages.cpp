#include <celeryroute/detail/budget/loanmessages.h>

#include <absl/strings/numbers.h>

#include <cmath>

namespace celeryroute {

namespace {

constexpr char IdSeparator = '#';

std::string toText(const LoanId &id)
{
    return id.giver + IdSeparator + std::to_string(id.epoch) + IdSeparator + std::to_string(id.number);
}

// Removes the number after the last separator from @p text and stores it in @p number.
bool splitTrailingNumber(std::string &text, std::uint64_t &number)
{
    const std::size_t separator = text.rfind(IdSeparator);
    if (separator == std::string::npos || !absl::SimpleAtoi(text.substr(separator + 1), &number)) {
        return false;
    }
    text.resize(separator);
    return true;
}

std::optional<LoanId> idFromText(const std::string &text)
{
    LoanId id{text, 0, 0};
    if (!splitTrailingNumber(id.giver, id.number) || !splitTrailingNumber(id.giver, id.epoch) || id.number == 0) {
        return std::nullopt;
    }
    return id;
}

bool isNonNegativeFinite(double value)
{
    return std::isfinite(value) && value >= 0.0;
}

} // namespace

proto::LendRequest toProto(const LoanRequest &request)
{
    proto::LendRequest message;
    message.set_customer(request.customer);
    message.set_tokens(request.tokens);
    message.set_epoch(request.epoch);
    message.set_request_number(request.number);
    message.set_demand_rate(request.demandRate);
    message.set_held_rate(request.heldRate);
    return message;
}

proto::LendTransfer toProto(const LoanTransfer &transfer)
{
    proto::LendTransfer message;
    message.set_transfer_id(toText(transfer.id));
    message.set_taker(transfer.taker);
    message.set_customer(transfer.customer);
    message.set_epoch(transfer.id.epoch);
    message.set_rate_fraction(transfer.slice.rateFraction);
    message.set_burst_fraction(transfer.slice.burstFraction);
    message.set_tokens(transfer.slice.tokens);
    return message;
}

proto::LendAck toProto(const LoanAck &ack)
{
    proto::LendAck message;
    message.set_transfer_id(toText(ack.id));
    return message;
}

std::optional<LoanRequest> fromProto(const proto::LendRequest &message)
{
    if (!isNonNegativeFinite(message.tokens()) || !isNonNegativeFinite(message.demand_rate())
        || !isNonNegativeFinite(message.held_rate())) {
        return std::nullopt;
    }
    return LoanRequest{message.customer(),
                       message.tokens(),
                       message.epoch(),
                       message.request_number(),
                       message.demand_rate(),
                       message.held_rate()};
}

std::optional<LoanTransfer> fromProto(const proto::LendTransfer &message)
{
    const std::optional<LoanId> id = idFromText(message.transfer_id());
    const BudgetSlice slice{message.rate_fraction(), message.burst_fraction(), message.tokens()};
    if (!id || id->epoch != message.epoch() || !isNonNegativeFinite(slice.rateFraction)
        || !isNonNegativeFinite(slice.burstFraction) || !isNonNegativeFinite(slice.tokens)) {
        return std::nullopt;
    }
    return LoanTransfer{*id, message.taker(), message.customer(), slice};
}

std::optional<LoanAck> fromProto(const proto::LendAck &message)
{
    const std::optional<LoanId> id = idFromText(message.transfer_id());
    if (!id) {
        return std::nullopt;
    }
    return LoanAck{*id};
}

} // namespace celeryroute
