#include <celeryroute/detail/budget/budgettable.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace celeryroute {

namespace {

/// Number of entries asked for a loan at a time. Later requests go to the following entries.
constexpr std::size_t PeersPerLoanRequest = 4;

} // namespace

BudgetTable::BudgetTable(std::string incarnation)
    : m_incarnation(std::move(incarnation))
{}

// A new customer needs no handover, because its share at each entry follows from the same log records and
// no part of it has been lent before.
void BudgetTable::setCustomer(const std::string &customer, BudgetLimits limits, TimePoint now)
{
    activateWhenDue(now);
    const auto found = m_accounts.find(customer);
    if (found != m_accounts.end()) {
        found->second.removed = false;
        found->second.budget.setLimits(limits, spendableUntil(now));
        return;
    }
    CustomerBudget budget(limits, now);
    budget.beginHandover(m_lease.fraction(), false, now, now);
    if (m_active) {
        budget.activate(now, now);
    }
    m_accounts.emplace(customer, Account{std::move(budget), m_nextId++, false});
}

// The account is kept without a budget until the next division. If the customer is added again before, this
// entry must hold exactly the part that it has not lent.
void BudgetTable::removeCustomer(const std::string &customer, TimePoint now)
{
    const auto found = m_accounts.find(customer);
    if (found != m_accounts.end()) {
        found->second.removed = true;
        found->second.budget.setLimits({}, spendableUntil(now));
    }
}

// An entry that missed the previous division, for example after starting from a snapshot, cannot know which
// part of its old share was given to others in the meantime. It therefore keeps none of it.
void BudgetTable::applyDivision(const ShareGrant &grant, TimePoint now)
{
    activateWhenDue(now);
    const bool keepHolding = grant.baseEpoch == m_lease.epoch();
    const TimePoint until = spendableUntil(now);
    if (!m_lease.applyDivision(grant, now)) {
        return;
    }
    m_active = false;
    m_ledger.reset();
    std::erase_if(m_accounts, [](const auto &account) { return account.second.removed; });
    for (auto &[customer, account] : m_accounts) {
        account.budget.beginHandover(grant.fraction, keepHolding, until, now);
    }
}

void BudgetTable::confirm(TimePoint at)
{
    m_lease.confirm(at);
}

ReserveOutcome BudgetTable::reserve(const std::string &customer, double tokens, TimePoint now)
{
    activateWhenDue(now);
    const auto found = m_accounts.find(customer);
    if (found == m_accounts.end() || found->second.removed) {
        return BudgetRefusal{ResultCode::RateExceeded, Duration::zero(), false};
    }
    if (!m_lease.isValid(now)) {
        return BudgetRefusal{ResultCode::StateStale, ShareValidity, false};
    }
    CustomerBudget &budget = found->second.budget;
    if (tokens > budget.bucket().limits().burstTokens) {
        return BudgetRefusal{ResultCode::RequestExceedsBurst, Duration::zero(), false};
    }
    m_loanCandidates.insert(customer);
    const std::uint64_t step = budget.reserve(tokens, spendableUntil(now), now);
    if (step == 0) {
        const bool loanMayHelp = m_active && budget.bucket().burstFraction() < 1.0;
        return BudgetRefusal{ResultCode::RateExceeded, budget.retryAfter(tokens), loanMayHelp};
    }
    const std::uint64_t id = m_nextId++;
    m_outstanding.emplace(id, Outstanding{customer, found->second.generation, step, tokens});
    return Reservation{id, tokens, m_lease.epoch()};
}

void BudgetTable::settle(std::uint64_t id, double used, TimePoint now)
{
    const auto found = m_outstanding.find(id);
    if (found == m_outstanding.end()) {
        return;
    }
    const Outstanding reservation = std::move(found->second);
    m_outstanding.erase(found);
    activateWhenDue(now);
    const auto account = m_accounts.find(reservation.customer);
    if (account != m_accounts.end() && account->second.generation == reservation.generation) {
        account->second.budget.settle(reservation.step, reservation.tokens - used, spendableUntil(now));
    }
}

std::vector<LoanMessage> BudgetTable::tick(const std::vector<std::string> &peers, TimePoint now)
{
    activateWhenDue(now);
    std::vector<LoanMessage> messages;
    for (LoanTransfer &transfer : m_ledger.takeDueRepeats(now)) {
        std::string taker = transfer.taker;
        messages.push_back({std::move(taker), std::move(transfer)});
    }
    if (!mayLend(now) || peers.empty()) {
        return messages;
    }
    std::erase_if(m_loanCandidates, [this, now](const std::string &customer) {
        const CustomerBudget *budget = find(customer);
        return budget == nullptr || budget->isIdle(now);
    });
    for (const std::string &customer : m_loanCandidates) {
        requestLoan(customer, peers, now, messages);
    }
    return messages;
}

std::optional<LoanMessage> BudgetTable::receive(const std::string &sender, const LoanRequest &request, TimePoint now)
{
    activateWhenDue(now);
    const auto found = m_accounts.find(request.customer);
    const bool lends = mayLend(now) && request.epoch == m_lease.epoch() && m_ledger.mayOpen(sender);
    if (!lends || sender == m_incarnation || found == m_accounts.end()) {
        return std::nullopt;
    }
    return open(sender, request.customer, found->second.budget.lend(request, spendableUntil(now), now), now);
}

// A loan that cannot be credited yet because of a handover or an unknown customer is not acknowledged, so
// that the giver sends it again. A loan of another epoch is dropped, because the giver's share has been
// divided again since.
std::optional<LoanMessage> BudgetTable::receive(const std::string &sender, const LoanTransfer &transfer, TimePoint now)
{
    activateWhenDue(now);
    const bool current = m_active && transfer.id.epoch == m_lease.epoch();
    const bool addressed = transfer.taker == m_incarnation && transfer.id.giver == sender;
    const auto found = m_accounts.find(transfer.customer);
    if (!current || !addressed || found == m_accounts.end()) {
        return std::nullopt;
    }
    if (m_ledger.credit(transfer.id)) {
        found->second.budget.credit(transfer.slice, spendableUntil(now));
    }
    return LoanMessage{sender, LoanAck{transfer.id}};
}

std::optional<LoanMessage> BudgetTable::receive(const std::string &sender, const LoanAck &ack, TimePoint)
{
    m_ledger.acknowledge(sender, ack.id);
    return std::nullopt;
}

std::vector<LoanMessage> BudgetTable::handOver(const std::vector<std::string> &peers, TimePoint now)
{
    activateWhenDue(now);
    std::vector<LoanMessage> messages;
    if (!mayLend(now)) {
        return messages;
    }
    for (auto &[customer, account] : m_accounts) {
        for (std::size_t left = peers.size(); left > 0; --left) {
            const double fraction = 1.0 / static_cast<double>(left);
            const BudgetSlice slice = account.budget.splitOff(fraction, spendableUntil(now));
            if (auto message = open(peers[left - 1], customer, slice, now)) {
                messages.push_back(std::move(*message));
            }
        }
    }
    return messages;
}

const CustomerBudget *BudgetTable::find(const std::string &customer) const
{
    const auto found = m_accounts.find(customer);
    return found == m_accounts.end() ? nullptr : &found->second.budget;
}

TimePoint BudgetTable::spendableUntil(TimePoint now) const
{
    return std::min(now, m_lease.validUntil());
}

void BudgetTable::activateWhenDue(TimePoint now)
{
    if (m_active || !m_lease.isHandoverComplete(now)) {
        return;
    }
    m_active = true;
    for (auto &[customer, account] : m_accounts) {
        account.budget.activate(m_lease.handoverEnd(), spendableUntil(now));
    }
}

void BudgetTable::requestLoan(const std::string &customer,
                              const std::vector<std::string> &peers,
                              TimePoint now,
                              std::vector<LoanMessage> &messages)
{
    CustomerBudget &budget = m_accounts.at(customer).budget;
    if (!budget.shouldRequestLoan(now)) {
        return;
    }
    LoanRequest request = budget.loanRequest(now);
    request.customer = customer;
    request.epoch = m_lease.epoch();
    request.number = m_nextRequest++;
    for (std::size_t asked = 0; asked < std::min(PeersPerLoanRequest, peers.size()); ++asked) {
        messages.push_back({peers[m_nextPeer++ % peers.size()], request});
    }
}

bool BudgetTable::mayLend(TimePoint now) const
{
    return m_active && m_lease.isValid(now);
}

std::optional<LoanMessage>
BudgetTable::open(const std::string &taker, const std::string &customer, const BudgetSlice &slice, TimePoint now)
{
    if (slice.rateFraction <= 0.0 && slice.burstFraction <= 0.0) {
        return std::nullopt;
    }
    return LoanMessage{taker, m_ledger.open(m_incarnation, taker, customer, m_lease.epoch(), slice, now)};
}

} // namespace celeryroute
