#include <celeryroute/detail/placement/agentstateview.h>

#include <serving.pb.h>

namespace celeryroute {

TargetView toTargetView(const wire::AgentState &state)
{
    TargetView view;
    view.state = state.state();
    view.bornMs = state.born_ms();
    view.reachable = state.reachable();
    view.leaving = state.leaving();
    view.ordering = state.ordering();
    view.models.reserve(static_cast<std::size_t>(state.models_size()));
    for (const wire::ResidentModel &model : state.models()) {
        view.models.push_back({model.name(), model.version(), {model.adapters().begin(), model.adapters().end()}});
    }
    for (const wire::AgentState::Loading &loading : state.loading()) {
        view.loading.push_back({loading.item(), std::chrono::milliseconds(loading.remaining_ms())});
    }
    view.copies.inMemory.assign(state.in_memory().begin(), state.in_memory().end());
    view.copies.onDisk.assign(state.on_disk().begin(), state.on_disk().end());
    view.storeWait = std::chrono::milliseconds(state.store_wait_ms());
    view.queued = state.queued();
    view.active = state.active();
    view.cacheUsed = state.cache_used();
    view.cacheTotal = state.cache_total();
    view.declined.assign(state.declined().begin(), state.declined().end());
    return view;
}

TargetLoad toTargetLoad(const wire::AgentLoad &load)
{
    return {load.state(),
            load.queued(),
            load.active(),
            load.cache_used(),
            std::chrono::milliseconds(load.store_wait_ms())};
}

} // namespace celeryroute
