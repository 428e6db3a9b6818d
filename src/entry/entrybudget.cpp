#include "entrybudget.h"

#include <celeryroute/detail/control/controlsettings.h>

#include <peer.pb.h>

#include <algorithm>

namespace celeryroute {

EntryBudget::EntryBudget(std::string instance,
                         HostDirectory &directory,
                         std::function<void(HostLink &, proto::Envelope &)> send)
    : m_instance(std::move(instance))
    , m_directory(directory)
    , m_send(std::move(send))
    , m_book(m_instance)
{}

void EntryBudget::setState(const FleetState &state, TimePoint now)
{
    std::vector<std::string> customers;
    for (const auto &[name, customer] : state.customers()) {
        customers.push_back(name);
        m_book.setCustomer(name, {customer.value.tokensPerSecond, customer.value.burstTokens}, now);
    }
    for (const std::string &name : m_customers) {
        if (!std::binary_search(customers.begin(), customers.end(), name)) {
            m_book.removeCustomer(name, now);
        }
    }
    m_customers = std::move(customers);
    const Shares &shares = state.shares();
    if (shares.epoch == m_divisionSeen) {
        return;
    }
    m_divisionSeen = shares.epoch;
    const auto own = shares.fractions.find(m_instance);
    const double fraction = own == shares.fractions.end() ? 0.0 : own->second;
    m_book.applyDivision({shares.epoch, shares.baseEpoch, fraction}, now);
}

void EntryBudget::confirm(TimePoint at)
{
    m_book.confirm(at);
}

ReserveOutcome EntryBudget::reserve(const std::string &customer, double tokens, TimePoint now)
{
    return m_book.reserve(customer, tokens, now);
}

void EntryBudget::settle(std::uint64_t reservation, double used, TimePoint now)
{
    m_book.settle(reservation, used, now);
}

bool EntryBudget::holdsShare(TimePoint now) const
{
    return m_book.holdsShare(now);
}

void EntryBudget::tick(TimePoint now)
{
    sendAll(m_book.tick(m_directory.reachableEntries(now), now));
}

bool EntryBudget::receive(const proto::Envelope &envelope, TimePoint now)
{
    std::optional<LoanMessage> answer;
    const std::string &sender = envelope.sender();
    if (envelope.has_lend_request()) {
        if (const auto request = fromProto(envelope.lend_request())) {
            answer = m_book.receive(sender, *request, now);
        }
    } else if (envelope.has_lend_transfer()) {
        if (const auto transfer = fromProto(envelope.lend_transfer())) {
            answer = m_book.receive(sender, *transfer, now);
        }
    } else if (envelope.has_lend_ack()) {
        if (const auto ack = fromProto(envelope.lend_ack())) {
            answer = m_book.receive(sender, *ack, now);
        }
    } else {
        return false;
    }
    if (answer) {
        sendOne(*answer);
    }
    return true;
}

void EntryBudget::handOver(TimePoint now)
{
    sendAll(m_book.handOver(m_directory.reachableEntries(now), now));
}

void EntryBudget::sendAll(const std::vector<LoanMessage> &messages)
{
    for (const LoanMessage &message : messages) {
        sendOne(message);
    }
}

// Drops a message to an incarnation that its host no longer runs. The budget table resends loans until
// they are acknowledged, and handles loans that are never acknowledged.
void EntryBudget::sendOne(const LoanMessage &message)
{
    HostLink *link = m_directory.find(hostOfInstance(message.receiver));
    if (link == nullptr || link->incarnation() != message.receiver) {
        return;
    }
    proto::Envelope envelope;
    if (const auto *request = std::get_if<LoanRequest>(&message.body)) {
        *envelope.mutable_lend_request() = toProto(*request);
    } else if (const auto *transfer = std::get_if<LoanTransfer>(&message.body)) {
        *envelope.mutable_lend_transfer() = toProto(*transfer);
    } else {
        *envelope.mutable_lend_ack() = toProto(std::get<LoanAck>(message.body));
    }
    m_send(*link, envelope);
}

} // namespace celeryroute
