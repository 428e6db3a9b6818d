#include <celeryroute/detail/node/gossipmessages.h>

#include <celeryroute/time.h>

#include <serving.pb.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr Duration LongestStoreWait = std::chrono::hours(24);

std::uint32_t storeWaitMs(const TargetStatus &status)
{
    return static_cast<std::uint32_t>(toMilliseconds(std::min(status.storeWait, LongestStoreWait)));
}

std::uint32_t ageMs(Duration age)
{
    constexpr Duration LongestAge = std::chrono::hours(24);
    return static_cast<std::uint32_t>(toMilliseconds(std::clamp(age, Duration::zero(), LongestAge)));
}

} // namespace

void writeReport(const EntryReport &report, wire::EntryGossip &gossip)
{
    gossip.set_report(report.sequence);
    gossip.set_base(report.base);
    gossip.set_urgent(report.urgent);
    for (const CustomerSpending &spent : report.spent) {
        wire::EntryGossip::Spent &out = *gossip.add_spent();
        out.set_customer(spent.customer);
        out.set_total(spent.total);
    }
    for (const MemberAcknowledgement &mark : report.members) {
        wire::EntryGossip::Member &out = *gossip.add_members();
        out.set_address(mark.address);
        out.set_incarnation(mark.incarnation);
        out.set_report(mark.sequence);
        out.set_pooled(mark.connected);
    }
}

void writeCrashes(const CrashReport &report, wire::EntryGossip &gossip)
{
    gossip.set_crash_report(report.number);
    for (const CrashMark &mark : report.marks) {
        wire::EntryGossip::Crash &out = *gossip.add_crashes();
        out.set_request(mark.request);
        out.set_target(mark.target);
        out.set_born_ms(mark.bornMs);
        out.set_pending(mark.pending);
        out.mutable_parts()->Add(mark.parts.begin(), mark.parts.end());
        out.set_sent_age_ms(ageMs(mark.sentAge));
        out.set_ended_age_ms(ageMs(mark.endedAge));
    }
    for (const PartAnswer &answer : report.partAnswers) {
        wire::EntryGossip::PartAnswer &out = *gossip.add_part_answers();
        out.set_part(answer.part);
        out.set_age_ms(ageMs(answer.age));
    }
}

CrashReport readCrashes(const wire::EntryGossip &gossip)
{
    CrashReport report;
    report.number = gossip.crash_report();
    for (const wire::EntryGossip::Crash &crash : gossip.crashes()) {
        report.marks.push_back({crash.request(),
                                crash.target(),
                                crash.born_ms(),
                                crash.pending(),
                                {crash.parts().begin(), crash.parts().end()},
                                std::chrono::milliseconds(crash.sent_age_ms()),
                                std::chrono::milliseconds(crash.ended_age_ms())});
    }
    for (const wire::EntryGossip::PartAnswer &answer : gossip.part_answers()) {
        report.partAnswers.push_back({answer.part(), std::chrono::milliseconds(answer.age_ms())});
    }
    return report;
}

void writeReceipt(const CrashReceipt &receipt, wire::EntryGossip &gossip)
{
    wire::EntryGossip::CrashReceipt &out = *gossip.mutable_crash_receipt();
    out.set_incarnation(receipt.incarnation);
    out.set_newest(receipt.newest);
    out.set_earlier(receipt.earlier);
}

std::optional<CrashReceipt> readReceipt(const wire::EntryGossip &gossip)
{
    if (!gossip.has_crash_receipt()) {
        return std::nullopt;
    }
    const wire::EntryGossip::CrashReceipt &receipt = gossip.crash_receipt();
    return CrashReceipt{receipt.incarnation(), receipt.newest(), receipt.earlier()};
}

EntryReport readReport(const wire::Envelope &envelope)
{
    const wire::EntryGossip &gossip = envelope.gossip();
    EntryReport report;
    report.sender = envelope.sender();
    report.incarnation = envelope.incarnation();
    report.sequence = gossip.report();
    report.base = gossip.base();
    report.urgent = gossip.urgent();
    for (const wire::EntryGossip::Spent &spent : gossip.spent()) {
        report.spent.push_back({spent.customer(), spent.total()});
    }
    for (const wire::EntryGossip::Member &member : gossip.members()) {
        report.members.push_back({member.address(), member.incarnation(), member.report(), member.pooled()});
    }
    return report;
}

void writeView(const TargetStatus &view, wire::AgentState &state)
{
    state.set_instance(view.instance);
    state.set_born_ms(view.bornMs);
    state.set_reachable(view.reachable);
    state.set_leaving(view.leaving);
    state.set_ordering(view.ordering);
    for (const ResidentModel &model : view.models) {
        wire::ResidentModel &out = *state.add_models();
        out.set_name(model.name);
        out.set_version(model.version);
        out.mutable_adapters()->Add(model.adapters.begin(), model.adapters.end());
    }
    for (const LoadingItem &loading : view.loading) {
        wire::AgentState::Loading &out = *state.add_loading();
        out.set_item(loading.item);
        out.set_remaining_ms(static_cast<std::uint32_t>(toMilliseconds(loading.remaining)));
    }
    state.mutable_in_memory()->Add(view.copies.inMemory.begin(), view.copies.inMemory.end());
    state.mutable_on_disk()->Add(view.copies.onDisk.begin(), view.copies.onDisk.end());
    state.mutable_declined()->Add(view.declined.begin(), view.declined.end());
    state.set_store_wait_ms(storeWaitMs(view));
    state.set_queued(view.queued);
    state.set_active(view.active);
    state.set_cache_used(view.cacheUsed);
    state.set_cache_total(view.cacheTotal);
}

void writeLoad(const TargetStatus &status, wire::AgentLoad &load)
{
    load.set_instance(status.instance);
    load.set_store_wait_ms(storeWaitMs(status));
    load.set_queued(status.queued);
    load.set_active(status.active);
    load.set_cache_used(status.cacheUsed);
}

EntryDemand readDemand(const wire::EntryUsage &usage)
{
    EntryDemand demand;
    demand.poolTargets = usage.pool_targets();
    for (const wire::EntryUsage::InFlight &calls : usage.in_flight()) {
        demand.inFlight.push_back({calls.item(), calls.calls()});
    }
    for (const wire::EntryUsage::Want &want : usage.wants()) {
        demand.waiting.push_back(
            {want.item(), want.calls(), want.priority(), std::chrono::milliseconds(want.age_ms())});
    }
    return demand;
}

} // namespace celeryroute
