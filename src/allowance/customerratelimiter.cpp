#include <celeryroute/detail/allowance/customerratelimiter.h>

#include <algorithm>
#include <utility>

namespace celeryroute {

namespace {

/// Up to this number of members, every report to all entries is a whole one.
constexpr std::size_t MaxMembersInEveryReport = 8;

} // namespace

CustomerRateLimiter::CustomerRateLimiter(std::string address,
                                         std::uint64_t incarnation,
                                         const ServingBounds &bounds,
                                         TimePoint now,
                                         ReportTiming timing)
    : m_bounds(bounds)
    , m_members(std::move(address), incarnation, now, timing)
    , m_lastReport(now)
    , m_reportDue(now)
    , m_wholeReportDue(now)
{
    applyUsableShare(now);
}

void CustomerRateLimiter::setCustomers(const std::vector<ServingCustomer> &customers, TimePoint now)
{
    advance(now);
    std::set<std::string> named;
    for (const ServingCustomer &customer : customers) {
        named.insert(customer.name);
        allowance(customer.name, now).setLimits(allowanceLimits(customer, m_bounds), now);
    }
    for (auto &[name, customerAllowance] : m_allowances) {
        if (!named.contains(name)) {
            customerAllowance.setLimits(std::nullopt, now);
        }
    }
}

void CustomerRateLimiter::useBounds(const ServingBounds &bounds,
                                    const std::vector<ServingCustomer> &customers,
                                    TimePoint now)
{
    m_bounds = bounds;
    setCustomers(customers, now);
}

void CustomerRateLimiter::expectMembers(std::size_t members, TimePoint now)
{
    m_members.expectMembers(members, now);
    advance(now);
}

void CustomerRateLimiter::advance(TimePoint now)
{
    const bool suspended = m_members.advance(now);
    for (const PeerChange &change : m_members.takeChanges()) {
        applyChange(change, now);
    }
    applyUsableShare(now);
    if (suspended) {
        for (auto &[name, customerAllowance] : m_allowances) {
            customerAllowance.capAfterSuspension(now);
        }
    }
}

bool CustomerRateLimiter::canAdmit(const std::string &customer, double cost, TimePoint now)
{
    advance(now);
    const auto found = m_allowances.find(customer);
    return found == m_allowances.end() || !found->second.isLimited() || found->second.covers(cost, now);
}

AdmissionResult CustomerRateLimiter::admit(const std::string &customer, double cost, TimePoint now)
{
    advance(now);
    const auto found = m_allowances.find(customer);
    if (found != m_allowances.end() && found->second.isLimited()) {
        if (const std::optional<Duration> wait = found->second.tryTake(cost, now)) {
            return RateLimitRefusal{*wait};
        }
        noteSpending(found->second, cost, now);
        return Admission{customer, cost, found->second.bucket().lastStep()};
    }
    return Admission{customer, cost, 0};
}

void CustomerRateLimiter::refund(const Admission &admission, TimePoint now)
{
    advance(now);
    const auto found = m_allowances.find(admission.customer);
    if (found != m_allowances.end() && found->second.isLimited()) {
        found->second.refund(admission.cost, admission.step, now);
        noteSpending(found->second, 0, now);
    }
}

// A connecting peer spent what it reports while it was absent, so its spending is noted before it is connected.
bool CustomerRateLimiter::receive(const EntryReport &report, TimePoint now)
{
    advance(now);
    if (!m_members.receive(report, now)) {
        return false;
    }
    const std::vector<PeerChange> changes = m_members.takeChanges();
    bool discovered = false;
    for (const PeerChange &change : changes) {
        discovered = discovered || change.event == PeerEvent::Discovered;
        if (change.event != PeerEvent::Connected) {
            applyChange(change, now);
        }
    }
    notePeerSpending(report, discovered, now);
    for (const PeerChange &change : changes) {
        if (change.event == PeerEvent::Connected) {
            applyChange(change, now);
        } else if (change.event != PeerEvent::Disconnected) {
            scheduleAcknowledgement(change.address, now + m_members.timing().urgentDelay);
        }
    }
    const std::uint64_t acknowledged = m_members.acknowledged(report.sender);
    for (auto &[name, customerAllowance] : m_allowances) {
        customerAllowance.acknowledge(report.sender, acknowledged);
    }
    applyUsableShare(now);
    return true;
}

TimePoint CustomerRateLimiter::reportDue() const
{
    return std::min(m_reportDue, m_acknowledgementDue);
}

TimePoint CustomerRateLimiter::advanceDue() const
{
    return std::min(reportDue(), m_members.advanceDue());
}

OutgoingReport CustomerRateLimiter::makeReport(TimePoint now)
{
    advance(now);
    OutgoingReport outgoing;
    EntryReport &report = outgoing.report;
    report.sender = m_members.address();
    report.incarnation = m_members.incarnation();
    report.sequence = m_members.nextSequence(now);
    report.urgent = awaitsAcknowledgements();
    for (auto &[name, customerAllowance] : m_allowances) {
        customerAllowance.noteReported(report.sequence);
    }
    const bool onlyAcknowledges = now < m_reportDue && !m_hasUnreportedSpending && !m_acknowledgementReceivers.empty();
    const bool isWholeDue = now >= m_wholeReportDue || m_members.memberCount() <= MaxMembersInEveryReport;
    if (const std::uint64_t base = m_members.updateBase(); base != 0 && (onlyAcknowledges || !isWholeDue)) {
        outgoing.update = report;
        outgoing.update->base = base;
        outgoing.update->spent = spendingSince(base);
    }
    report.members = m_members.acknowledgements();
    report.spent = spendingSince(0);
    if (onlyAcknowledges) {
        outgoing.receivers.assign(m_acknowledgementReceivers.begin(), m_acknowledgementReceivers.end());
    } else {
        m_lastReport = now;
        m_reportDue = now + m_members.timing().heartbeatInterval;
        m_hasUnreportedSpending = false;
        if (isWholeDue) {
            m_wholeReportDue = now + m_members.timing().wholeReportInterval;
        }
    }
    m_acknowledgementReceivers.clear();
    m_acknowledgementDue = TimePoint::max();
    return outgoing;
}

EntryReport CustomerRateLimiter::reportFor(const std::string &receiver, const OutgoingReport &outgoing) const
{
    const std::optional<MemberAcknowledgement> acknowledgement = outgoing.update ? m_members.acknowledgementOf(receiver)
                                                                                 : std::nullopt;
    if (!acknowledgement) {
        return outgoing.report;
    }
    EntryReport update = *outgoing.update;
    update.members = {*acknowledgement};
    return update;
}

std::vector<CustomerSpending> CustomerRateLimiter::spendingSince(std::uint64_t base) const
{
    std::vector<CustomerSpending> spent;
    for (const auto &[name, customerAllowance] : m_allowances) {
        if (customerAllowance.hasChangedSince(base)) {
            spent.push_back({name, customerAllowance.total()});
        }
    }
    return spent;
}

bool CustomerRateLimiter::awaitsAcknowledgements() const
{
    return std::any_of(m_allowances.begin(), m_allowances.end(), [](const auto &entry) {
        return entry.second.awaitsAcknowledgements();
    });
}

const CustomerAllowance *CustomerRateLimiter::find(const std::string &customer) const
{
    const auto found = m_allowances.find(customer);
    return found == m_allowances.end() ? nullptr : &found->second;
}

CustomerAllowance &CustomerRateLimiter::allowance(const std::string &customer, TimePoint now)
{
    const auto [position, isNew] = m_allowances.try_emplace(customer, now);
    if (isNew) {
        position->second.setUsableShare(m_usableShare, now);
        for (const std::string &peer : m_members.connectedPeers()) {
            position->second.connectPeer(peer, Duration::zero(), 0, now);
        }
    }
    return position->second;
}

void CustomerRateLimiter::noteSpending(CustomerAllowance &customerAllowance, double tokens, TimePoint now)
{
    m_hasUnreportedSpending = true;
    const ReportTiming &timing = m_members.timing();
    const Duration interval = customerAllowance.isUrgent(tokens) ? timing.urgentInterval : timing.changeInterval;
    m_reportDue = std::min(m_reportDue, std::max(now, m_lastReport + interval));
}

void CustomerRateLimiter::notePeerSpending(const EntryReport &report, bool discovered, TimePoint now)
{
    const ReportTiming &timing = m_members.timing();
    bool charged = false;
    bool urgent = report.urgent;
    for (const CustomerSpending &spending : report.spent) {
        CustomerAllowance &customerAllowance = allowance(spending.customer, now);
        if (discovered) {
            customerAllowance.addNewPeer(report.sender, spending.total);
            continue;
        }
        const double charge = customerAllowance.noteSpent(report.sender, spending.total, now);
        charged = charged || charge > 0;
        urgent = urgent || (timing.acknowledgesLargeSpending && customerAllowance.isUrgent(charge));
    }
    if (urgent || charged) {
        scheduleAcknowledgement(report.sender, now + (urgent ? timing.urgentDelay : timing.changeInterval));
    }
}

void CustomerRateLimiter::applyChange(const PeerChange &change, TimePoint now)
{
    m_changed = true;
    // Peers learn from a whole report which of them use each other's shares.
    m_wholeReportDue = now;
    m_reportDue = std::min(m_reportDue, std::max(now, m_lastReport + m_members.timing().changeInterval));
    for (auto &[name, customerAllowance] : m_allowances) {
        switch (change.event) {
        case PeerEvent::Discovered:
        case PeerEvent::Restarted:
            customerAllowance.removePeer(change.address, now);
            break;
        case PeerEvent::Connected:
            customerAllowance.connectPeer(change.address, change.absence, m_members.acknowledged(change.address), now);
            break;
        case PeerEvent::Disconnected:
            customerAllowance.disconnectPeer(change.address, now);
            break;
        }
    }
}

void CustomerRateLimiter::applyUsableShare(TimePoint now)
{
    const UsableShare share{m_members.usableFraction(), m_members.memberCount(), m_members.awaitsDiscovery(now)};
    if (share == m_usableShare && !m_changed) {
        return;
    }
    m_usableShare = share;
    m_changed = false;
    for (auto &[name, customerAllowance] : m_allowances) {
        customerAllowance.setUsableShare(share, now);
    }
}

void CustomerRateLimiter::scheduleAcknowledgement(const std::string &peer, TimePoint due)
{
    m_acknowledgementReceivers.insert(peer);
    m_acknowledgementDue = std::min(m_acknowledgementDue, due);
}

} // namespace celeryroute
