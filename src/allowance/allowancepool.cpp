#include <celeryroute/detail/allowance/allowancepool.h>

#include <algorithm>
#include <utility>

namespace celeryroute {

AllowancePool::AllowancePool(std::string address,
                             std::uint64_t incarnation,
                             const ServingBounds &bounds,
                             TimePoint now,
                             AllowanceTiming timing)
    : m_bounds(bounds)
    , m_timing(timing)
    , m_members(std::move(address), incarnation, now, timing)
    , m_lastReport(now)
    , m_reportDue(now)
{
    applyPart(now);
}

void AllowancePool::setCustomers(const std::vector<ServingCustomer> &customers, TimePoint now)
{
    advance(now);
    std::set<std::string> named;
    for (const ServingCustomer &customer : customers) {
        named.insert(customer.name);
        account(customer.name, now).setTerms(allowanceTerms(customer, m_bounds), now);
    }
    for (auto &[name, account] : m_accounts) {
        if (!named.contains(name)) {
            account.setTerms(std::nullopt, now);
        }
    }
}

void AllowancePool::useBounds(const ServingBounds &bounds, const std::vector<ServingCustomer> &customers, TimePoint now)
{
    m_bounds = bounds;
    setCustomers(customers, now);
}

void AllowancePool::expectMembers(std::size_t members, TimePoint now)
{
    m_members.expect(members, now);
    advance(now);
}

void AllowancePool::advance(TimePoint now)
{
    const bool stalled = m_members.advance(now);
    for (const PeerChange &change : m_members.takeChanges()) {
        apply(change, now);
    }
    applyPart(now);
    if (stalled) {
        for (auto &[name, account] : m_accounts) {
            account.empty(now);
        }
    }
}

AllowanceOutcome AllowancePool::admit(const std::string &customer, double cost, TimePoint now)
{
    advance(now);
    const auto found = m_accounts.find(customer);
    if (found != m_accounts.end() && found->second.limited()) {
        if (const std::optional<Duration> wait = found->second.take(cost, now)) {
            return AllowanceRefusal{*wait};
        }
        noteSpending(found->second, cost, now);
        return Admission{customer, cost, found->second.bucket().lastStep()};
    }
    return Admission{customer, cost, 0};
}

void AllowancePool::refund(const Admission &admission, TimePoint now)
{
    advance(now);
    const auto found = m_accounts.find(admission.customer);
    if (found != m_accounts.end() && found->second.limited()) {
        found->second.refund(admission.cost, admission.step, now);
        noteSpending(found->second, 0, now);
    }
}

// The spending that a joining peer reports happened while it was absent, so it is entered before the peer joins.
bool AllowancePool::hear(const EntryReport &report, TimePoint now)
{
    advance(now);
    if (!m_members.hear(report, now)) {
        return false;
    }
    const std::vector<PeerChange> changes = m_members.takeChanges();
    bool met = false;
    for (const PeerChange &change : changes) {
        met = met || change.event == PeerEvent::Met;
        if (change.event != PeerEvent::Joined) {
            apply(change, now);
        }
    }
    enterSpending(report, met, now);
    for (const PeerChange &change : changes) {
        if (change.event == PeerEvent::Joined) {
            apply(change, now);
        } else if (change.event != PeerEvent::Left) {
            answer(change.address, now + m_timing.urgent);
        }
    }
    const std::uint64_t acknowledged = m_members.acknowledged(report.sender);
    for (auto &[name, account] : m_accounts) {
        account.acknowledge(report.sender, acknowledged);
    }
    applyPart(now);
    return true;
}

TimePoint AllowancePool::reportDue() const
{
    return std::min(m_reportDue, m_answerDue);
}

OutgoingReport AllowancePool::makeReport(TimePoint now)
{
    advance(now);
    OutgoingReport outgoing;
    EntryReport &report = outgoing.report;
    report.sender = m_members.address();
    report.incarnation = m_members.incarnation();
    report.sequence = m_members.nextSequence(now);
    report.members = m_members.marks();
    for (auto &[name, account] : m_accounts) {
        account.reported(report.sequence);
        if (account.total() != 0) {
            report.spent.push_back({name, account.total()});
        }
    }
    if (now < m_reportDue && !m_unreported && !m_answerTo.empty()) {
        outgoing.receivers.assign(m_answerTo.begin(), m_answerTo.end());
    } else {
        m_lastReport = now;
        m_reportDue = now + m_timing.heartbeat;
        m_unreported = false;
    }
    m_answerTo.clear();
    m_answerDue = TimePoint::max();
    return outgoing;
}

const CustomerAccount *AllowancePool::find(const std::string &customer) const
{
    const auto found = m_accounts.find(customer);
    return found == m_accounts.end() ? nullptr : &found->second;
}

CustomerAccount &AllowancePool::account(const std::string &customer, TimePoint now)
{
    const auto [position, isNew] = m_accounts.try_emplace(customer, now);
    if (isNew) {
        position->second.setPart(m_part, now);
        for (const std::string &peer : m_members.pooledPeers()) {
            position->second.join(peer, Duration::zero(), 0, now);
        }
    }
    return position->second;
}

void AllowancePool::noteSpending(CustomerAccount &account, double tokens, TimePoint now)
{
    m_unreported = true;
    const Duration interval = account.urgent(tokens) ? m_timing.urgent : m_timing.changed;
    m_reportDue = std::min(m_reportDue, std::max(now, m_lastReport + interval));
}

void AllowancePool::enterSpending(const EntryReport &report, bool met, TimePoint now)
{
    for (const CustomerSpending &spending : report.spent) {
        CustomerAccount &spender = account(spending.customer, now);
        if (met) {
            spender.meet(report.sender, spending.total);
            continue;
        }
        const double charged = spender.hear(report.sender, spending.total, now);
        if (charged > 0) {
            answer(report.sender, now + (spender.urgent(charged) ? m_timing.urgent : m_timing.changed));
        }
    }
}

void AllowancePool::apply(const PeerChange &change, TimePoint now)
{
    m_changed = true;
    for (auto &[name, account] : m_accounts) {
        switch (change.event) {
        case PeerEvent::Met:
        case PeerEvent::Restarted:
            account.forget(change.address, now);
            break;
        case PeerEvent::Joined:
            account.join(change.address, change.absence, m_members.acknowledged(change.address), now);
            break;
        case PeerEvent::Left:
            account.leave(change.address, now);
            break;
        }
    }
}

void AllowancePool::applyPart(TimePoint now)
{
    const PoolPart part{m_members.poolFraction(), m_members.memberCount(), m_members.undiscovered(now)};
    if (part == m_part && !m_changed) {
        return;
    }
    m_part = part;
    m_changed = false;
    for (auto &[name, account] : m_accounts) {
        account.setPart(part, now);
    }
}

void AllowancePool::answer(const std::string &peer, TimePoint due)
{
    m_answerTo.insert(peer);
    m_answerDue = std::min(m_answerDue, due);
}

} // namespace celeryroute
