#include <celeryroute/detail/budget/loanledger.h>

#include <chrono>

namespace celeryroute {

namespace {

/// Limits the budget that is lost to an unresponsive taker, and the set of credited numbers at the taker.
constexpr std::size_t MaxUnacknowledged = 64;
constexpr Duration RepeatInterval = std::chrono::milliseconds(200);

} // namespace

bool LoanLedger::mayOpen(const std::string &taker) const
{
    const auto found = m_given.find(taker);
    return found == m_given.end() || found->second.unacknowledged.size() < MaxUnacknowledged;
}

LoanTransfer LoanLedger::open(const std::string &giver,
                              const std::string &taker,
                              const std::string &customer,
                              std::uint64_t epoch,
                              const BudgetSlice &slice,
                              TimePoint now)
{
    Given &given = m_given[taker];
    const LoanId id{giver, epoch, ++given.lastNumber};
    const LoanTransfer transfer{id, taker, customer, slice};
    given.unacknowledged.emplace(id.number, Sent{transfer, now});
    return transfer;
}

void LoanLedger::acknowledge(const std::string &taker, const LoanId &id)
{
    const auto found = m_given.find(taker);
    if (found == m_given.end()) {
        return;
    }
    const auto sent = found->second.unacknowledged.find(id.number);
    if (sent != found->second.unacknowledged.end() && sent->second.transfer.id == id) {
        found->second.unacknowledged.erase(sent);
    }
}

std::vector<LoanTransfer> LoanLedger::takeDueRepeats(TimePoint now)
{
    std::vector<LoanTransfer> due;
    for (auto &[taker, given] : m_given) {
        for (auto &[number, sent] : given.unacknowledged) {
            if (now - sent.lastSent >= RepeatInterval) {
                sent.lastSent = now;
                due.push_back(sent.transfer);
            }
        }
    }
    return due;
}

bool LoanLedger::credit(const LoanId &id)
{
    Taken &taken = m_taken[id.giver];
    if (id.number <= taken.creditedUpTo || !taken.creditedAbove.insert(id.number).second) {
        return false;
    }
    while (!taken.creditedAbove.empty() && *taken.creditedAbove.begin() == taken.creditedUpTo + 1) {
        taken.creditedAbove.erase(taken.creditedAbove.begin());
        ++taken.creditedUpTo;
    }
    return true;
}

// Messages of an earlier epoch are rejected by their epoch, so their numbers need not be stored.
void LoanLedger::reset()
{
    m_given.clear();
    m_taken.clear();
}

std::size_t LoanLedger::unacknowledged() const
{
    std::size_t total = 0;
    for (const auto &[taker, given] : m_given) {
        total += given.unacknowledged.size();
    }
    return total;
}

} // namespace celeryroute
