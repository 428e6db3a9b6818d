#include <celeryroute/detail/agent/orderprotocol.h>
#include <celeryroute/detail/agent/residencyrunner.h>

#include <absl/strings/str_cat.h>

#include <array>

namespace celeryroute {

namespace {

template <typename... Visitors>
struct Overloaded : Visitors... {
    using Visitors::operator()...;
};
template <typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

LoadControllerSettings controllerSettings(const AgentSettings &settings)
{
    LoadControllerSettings result;
    result.orderSettleTime = settings.orderSettleTime;
    result.paced = settings.pacedLoads;
    return result;
}

std::string outcomeName(OrderOutcome outcome)
{
    constexpr std::array Names = {"done", "not_sent", "fencing_refused", "no_memory", "store_failed", "in_doubt"};
    return Names.at(static_cast<std::size_t>(outcome));
}

} // namespace

/// The part of the answer to one call that was received so far.
struct ResidencyRunner::Answer {
    std::optional<int> status;
    std::string body;
};

ResidencyRunner::ResidencyRunner(const AgentSettings &settings,
                                 HttpMultiClient &client,
                                 std::function<void()> refreshView,
                                 ResidencyObserver observer,
                                 TimePoint now)
    : m_settings(settings)
    , m_client(client)
    , m_refreshView(std::move(refreshView))
    , m_observer(std::move(observer))
    , m_controller(controllerSettings(settings), now)
{}

void ResidencyRunner::updateView(const AgentView &view)
{
    m_controller.updateGrants(view.grants);
    if (view.pool) {
        m_controller.setCapacity(view.pool->memoryMb);
    }
}

void ResidencyRunner::step(TimePoint now)
{
    // Each round can free memory for the next. The limit only prevents an endless loop in case of a bug.
    constexpr int MaxRounds = 100;
    for (int round = 0; round < MaxRounds; ++round) {
        const ResidencyActions actions = m_controller.step(now);
        if (actions.empty()) {
            return;
        }
        for (const ResidencyAction &action : actions) {
            perform(action);
        }
    }
}

LoadController &ResidencyRunner::controller()
{
    return m_controller;
}

const LoadController &ResidencyRunner::controller() const
{
    return m_controller;
}

void ResidencyRunner::perform(const ResidencyAction &action)
{
    std::visit(Overloaded{
                   [this](const SendOrder &send) { sendOrder(send.order); },
                   [this](const ReadInventory &) { readInventory(); },
                   [this](const RequestLoadSlot &request) { m_observer.loadSlotRequested(request); },
                   [this](const ItemReady &ready) { m_observer.ready(ready.item); },
                   [this](const ItemFailed &failed) { m_observer.failed(failed.item, failed.error); },
                   [this](const ReleaseGrant &release) { m_observer.released(release); },
               },
               action);
}

void ResidencyRunner::sendOrder(const ModelOrder &order)
{
    // The grant may have ended if the process was paused between the decision and this point.
    m_refreshView();
    if (!m_controller.confirmSend(order, MonotonicClock::now())) {
        return;
    }
    const bool load = order.kind == OrderKind::Load;
    if (load) {
        m_observer.loading(order.item, order.decidedAt + m_controller.expectedLoadTime(order.item));
    } else {
        m_observer.absent(order.item);
    }
    emit(load ? AgentEventKind::LoadOrdered : AgentEventKind::UnloadOrdered,
         order.item,
         absl::StrCat("fencing ", order.fencing));
    auto answer = std::make_shared<Answer>();
    HttpCallObserver observer;
    observer.onHead = [answer](int status, const HttpFields &) { answer->status = status; };
    observer.onData = [](const std::string &) {};
    observer.onEnd = [this, order, answer](const HttpCallEnd &end) { orderEnded(order, *answer, end); };
    m_client.start(orderRequest(m_settings.targetUrl, order, m_settings.orderTimeout), std::move(observer));
}

void ResidencyRunner::orderEnded(const ModelOrder &order, const Answer &answer, const HttpCallEnd &end)
{
    const OrderOutcome outcome = orderOutcome(answer.status, end);
    m_controller.onOrderEnd(order.id, outcome, MonotonicClock::now());
    emit(AgentEventKind::OrderEnded, order.item, outcomeName(outcome));
}

void ResidencyRunner::readInventory()
{
    const TimePoint started = MonotonicClock::now();
    auto answer = std::make_shared<Answer>();
    HttpCallObserver observer;
    observer.onHead = [answer](int status, const HttpFields &) { answer->status = status; };
    observer.onData = [answer](const std::string &data) { answer->body += data; };
    observer.onEnd = [this, started, answer](const HttpCallEnd &end) { inventoryEnded(started, *answer, end); };
    m_client.start(inventoryRequest(m_settings.targetUrl), std::move(observer));
}

void ResidencyRunner::inventoryEnded(TimePoint readStarted, const Answer &answer, const HttpCallEnd &end)
{
    constexpr int HttpOk = 200;
    const TimePoint now = MonotonicClock::now();
    const bool whole = !end.error && answer.status == HttpOk;
    const std::optional<EngineInventory> inventory = whole ? parseInventory(answer.body) : std::nullopt;
    if (inventory) {
        m_controller.onInventory(*inventory, readStarted, now);
    } else {
        m_controller.onInventoryFailed(now);
    }
}

void ResidencyRunner::emit(AgentEventKind kind, const std::string &item, std::string detail)
{
    AgentEvent event;
    event.kind = kind;
    event.model = item;
    event.detail = std::move(detail);
    m_observer.event(event);
}

} // namespace celeryroute
