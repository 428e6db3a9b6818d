#include <celeryroute/detail/entry/dispatcher.h>

#include "callrunner.h"
#include "wakeup.h"

#include <celeryroute/detail/base/mailbox.h>
#include <celeryroute/detail/transport/peerserver.h>

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
    Private(DispatcherSettings newSettings, TransportContext &context, DispatcherHooks newHooks, Observers observers)
        : settings(std::move(newSettings))
        , hooks(std::move(newHooks))
        , observers(observers)
        , server(context)
        , directory(context, settings.link)
        , runner(settings, directory, observers)
        , commands([this] { wakeUp.signal(); })
    {}

    void run()
    {
        while (!stopping) {
            waitForWork();
            const TimePoint now = MonotonicClock::now();
            runner.setState(hooks.state(), now);
            takeCommands(now);
            receiveFromAgents(now);
            answerPeers();
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
        items.reserve(directory.links().size() + 2);
        items.push_back({nullptr, wakeUp.fd(), ZMQ_POLLIN, 0});
        items.push_back({nullptr, server.fd(), ZMQ_POLLIN, 0});
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
                hooks.peerOffset(envelope->sender(), envelope->state_offset());
                runner.receive(*link, *envelope, now);
            }
        }
    }

    void answerPeers()
    {
        while (const auto message = server.receive()) {
            observers.timeline.observe(message->envelope->logical_time());
            std::optional<proto::Envelope> reply = hooks.otherMessage(*message->envelope);
            if (reply) {
                reply->set_call(message->envelope->call());
                stamp(*reply);
                server.send(message->connection, *reply);
            }
        }
    }

    void stamp(proto::Envelope &envelope)
    {
        envelope.set_sender(settings.instance);
        envelope.set_state_offset(hooks.state()->nextOffset());
        envelope.set_logical_time(observers.timeline.stamp());
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
        envelope.mutable_heartbeat()->set_sequence(++heartbeats);
        stamp(envelope);
        link.peer().send(envelope);
    }

    void publish(TimePoint now)
    {
        flights = runner.flights();
        observers.metrics.setInFlight(static_cast<std::int64_t>(flights));
        std::map<std::string, bool> reachability;
        for (const auto &[host, link] : directory.links()) {
            bool &reachable = reachability[link->host().domain];
            reachable = reachable || link->reachable(now);
        }
        absl::MutexLock lock(&reachabilityMutex);
        domains = std::move(reachability);
    }

    DispatcherSettings settings;
    DispatcherHooks hooks;
    Observers observers;
    PeerServer server;
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

Dispatcher::Dispatcher(DispatcherSettings settings,
                       TransportContext &context,
                       DispatcherHooks hooks,
                       Observers observers)
    : m_private(std::make_unique<Private>(std::move(settings), context, std::move(hooks), observers))
{}

Dispatcher::~Dispatcher()
{
    stop();
}

Result<void> Dispatcher::start()
{
    BOOST_LEAF_CHECK(m_private->server.bind(m_private->settings.peerEndpoint));
    m_private->thread = std::thread([this] { m_private->run(); });
    return {};
}

std::string Dispatcher::endpoint() const
{
    return m_private->server.endpoint();
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
