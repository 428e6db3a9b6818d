#include <celeryroute/detail/entry/dispatcher.h>

#include "callrunner.h"
#include "wakeup.h"

#include <celeryroute/detail/base/mailbox.h>

#include <peer.pb.h>

#include <atomic>
#include <thread>
#include <variant>
#include <zmq.h>

namespace celeryroute {

namespace {

constexpr long PollIntervalMs = 20;

struct NewCall {
    CallerCall call;
    std::shared_ptr<HttpResponder> responder;
};
struct CallerGone {
    std::string requestId;
};
struct NewHosts {
    std::vector<HostEntry> hosts;
};
struct RefuseNew {};
using Command = std::variant<NewCall, CallerGone, NewHosts, RefuseNew>;

} // namespace

class Dispatcher::Private
{
public:
    Private(DispatcherSettings settings, TransportContext &context, StateSource state)
        : instance(settings.instance)
        , state(std::move(state))
        , directory(context, settings.link)
        , runner(std::move(settings), directory)
        , commands([this] { wakeUp.signal(); })
    {}

    void run()
    {
        while (!stopping) {
            waitForWork();
            const TimePoint now = MonotonicClock::now();
            runner.setState(state(), now);
            takeCommands(now);
            receiveFromAgents(now);
            tickLinks(now);
            runner.tick(now);
            publish(now);
        }
        runner.refuseAll({ResultCode::Stopping, "this entry has stopped"});
        flights = 0;
    }

    void waitForWork()
    {
        std::vector<zmq_pollitem_t> items;
        items.reserve(directory.links().size() + 1);
        items.push_back({nullptr, wakeUp.fd(), ZMQ_POLLIN, 0});
        for (const auto &[host, link] : directory.links()) {
            items.push_back({link->peer().socket(), 0, ZMQ_POLLIN, 0});
        }
        zmq_poll(items.data(), static_cast<int>(items.size()), PollIntervalMs);
        wakeUp.clear();
    }

    void takeCommands(TimePoint now)
    {
        for (Command &command : commands.take()) {
            std::visit([this, now](auto &value) { apply(value, now); }, command);
        }
    }

    void apply(NewCall &command, TimePoint now)
    {
        runner.start(std::move(command.call), std::move(command.responder), now);
    }

    void apply(const CallerGone &command, TimePoint now)
    {
        runner.callerGone(command.requestId, now);
    }

    void apply(const NewHosts &command, TimePoint now)
    {
        for (const std::string &host : directory.update(command.hosts, now)) {
            runner.hostLost(host, now);
        }
    }

    void apply(const RefuseNew &, TimePoint)
    {
        runner.setRefusingNew();
    }

    void receiveFromAgents(TimePoint now)
    {
        for (const auto &[host, link] : directory.links()) {
            while (const auto envelope = link->receive(now)) {
                runner.receive(*link, *envelope, now);
            }
        }
    }

    void tickLinks(TimePoint now)
    {
        for (const auto &[host, link] : directory.links()) {
            const LinkStep step = link->tick(now);
            if (step == LinkStep::None) {
                continue;
            }
            sendHeartbeat(*link);
            if (step == LinkStep::Reconnected) {
                runner.linkReconnected(*link);
            }
        }
    }

    void sendHeartbeat(AgentLink &link)
    {
        proto::Envelope envelope;
        envelope.set_sender(instance);
        envelope.set_state_offset(state()->nextOffset());
        envelope.mutable_heartbeat()->set_sequence(++heartbeats);
        link.peer().send(envelope);
    }

    void publish(TimePoint now)
    {
        flights = runner.flights();
        std::map<std::string, bool> reachability;
        for (const auto &[host, link] : directory.links()) {
            bool &reachable = reachability[link->host().domain];
            reachable = reachable || link->reachable(now);
        }
        absl::MutexLock lock(&reachabilityMutex);
        domains = std::move(reachability);
    }

    std::string instance;
    StateSource state;
    AgentDirectory directory;
    CallRunner runner;
    WakeUp wakeUp;
    Mailbox<Command> commands;
    std::uint64_t heartbeats = 0;
    std::atomic<std::size_t> flights{0};
    std::atomic<bool> stopping{false};
    mutable absl::Mutex reachabilityMutex;
    std::map<std::string, bool> domains ABSL_GUARDED_BY(reachabilityMutex);
    std::thread thread;
};

Dispatcher::Dispatcher(DispatcherSettings settings, TransportContext &context, StateSource state)
    : m_private(std::make_unique<Private>(std::move(settings), context, std::move(state)))
{}

Dispatcher::~Dispatcher()
{
    stop();
}

void Dispatcher::start()
{
    m_private->thread = std::thread([this] { m_private->run(); });
}

void Dispatcher::submit(CallerCall call, std::shared_ptr<HttpResponder> responder)
{
    const std::string requestId = call.requestId;
    responder->onClosed([this, requestId] { m_private->commands.post(CallerGone{requestId}); });
    m_private->commands.post(NewCall{std::move(call), std::move(responder)});
}

void Dispatcher::setHosts(std::vector<HostEntry> hosts)
{
    m_private->commands.post(NewHosts{std::move(hosts)});
}

void Dispatcher::stateChanged()
{
    m_private->wakeUp.signal();
}

void Dispatcher::refuseNew()
{
    m_private->commands.post(RefuseNew{});
}

std::size_t Dispatcher::flights() const
{
    return m_private->flights;
}

std::map<std::string, bool> Dispatcher::domainReachability() const
{
    absl::MutexLock lock(&m_private->reachabilityMutex);
    return m_private->domains;
}

void Dispatcher::stop()
{
    m_private->stopping = true;
    m_private->wakeUp.signal();
    if (m_private->thread.joinable()) {
        m_private->thread.join();
    }
}

} // namespace celeryroute
