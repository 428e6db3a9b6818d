#include <celeryroute/detail/state/snapshot.h>
#include <celeryroute/detail/state/snapshotassembler.h>

#include <algorithm>

namespace celeryroute {

namespace {
std::optional<FleetState> assemble(const std::vector<proto::StateSnapshot> &parts)
{
    return handleErrors(
        [&parts]() -> Result<std::optional<FleetState>> {
            BOOST_LEAF_AUTO(state, fromSnapshot(parts));
            return std::optional<FleetState>(std::move(state));
        },
        [](const Error &) { return std::optional<FleetState>(); });
}
} // namespace

// A part may occur twice in the log after a lost append response; the first one is used. An incomplete
// snapshot, whose author may have crashed, is dropped when more than MaxUnfinished are pending.
std::optional<FleetState> SnapshotAssembler::add(const proto::StateSnapshot &part)
{
    std::vector<proto::StateSnapshot> &parts = m_partsById[part.snapshot_id()];
    if (parts.empty()) {
        m_order.push_back(part.snapshot_id());
    }
    const bool known = std::any_of(parts.begin(), parts.end(), [&part](const proto::StateSnapshot &other) {
        return other.part() == part.part();
    });
    if (!known) {
        parts.push_back(part);
    }
    std::optional<FleetState> state;
    const bool complete = parts.size() == part.parts();
    if (complete) {
        state = assemble(parts);
    }
    if (complete || m_order.size() > MaxUnfinished) {
        const std::string finished = complete ? part.snapshot_id() : m_order.front();
        m_partsById.erase(finished);
        m_order.erase(std::find(m_order.begin(), m_order.end(), finished));
    }
    return state;
}

} // namespace celeryroute
